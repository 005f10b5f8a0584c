package org.baygw.control.standby;

import org.roaringbitmap.RoaringBitmap;

/**
 * One decision or observation of an active controller that no durable record has. Times are times
 * of day in ms, which differ between controllers by at most the platform's bound.
 */
sealed interface Decision {
  /** The owner knows a worker's address and session. */
  record SessionKnown(String machine, String address, long session) implements Decision {}

  /** Launches of a job's tasks were sent to a machine. */
  record TasksLaunched(String machine, String job, RoaringBitmap tasks, long atMs)
      implements Decision {}

  /** Tasks of a job are no longer on a machine. */
  record TasksEnded(String machine, String job, RoaringBitmap tasks) implements Decision {}

  /** Tasks of a job failed on a machine, so often since one last completed there. */
  record TasksFailed(String machine, String job, int count) implements Decision {}

  /** A task completed on a machine. */
  record TaskCompleted(String machine) implements Decision {}

  /** A machine fails what succeeds elsewhere. */
  record MachineSick(String machine) implements Decision {}

  /** A machine is gone. */
  record MachineGone(String machine) implements Decision {}

  /** A job has had tasks without capacity since then. */
  record JobWaiting(String job, long sinceMs) implements Decision {}

  /** A job has no such tasks any more. */
  record JobServed(String job) implements Decision {}

  /** Tasks of a job were granted. */
  record TasksGranted(String job, RoaringBitmap tasks, long atMs) implements Decision {}

  /** Grants of a job's tasks are over. */
  record GrantsEnded(String job, RoaringBitmap tasks) implements Decision {}

  /** The cloud has no more machines of a kind, and is not asked for them until then. */
  record CapacityRefused(String type, String zone, boolean spot, long untilMs)
      implements Decision {}
}
