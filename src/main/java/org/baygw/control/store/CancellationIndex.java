package org.baygw.control.store;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Cancelled jobs by the revision of their cancellation, and the cancellations that peers reported
 * before the state cache has reached them.
 */
final class CancellationIndex {
  /** A cancellation that a peer reported: its revision, and the time of day when it was written. */
  private record Reported(long stamp, long cancelledMs) {}

  private final TreeMap<Long, Set<String>> jobsByRevision = new TreeMap<>();
  private final Map<String, Reported> reported = new HashMap<>();

  /** Adds a job whose record says that it is cancelled. */
  void addRecorded(String job, long stamp) {
    jobsByRevision.computeIfAbsent(stamp, k -> new HashSet<>()).add(job);
  }

  /** Recorded cancellations after a revision. */
  SortedMap<Long, Set<String>> recordedAfter(long revision) {
    return jobsByRevision.tailMap(revision, false);
  }

  /** Adds a cancellation that a peer reported; returns whether it was not known yet. */
  boolean addReported(String job, long stamp, long cancelledMs) {
    return reported.putIfAbsent(job, new Reported(stamp, cancelledMs)) == null;
  }

  boolean isReported(String job) {
    return reported.containsKey(job);
  }

  /** Time of day, in ms, of the cancellation that a peer reported. */
  long reportedMs(String job) {
    return reported.get(job).cancelledMs();
  }

  /** Drops reports that the jobs' records include from now on. */
  void advanceTo(long revision) {
    reported.values().removeIf(cancellation -> cancellation.stamp() <= revision);
  }
}
