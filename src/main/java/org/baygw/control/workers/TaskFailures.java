package org.baygw.control.workers;

import java.util.HashMap;
import java.util.Map;
import org.baygw.control.Constants;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Replication;
import org.baygw.control.model.Job;
import org.baygw.control.model.Partition;
import org.baygw.control.model.TaskId;
import org.baygw.control.store.StateCache;

/**
 * Tracks failed tasks by job and machine. A job whose tasks fail on several machines is most likely
 * faulty itself, and is retried with exponential backoff. A machine is sick if several jobs fail on
 * it and one of them is known to succeed elsewhere; without the second condition a few faulty jobs
 * would make every machine that they are tried on count as sick.
 */
final class TaskFailures {
  /** Retry state of a job whose tasks fail. */
  private static final class Backoff {
    int errors;
    long until;

    /** Machines on which the job failed, and until when it is not retried there. */
    final Map<String, Long> machines = new HashMap<>();
  }

  private final Clock clock;
  private final StateCache cache;
  private final Replication replication;
  private final Map<String, Backoff> backoffs = new HashMap<>();

  TaskFailures(Clock clock, StateCache cache, Replication replication) {
    this.clock = clock;
    this.replication = replication;
    this.cache = cache;
  }

  /** Whether the job's next retry has to wait. */
  boolean inBackoff(String job) {
    Backoff backoff = backoffs.get(job);
    return backoff != null && clock.now() < backoff.until;
  }

  /** Whether the job failed on the machine and must not be retried there yet. */
  boolean avoidsMachine(String job, String machine) {
    Backoff backoff = backoffs.get(job);
    return backoff != null && backoff.machines.getOrDefault(machine, 0L) > clock.now();
  }

  /** Records how a task ended on a machine. */
  void taskEnded(
      Partition partition, WorkerSession worker, TaskId task, TerminationEvidence.End end) {
    WorkerCodec.ReportedTask reported = worker.reported.get(task);
    if (end.completed()) {
      if (!worker.failures.isEmpty()) {
        replication.taskCompleted(partition, worker.name);
      }
      worker.failures.clear();
      backoffs.remove(task.job());
    } else if (reported != null
        && reported.state() == WorkerCodec.State.ENDED
        && reported.cause() == WorkerCodec.Cause.ERROR) {
      worker.failures.merge(task.job(), 1, Integer::sum);
      replication.taskFailed(partition, worker.name, task.job());
      backOff(task.job(), worker.name);
      if (!worker.sick && isSick(worker)) {
        worker.sick = true;
        replication.machineSick(partition, worker.name);
      }
    }
  }

  private void backOff(String job, String machine) {
    Backoff backoff = backoffs.computeIfAbsent(job, k -> new Backoff());
    boolean elsewhere = !backoff.machines.isEmpty() && !backoff.machines.containsKey(machine);
    backoff.machines.put(machine, clock.now() + Constants.ERROR_BACKOFF_MAX_MS);
    if (elsewhere) {
      backoff.errors++;
      long waitMs = Constants.ERROR_BACKOFF_MS << Math.min(backoff.errors, 6);
      backoff.until = clock.now() + Math.min(Constants.ERROR_BACKOFF_MAX_MS, waitMs);
    }
  }

  private boolean isSick(WorkerSession worker) {
    int errors = worker.failures.values().stream().mapToInt(n -> n).sum();
    return errors >= Constants.SICK_ERRORS
        && worker.failures.size() > 1
        && worker.failures.keySet().stream().anyMatch(this::succeeds);
  }

  /**
   * Whether tasks of the job have completed; for a service, whether it failed on one machine at
   * most.
   */
  private boolean succeeds(String id) {
    StateCache.Entry<Job> job = cache.jobs.get(id);
    if (job == null) {
      return false;
    }
    if (job.value().spec().service()) {
      Backoff backoff = backoffs.get(id);
      return backoff == null || backoff.machines.size() < 2;
    }
    return job.value().state() == Job.State.DONE || cache.doneCount(id) > 0;
  }
}
