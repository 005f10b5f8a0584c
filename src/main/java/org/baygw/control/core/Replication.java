package org.baygw.control.core;

import java.util.Collection;
import java.util.Map;
import org.baygw.control.model.Partition;
import org.baygw.control.model.TaskId;

/**
 * What an active controller tells its standby of the decisions that live in its memory only, and
 * what a successor finds of them. All of it only makes a successor quicker: it proves nothing, and
 * where it differs from the durable record the record counts.
 */
public interface Replication {
  /** No standby: nothing is told, nothing is found. */
  Replication OFF = new Replication() {};

  /**
   * What a former owner knew of a worker.
   *
   * @param session the worker's session, as far as it was known
   * @param launchedAgoMs since when the tasks that it launched there run
   * @param failures tasks that failed there since one last completed, by job
   */
  record InheritedWorker(
      String address,
      long session,
      Map<TaskId, Long> launchedAgoMs,
      Map<String, Integer> failures,
      boolean sick) {}

  /** A kind of machine of which the cloud has no more. */
  record RefusedCapacity(String type, String zone, boolean spot, long forMs) {}

  /**
   * What a former leader knew of the queue.
   *
   * @param waitingForMs since when jobs have had tasks without capacity
   * @param grantedAgoMs since when tasks have been granted
   */
  record InheritedQueue(
      Map<String, Long> waitingForMs,
      Map<TaskId, Long> grantedAgoMs,
      Collection<RefusedCapacity> refused) {}

  /** The owner of the partition knows the worker's address and session. */
  default void sessionKnown(Partition partition, String machine, String address, long session) {}

  /** A launch of the task has been sent. */
  default void launched(Partition partition, String machine, TaskId task) {}

  /** The task is no longer on the machine. */
  default void ended(Partition partition, String machine, TaskId task) {}

  /** A task of the job failed on the machine. */
  default void failed(Partition partition, String machine, String job) {}

  /** A task completed on the machine: what failed there before does not count any more. */
  default void completed(Partition partition, String machine) {}

  /** The machine fails what succeeds elsewhere. */
  default void sick(Partition partition, String machine) {}

  /** The machine is gone. */
  default void gone(Partition partition, String machine) {}

  /** From now on the job has tasks without capacity. */
  default void waiting(String job) {}

  /** The job has none any more. */
  default void served(String job) {}

  /** Tasks of the job have been granted. */
  default void granted(String job, Collection<Integer> tasks) {}

  /** Grants of the job's tasks are over. */
  default void grantsEnded(String job, Collection<Integer> tasks) {}

  /** The cloud has no more machines of a kind; that is not asked again for a while. */
  default void capacityRefused(String type, String zone, boolean spot, long forMs) {}

  /** What the former owner of the partition knew of a worker; null where nothing is known. */
  default InheritedWorker inherited(Partition partition, String machine) {
    return null;
  }

  /** What the former leader knew; null where nothing is known. */
  default InheritedQueue inheritedQueue() {
    return null;
  }
}
