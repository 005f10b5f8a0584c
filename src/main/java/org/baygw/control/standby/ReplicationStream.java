package org.baygw.control.standby;

import com.google.common.collect.Iterators;
import com.google.common.collect.PeekingIterator;
import java.util.ArrayList;
import java.util.List;

/**
 * What an active controller sends one standby of one role, and how far the standby is. One message
 * at a time is under way; one without an answer is made up anew from the last acknowledged number.
 */
final class ReplicationStream {
  private final DecisionLog log;
  private final String standby;
  private long acknowledged = RoleAck.NEEDS_SNAPSHOT;

  /** The number of the last decision when the latest update was made. */
  private long lastWhenSent;

  /** Since when decisions wait for their acknowledgement; 0 where none does. */
  private long laggingSince;

  /** The snapshot that is being sent: what is left of it, its number, and how many parts it had. */
  private PeekingIterator<Decision> snapshot;

  private long snapshotSequence = RoleAck.NEEDS_SNAPSHOT;
  private int parts;

  /** The part that is under way, or null. */
  private RoleUpdate.SnapshotPart part;

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

  /** The number of the last decision that the standby has applied; negative before a snapshot. */
  long acknowledged() {
    return acknowledged;
  }

  /** How many decisions the standby lacks. */
  long lag() {
    return log.last() - Math.max(0, acknowledged);
  }

  /** For how long the standby has lacked decisions, in ms. */
  long lagMs(long now) {
    return laggingSince == 0 ? 0 : now - laggingSince;
  }

  boolean upToDate() {
    return acknowledged == log.last();
  }

  /** Notes the time at which the standby began to lag. */
  void tick(long now) {
    laggingSince = upToDate() ? 0 : laggingSince == 0 ? now : laggingSince;
  }

  /** The next update, of about so many bytes at the most. */
  RoleUpdate next(int bytes) {
    lastWhenSent = log.last();
    if (acknowledged != RoleAck.NEEDS_SNAPSHOT && log.reachesBackTo(acknowledged)) {
      return new RoleUpdate.LogUpdate(
          log.role(), log.epoch(), acknowledged + 1, log.after(acknowledged, bytes));
    }
    if (part == null) {
      part = nextPart(bytes);
    }
    return part;
  }

  private RoleUpdate.SnapshotPart nextPart(int bytes) {
    if (snapshot == null) {
      snapshot = Iterators.peekingIterator(log.state().decisions());
      snapshotSequence = log.last();
    }
    List<Decision> decisions = take(snapshot, bytes);
    return new RoleUpdate.SnapshotPart(
        log.role(), log.epoch(), snapshotSequence, parts++, !snapshot.hasNext(), decisions);
  }

  private static List<Decision> take(PeekingIterator<Decision> from, int bytes) {
    List<Decision> taken = new ArrayList<>();
    int left = bytes;
    while (from.hasNext()) {
      left -= DecisionCodec.sizeOf(from.peek());
      if (left < 0 && !taken.isEmpty()) {
        break;
      }
      taken.add(from.next());
    }
    return taken;
  }

  /**
   * Takes the standby's answer in; of an epoch that is not this log's it says nothing.
   *
   * @return whether the standby got on and the message that it answers left something out
   */
  boolean acknowledge(RoleAck ack) {
    if (ack.epoch() != log.epoch()) {
      return false;
    }
    boolean progress =
        ack.applied() > acknowledged || part != null && ack.partsReceived() > part.part();
    acknowledged = Math.min(ack.applied(), log.last());
    if (acknowledged != RoleAck.NEEDS_SNAPSHOT && acknowledged >= snapshotSequence) {
      endSnapshot();
    } else if (part != null) {
      continueSnapshot(ack.partsReceived());
    }
    return progress && acknowledged < lastWhenSent;
  }

  private void continueSnapshot(int received) {
    if (received == part.part() + 1) {
      part = null; // the next one is made when it is sent
    } else if (received != part.part()) {
      endSnapshot(); // the standby began anew
    }
  }

  private void endSnapshot() {
    snapshot = null;
    part = null;
    parts = 0;
    snapshotSequence = RoleAck.NEEDS_SNAPSHOT;
  }
}
