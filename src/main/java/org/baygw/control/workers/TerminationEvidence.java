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

/** What proves that a task is no longer on its machine. */
final class TerminationEvidence {
  /** How a task left its machine. */
  enum End {
    DONE,
    BACK
  }

  private final Clock clock;
  private final StateCache view;
  private final long leaseMs;

  TerminationEvidence(Clock clock, Settings settings, StateCache view) {
    this.clock = clock;
    this.view = view;
    this.leaseMs = (long) (settings.workers().leaseS() * 1000 * (1 + Constants.CLOCK_DRIFT));
  }

  long leaseMs() {
    return leaseMs;
  }

  /** Notes it when a worker's session must be over, with all tasks it had; true if it just did. */
  boolean lease(WorkerSession a) {
    if (a.trusted()
        && clock.now() > a.lastAnswered + leaseMs + Constants.LEASE_MARGIN_MS
        && !a.leaseOver) {
      // Since it saw our token only our answers count, and the last of them is too old: the worker
      // has ended its session and all tasks with it. Direct launches need the old session.
      a.leaseOver = true;
      a.flights.clear();
      a.seen = new LinkedHashMap<>();
      a.session++;
      a.tick = -1;
      return true;
    }
    return false;
  }

  /** The tasks of the machine's record that are proved gone from it. */
  Map<TaskId, End> ends(WorkerSession a, Machine m) {
    Map<TaskId, End> ends = null;
    for (Map.Entry<TaskId, Integer> t : m.tasks().entrySet()) {
      End end = end(a, m, t.getKey(), t.getValue());
      if (end != null) {
        ends = ends == null ? new LinkedHashMap<>() : ends;
        ends.put(t.getKey(), end);
      }
    }
    return ends == null ? Map.of() : ends;
  }

  /** How one of them is proved gone; null where it is not. */
  End end(WorkerSession a, Machine m, TaskId t, int attempt) {
    if (view.drains.get(m.name()) == StateCache.Drain.GONE) {
      return End.BACK; // the cloud has taken the machine back: nothing on it is left
    }
    WorkerCodec.Seen s = a.seen.get(t);
    if (s != null && s.attempt() == attempt) {
      if (s.state() != WorkerCodec.State.ENDED) {
        return null;
      }
      return s.cause() == WorkerCodec.Cause.DONE ? End.DONE : End.BACK;
    }
    boolean absent =
        a.trusted()
            && (s == null || s.state() == WorkerCodec.State.ENDED)
            && !a.flights.containsKey(t);
    // A machine that hangs keeps its tasks whatever its lease says: where the job was cancelled the
    // task
    // stays on record until the machine is heard of or returned, or the next owner would not know
    // of it.
    return absent && (a.leaseOver ? !view.isCancelled(t.job()) : !wanted(t, attempt, m))
        ? End.BACK
        : null;
  }

  /** Whether the task is to run on under this attempt. */
  boolean wanted(TaskId t, int attempt, Machine m) {
    if (!view.shouldRun(t.job())) {
      return false;
    }
    Progress.Live l = view.grant(t);
    return l != null && l.attempt() == attempt && !l.stop() && l.part().equals(m.part());
  }
}
