package org.baygw.control.core;

import java.util.Collection;
import java.util.Map;
import org.baygw.control.model.Partition;
import org.baygw.control.model.TaskId;

/**
 * Replicates decisions that an active controller holds only in memory to its standby, and provides
 * them to a successor. They only speed up a takeover: nothing may rely on them, and where they
 * differ from the durable record, the record takes precedence.
 */
public interface Replication {
  /** Used without a standby: replicates nothing and provides nothing. */
  Replication OFF = new Replication() {};

  /**
   * What the former owner of a partition knew about a worker.
   *
   * @param session the last known session of the worker
   * @param launchedAgoMs time since the launch of each task that the former owner started there
   * @param failures number of failed tasks by job since a task last completed there
   */
  record InheritedWorker(
      String address,
      long session,
      Map<TaskId, Long> launchedAgoMs,
      Map<String, Integer> failures,
      boolean sick) {}

  /**
   * A kind of machine (type, zone, spot or not) for which the cloud has no capacity.
   *
   * @param remainingMs time for which it is not requested again
   */
  record RefusedCapacity(String type, String zone, boolean spot, long remainingMs) {}

  /**
   * What the former leader knew about the queue.
   *
   * @param waitingForMs time for which each job has had tasks without capacity
   * @param grantedAgoMs time since each task was granted
   */
  record InheritedQueue(
      Map<String, Long> waitingForMs,
      Map<TaskId, Long> grantedAgoMs,
      Collection<RefusedCapacity> refused) {}

  /** The owner of the partition has learnt the worker's address and session. */
  default void sessionKnown(Partition partition, String machine, String address, long session) {}

  /** A launch order for the task was sent. */
  default void taskLaunched(Partition partition, String machine, TaskId task) {}

  /** The task is no longer on the machine. */
  default void taskEnded(Partition partition, String machine, TaskId task) {}

  /** A task of the job failed on the machine. */
  default void taskFailed(Partition partition, String machine, String job) {}

  /** A task completed on the machine, which resets its count of failures. */
  default void taskCompleted(Partition partition, String machine) {}

  /** The machine fails tasks that succeed on others. */
  default void machineSick(Partition partition, String machine) {}

  /** The machine is gone. */
  default void machineGone(Partition partition, String machine) {}

  /** The job has tasks without capacity from now on. */
  default void jobWaiting(String job) {}

  /** The job has no tasks without capacity any more. */
  default void jobServed(String job) {}

  /** Tasks of the job were granted. */
  default void tasksGranted(String job, Collection<Integer> tasks) {}

  /** Grants of tasks of the job ended. */
  default void grantsEnded(String job, Collection<Integer> tasks) {}

  /**
   * The cloud has no capacity for a kind of machine (type, zone, spot or not), which is not
   * requested again for {@code durationMs}.
   */
  default void capacityRefused(String type, String zone, boolean spot, long durationMs) {}

  /** What the former owner of the partition knew about a worker; null if nothing is known. */
  default InheritedWorker inheritedWorker(Partition partition, String machine) {
    return null;
  }

  /** What the former leader knew about the queue; null if nothing is known. */
  default InheritedQueue inheritedQueue() {
    return null;
  }
}
