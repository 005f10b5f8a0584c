package org.baygw.control.workers;

import java.util.LinkedHashMap;
import java.util.Map;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.model.Machine;
import org.baygw.control.model.Progress;
import org.baygw.control.model.TaskId;
import org.baygw.control.store.StateCache;

/**
 * Decides whether a task is proved to have left its machine: by a report, an expired lease or the
 * machine's return to the cloud.
 */
final class TerminationEvidence {
  /** What proves that a task has left its machine. */
  enum End {
    /** A report says that the task completed. */
    REPORTED_DONE,
    /** A report says that the task ended otherwise. */
    REPORTED_ENDED,
    /** The newest report lacks the task, and no launch of it is pending. */
    NOT_REPORTED,
    /** The worker's session has ended with its lease. */
    LEASE_EXPIRED,
    /** The cloud has taken the machine back. */
    MACHINE_RETURNED;

    boolean completed() {
      return this == REPORTED_DONE;
    }
  }

  private final Clock clock;
  private final StateCache cache;
  private final long leaseMs;

  TerminationEvidence(Clock clock, Settings settings, StateCache cache) {
    this.clock = clock;
    this.cache = cache;
    this.leaseMs = (long) (settings.workers().leaseS() * 1000 * (1 + Constants.CLOCK_DRIFT));
  }

  long leaseMs() {
    return leaseMs;
  }

  /**
   * Marks a worker's lease as expired once its session must have ended with all its tasks; returns
   * true if it was marked now.
   */
  boolean expireLease(WorkerSession worker) {
    if (worker.claimConfirmed()
        && clock.now() > worker.lastAnswered + leaseMs + Constants.LEASE_MARGIN_MS
        && !worker.leaseExpired) {
      // The worker has seen this claim's token, so that only this controller's responses renew its
      // lease, and the last of them is too old: the worker has ended its session and all tasks with
      // it. It refuses pending direct launches, which name the old session.
      worker.leaseExpired = true;
      worker.pendingLaunches.clear();
      worker.reported = new LinkedHashMap<>();
      worker.session++;
      worker.tick = -1;
      return true;
    }
    return false;
  }

  /** The recorded tasks of a machine that are proved to have left it. */
  Map<TaskId, End> endedTasks(WorkerSession worker, Machine machine) {
    Map<TaskId, End> ends = null;
    for (Map.Entry<TaskId, Integer> recorded : machine.tasks().entrySet()) {
      End end = endOf(worker, machine, recorded.getKey(), recorded.getValue());
      if (end != null) {
        ends = ends == null ? new LinkedHashMap<>() : ends;
        ends.put(recorded.getKey(), end);
      }
    }
    return ends == null ? Map.of() : ends;
  }

  /**
   * How a recorded task left the machine; null if that is not proved. Reports prove nothing until
   * the worker has shown this claim's token: one may be a late copy from an earlier session, in
   * which an attempt ended that was launched again in a later one, and until then a former owner
   * may still launch it.
   */
  End endOf(WorkerSession worker, Machine machine, TaskId task, int attempt) {
    if (cache.drains.get(machine.name()) == StateCache.Drain.GONE) {
      return End.MACHINE_RETURNED;
    }
    if (!worker.claimConfirmed()) {
      return null;
    }
    WorkerCodec.ReportedTask reported = worker.reported.get(task);
    if (reported != null && reported.attempt() == attempt) {
      if (reported.state() != WorkerCodec.State.ENDED) {
        return null;
      }
      return reported.cause() == WorkerCodec.Cause.DONE ? End.REPORTED_DONE : End.REPORTED_ENDED;
    }
    boolean absent =
        (reported == null || reported.state() == WorkerCodec.State.ENDED)
            && !worker.pendingLaunches.containsKey(task);
    // A hung machine keeps its tasks after its lease has expired. A task of a cancelled job
    // therefore stays on record until its worker is heard from or the machine is returned:
    // otherwise the next owner would not know of it.
    if (absent && worker.leaseExpired) {
      return cache.isCancelled(task.job()) ? null : End.LEASE_EXPIRED;
    }
    return absent && !shouldRun(task, attempt, machine) ? End.NOT_REPORTED : null;
  }

  /** Whether the task should keep running on the machine under this attempt. */
  boolean shouldRun(TaskId task, int attempt, Machine machine) {
    if (!cache.shouldRun(task.job())) {
      return false;
    }
    Progress.LiveTask grant = cache.grant(task);
    return grant != null
        && grant.attempt() == attempt
        && !grant.stopRequested()
        && grant.partition().equals(machine.partition());
  }
}
