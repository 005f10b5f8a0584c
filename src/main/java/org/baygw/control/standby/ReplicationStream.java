package org.baygw.control.standby;

import com.google.common.collect.Iterators;
import com.google.common.collect.PeekingIterator;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds the updates on one role for one standby and tracks the standby's progress. Only one
 * message is in flight at a time; if no answer comes, the next update is built again from the last
 * acknowledged sequence number.
 */
final class ReplicationStream {
  private final DecisionLog log;
  private final String standby;
  private long acknowledged = RoleAck.NEEDS_SNAPSHOT;

  /** The sequence number of the last decision when the latest update was built. */
  private long lastSequenceWhenBuilt;

  /** Since when there have been unacknowledged decisions; 0 if there are none. */
  private long laggingSince;

  /**
   * The decisions of the snapshot in progress that are not in a part yet; null if there is none.
   */
  private PeekingIterator<Decision> snapshotDecisions;

  private long snapshotSequence = RoleAck.NEEDS_SNAPSHOT;
  private int partsBuilt;

  /** The part in flight, or null. */
  private RoleUpdate.SnapshotPart partInFlight;

  ReplicationStream(DecisionLog log, String standby) {
    this.log = log;
    this.standby = standby;
  }

  String standby() {
    return standby;
  }

  DecisionLog log() {
    return log;
  }

  /**
   * The sequence number of the last decision that the standby applied; negative before a snapshot.
   */
  long acknowledged() {
    return acknowledged;
  }

  /** Number of decisions that the standby lacks. */
  long lagDecisions() {
    return log.lastSequence() - Math.max(0, acknowledged);
  }

  /** How long the standby has lacked decisions, in ms. */
  long lagMs(long now) {
    return laggingSince == 0 ? 0 : now - laggingSince;
  }

  boolean upToDate() {
    return acknowledged == log.lastSequence();
  }

  /** Records the time at which the standby began to lag. */
  void tick(long now) {
    laggingSince = upToDate() ? 0 : laggingSince == 0 ? now : laggingSince;
  }

  /** The next update, of at most about the given number of bytes. */
  RoleUpdate nextUpdate(int maxBytes) {
    lastSequenceWhenBuilt = log.lastSequence();
    if (acknowledged != RoleAck.NEEDS_SNAPSHOT && log.reachesBackTo(acknowledged)) {
      return new RoleUpdate.LogUpdate(
          log.role(), log.epoch(), acknowledged + 1, log.decisionsAfter(acknowledged, maxBytes));
    }
    if (partInFlight == null) {
      partInFlight = nextPart(maxBytes);
    }
    return partInFlight;
  }

  private RoleUpdate.SnapshotPart nextPart(int maxBytes) {
    if (snapshotDecisions == null) {
      snapshotDecisions = Iterators.peekingIterator(log.state().decisions());
      snapshotSequence = log.lastSequence();
    }
    List<Decision> decisions = takeUpTo(snapshotDecisions, maxBytes);
    return new RoleUpdate.SnapshotPart(
        log.role(),
        log.epoch(),
        snapshotSequence,
        partsBuilt++,
        !snapshotDecisions.hasNext(),
        decisions);
  }

  private static List<Decision> takeUpTo(PeekingIterator<Decision> source, int maxBytes) {
    List<Decision> taken = new ArrayList<>();
    int remainingBytes = maxBytes;
    while (source.hasNext()) {
      remainingBytes -= DecisionCodec.maxSize(source.peek());
      if (remainingBytes < 0 && !taken.isEmpty()) {
        break;
      }
      taken.add(source.next());
    }
    return taken;
  }

  /**
   * Processes an acknowledgement from the standby; one for another epoch is ignored.
   *
   * @return whether the standby made progress but still lacks decisions that existed when the
   *     latest update was built and did not fit into it
   */
  boolean acknowledge(RoleAck ack) {
    if (ack.epoch() != log.epoch()) {
      return false;
    }
    boolean progress =
        ack.applied() > acknowledged
            || partInFlight != null && ack.partsReceived() > partInFlight.part();
    acknowledged = Math.min(ack.applied(), log.lastSequence());
    if (acknowledged != RoleAck.NEEDS_SNAPSHOT && acknowledged >= snapshotSequence) {
      endSnapshot();
    } else if (partInFlight != null) {
      continueSnapshot(ack.partsReceived());
    }
    return progress && acknowledged < lastSequenceWhenBuilt;
  }

  private void continueSnapshot(int received) {
    if (received == partInFlight.part() + 1) {
      partInFlight = null; // the next part is built when it is sent
    } else if (received != partInFlight.part()) {
      endSnapshot(); // the standby started over
    }
  }

  private void endSnapshot() {
    snapshotDecisions = null;
    partInFlight = null;
    partsBuilt = 0;
    snapshotSequence = RoleAck.NEEDS_SNAPSHOT;
  }
}
