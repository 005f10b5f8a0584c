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
 * What is learnt from tasks that fail. A job whose tasks fail on several machines was submitted
 * with a mistake, most likely, and waits longer and longer between its tries. A machine is sick if
 * it fails several jobs and one of them is known to succeed elsewhere; without that, some mistaken
 * jobs would condemn every machine that they are tried on.
 */
final class TaskFailures {
  /** The tries of a job that fails. */
  private static final class Backoff {
    int errors;
    long until;

    /** Machines on which it failed, and until when it is not tried there again. */
    final Map<String, Long> machines = new HashMap<>();
  }

  private final Clock clock;
  private final StateCache view;
  private final Replication replication;
  private final Map<String, Backoff> backoffs = new HashMap<>();

  TaskFailures(Clock clock, StateCache view, Replication replication) {
    this.clock = clock;
    this.replication = replication;
    this.view = view;
  }

  /** Whether the job's next try has to wait. */
  boolean waits(String job) {
    Backoff backoff = backoffs.get(job);
    return backoff != null && clock.now() < backoff.until;
  }

  /** Whether the job is not to be tried on the machine now. */
  boolean avoids(String job, String machine) {
    Backoff backoff = backoffs.get(job);
    return backoff != null && backoff.machines.getOrDefault(machine, 0L) > clock.now();
  }

  /** A task has ended on a machine. */
  void learn(Partition partition, WorkerSession worker, TaskId task, TerminationEvidence.End end) {
    WorkerCodec.Seen seen = worker.seen.get(task);
    if (end == TerminationEvidence.End.DONE) {
      if (!worker.failures.isEmpty()) {
        replication.completed(partition, worker.name);
      }
      worker.failures.clear();
      backoffs.remove(task.job());
    } else if (seen != null
        && seen.state() == WorkerCodec.State.ENDED
        && seen.cause() == WorkerCodec.Cause.ERROR) {
      worker.failures.merge(task.job(), 1, Integer::sum);
      replication.failed(partition, worker.name, task.job());
      backOff(task.job(), worker.name);
      if (!worker.sick && isSick(worker)) {
        worker.sick = true;
        replication.sick(partition, worker.name);
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
   * Whether tasks of the job have completed; of a service, whether it failed on one machine only.
   */
  private boolean succeeds(String id) {
    StateCache.Entry<Job> job = view.jobs.get(id);
    if (job == null) {
      return false;
    }
    if (job.value().spec().service()) {
      Backoff backoff = backoffs.get(id);
      return backoff == null || backoff.machines.size() < 2;
    }
    return job.value().state() == Job.State.DONE || view.doneCount(id) > 0;
  }
}
