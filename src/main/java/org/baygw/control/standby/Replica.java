package org.baygw.control.standby;

import java.util.List;

/**
 * A standby's copy of a role's state. It applies decisions in their order, each once; it drops what
 * is of an older epoch or already applied, and asks for a snapshot where something is missing.
 */
final class Replica {
  /** How updates were dealt with, for operators. */
  static final class Counters {
    long applied;
    long repeated;
    long gaps;
    long snapshots;
    long outdated;
  }

  private static final long NOTHING = RoleAck.NEEDS_SNAPSHOT;

  private final Role role;
  private final Counters counters;
  private RoleState state = RoleState.EMPTY;
  private long epoch;
  private long applied = NOTHING;

  /** The snapshot that is being received: its decisions' sum, its number and its next part. */
  private RoleState partial = RoleState.EMPTY;

  private long partialSequence = NOTHING;
  private int nextPart;

  private long releasedEpoch;
  private long finalSequence;
  private long heardAt;

  Replica(Role role, Counters counters, long now) {
    this.role = role;
    this.counters = counters;
    this.heardAt = now;
  }

  /** The state as far as it has been applied, of {@link #epoch()}. */
  RoleState state() {
    return state;
  }

  long epoch() {
    return epoch;
  }

  /** The number of the last decision applied; negative where there is no state of the epoch yet. */
  long applied() {
    return applied;
  }

  /** When the active controller was last heard. */
  long heardAt() {
    return heardAt;
  }

  /** Whether the active controller of that epoch has said that it has given the role up. */
  boolean released(long ofEpoch) {
    return releasedEpoch == ofEpoch && ofEpoch > 0;
  }

  /** The last decision of the epoch that was released. */
  long finalSequence() {
    return finalSequence;
  }

  /** Takes an update in and says how far this replica is. */
  RoleAck receive(RoleUpdate update, long now) {
    if (update.epoch() < epoch) {
      counters.outdated++;
      return ack();
    }
    heardAt = now;
    if (update.epoch() > epoch) {
      begin(update.epoch());
    }
    if (update instanceof RoleUpdate.LogUpdate log) {
      append(log);
    } else if (update instanceof RoleUpdate.SnapshotPart part) {
      take(part);
    } else if (update instanceof RoleUpdate.Release release) {
      releasedEpoch = release.epoch();
      finalSequence = release.finalSequence();
    }
    return ack();
  }

  /** A new epoch: what is known stays until the epoch's own snapshot has come. */
  private void begin(long newEpoch) {
    epoch = newEpoch;
    applied = NOTHING;
    forgetPartial();
  }

  private void append(RoleUpdate.LogUpdate log) {
    if (applied == NOTHING || log.first() > applied + 1) {
      counters.gaps += applied == NOTHING ? 0 : 1;
      return; // the answer says what is missing
    }
    List<Decision> decisions = log.decisions();
    long known = Math.min(decisions.size(), applied + 1 - log.first());
    counters.repeated += known;
    for (Decision decision : decisions.subList((int) known, decisions.size())) {
      state = state.apply(decision);
      applied++;
      counters.applied++;
    }
  }

  private void take(RoleUpdate.SnapshotPart part) {
    if (part.sequence() <= applied) {
      counters.repeated++;
      return;
    }
    if (part.part() == 0) {
      partial = RoleState.EMPTY;
      partialSequence = part.sequence();
      nextPart = 0;
    }
    if (part.sequence() != partialSequence || part.part() != nextPart) {
      counters.repeated++;
      return;
    }
    for (Decision decision : part.decisions()) {
      partial = partial.apply(decision);
    }
    nextPart++;
    if (part.last()) {
      state = partial;
      applied = part.sequence();
      counters.snapshots++;
      forgetPartial();
    }
  }

  private void forgetPartial() {
    partial = RoleState.EMPTY;
    partialSequence = NOTHING;
    nextPart = 0;
  }

  private RoleAck ack() {
    return new RoleAck(role, epoch, applied, nextPart);
  }
}
