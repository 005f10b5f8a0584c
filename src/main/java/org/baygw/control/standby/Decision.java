package org.baygw.control.standby;

import org.roaringbitmap.RoaringBitmap;

/**
 * A decision or observation of an active controller that is in no durable record. Times are
 * wall-clock times in ms; each controller's clock is off by at most the settings' time bound.
 */
sealed interface Decision {
  /** The owner has learned a worker's address and session. */
  record SessionKnown(String machine, String address, long session) implements Decision {}

  /** Launches of a job's tasks were sent to a machine. */
  record TasksLaunched(String machine, String job, RoaringBitmap tasks, long atMs)
      implements Decision {}

  /** Tasks of a job are no longer on a machine. */
  record TasksEnded(String machine, String job, RoaringBitmap tasks) implements Decision {}

  /** Tasks of a job failed {@code count} more times on a machine. */
  record TasksFailed(String machine, String job, int count) implements Decision {}

  /** A task completed on a machine, which resets the machine's failure counts. */
  record TaskCompleted(String machine) implements Decision {}

  /** Tasks that succeed elsewhere fail on a machine. */
  record MachineSick(String machine) implements Decision {}

  /** A machine is gone. */
  record MachineGone(String machine) implements Decision {}

  /** A job has had tasks without capacity since {@code sinceMs}. */
  record JobWaiting(String job, long sinceMs) implements Decision {}

  /** A job no longer has tasks without capacity. */
  record JobServed(String job) implements Decision {}

  /** Tasks of a job were granted by the leader. */
  record TasksGranted(String job, RoaringBitmap tasks, long atMs) implements Decision {}

  /** Grants of a job's tasks have ended. */
  record GrantsEnded(String job, RoaringBitmap tasks) implements Decision {}

  /** The cloud has no more machines of a kind and is not asked for them until {@code untilMs}. */
  record CapacityRefused(String type, String zone, boolean spot, long untilMs)
      implements Decision {}
}
