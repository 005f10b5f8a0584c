package org.baygw.control.standby;

import java.util.List;

/**
 * A standby's copy of a role's state. Applies decisions in order, each once, drops updates of older
 * epochs and decisions that were applied before, and reports in its acknowledgement from where
 * decisions are missing or that it needs a snapshot.
 */
final class Replica {
  /** Counts of handled updates and decisions, for operators. */
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

  /** The state rebuilt so far from the snapshot that is being received. */
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

  /**
   * The state after the last decision applied. Until the first snapshot of {@link #epoch()} is
   * complete, this is the state known from an earlier epoch.
   */
  RoleState state() {
    return state;
  }

  long epoch() {
    return epoch;
  }

  /** The sequence number of the last decision applied; negative without a state of the epoch. */
  long applied() {
    return applied;
  }

  /** When the active controller was last heard from. */
  long heardAt() {
    return heardAt;
  }

  /** Whether the active controller of the given epoch has announced the release of the role. */
  boolean released(long ofEpoch) {
    return releasedEpoch == ofEpoch && ofEpoch > 0;
  }

  /** The sequence number of the last decision of the released epoch. */
  long finalSequence() {
    return finalSequence;
  }

  /** Applies an update and returns what this replica has applied. */
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

  /** Starts a new epoch; the known state is kept until the new epoch's snapshot is complete. */
  private void begin(long newEpoch) {
    epoch = newEpoch;
    applied = NOTHING;
    forgetPartial();
  }

  private void append(RoleUpdate.LogUpdate log) {
    if (applied == NOTHING || log.first() > applied + 1) {
      counters.gaps += applied == NOTHING ? 0 : 1;
      return; // the acknowledgement tells the sender what is missing
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
