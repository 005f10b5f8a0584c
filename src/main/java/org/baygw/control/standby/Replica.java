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

  private static final long NO_SEQUENCE = RoleAck.NEEDS_SNAPSHOT;

  private final Role role;
  private final Counters counters;
  private RoleState state = RoleState.EMPTY;
  private long epoch;
  private long applied = NO_SEQUENCE;

  /** The state rebuilt so far from the snapshot that is being received. */
  private RoleState partialState = RoleState.EMPTY;

  private long partialSequence = NO_SEQUENCE;
  private int nextPart;

  private long releasedEpoch;
  private long finalSequence;
  private long lastHeardAt;

  Replica(Role role, Counters counters, long now) {
    this.role = role;
    this.counters = counters;
    this.lastHeardAt = now;
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
  long lastHeardAt() {
    return lastHeardAt;
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
    lastHeardAt = now;
    if (update.epoch() > epoch) {
      beginEpoch(update.epoch());
    }
    if (update instanceof RoleUpdate.LogUpdate log) {
      applyLog(log);
    } else if (update instanceof RoleUpdate.SnapshotPart part) {
      applySnapshotPart(part);
    } else if (update instanceof RoleUpdate.Release release) {
      releasedEpoch = release.epoch();
      finalSequence = release.finalSequence();
    }
    return ack();
  }

  /** Starts a new epoch; the known state is kept until the new epoch's snapshot is complete. */
  private void beginEpoch(long newEpoch) {
    epoch = newEpoch;
    applied = NO_SEQUENCE;
    discardPartial();
  }

  private void applyLog(RoleUpdate.LogUpdate update) {
    if (applied == NO_SEQUENCE || update.first() > applied + 1) {
      counters.gaps += applied == NO_SEQUENCE ? 0 : 1;
      return; // the acknowledgement tells the sender what is missing
    }
    List<Decision> decisions = update.decisions();
    long alreadyApplied = Math.min(decisions.size(), applied + 1 - update.first());
    counters.repeated += alreadyApplied;
    for (Decision decision : decisions.subList((int) alreadyApplied, decisions.size())) {
      state = state.apply(decision);
      applied++;
      counters.applied++;
    }
  }

  private void applySnapshotPart(RoleUpdate.SnapshotPart part) {
    if (part.sequence() <= applied) {
      counters.repeated++;
      return;
    }
    if (part.part() == 0) {
      partialState = RoleState.EMPTY;
      partialSequence = part.sequence();
      nextPart = 0;
    }
    if (part.sequence() != partialSequence || part.part() != nextPart) {
      counters.repeated++;
      return;
    }
    for (Decision decision : part.decisions()) {
      partialState = partialState.apply(decision);
    }
    nextPart++;
    if (part.last()) {
      state = partialState;
      applied = part.sequence();
      counters.snapshots++;
      discardPartial();
    }
  }

  private void discardPartial() {
    partialState = RoleState.EMPTY;
    partialSequence = NO_SEQUENCE;
    nextPart = 0;
  }

  private RoleAck ack() {
    return new RoleAck(role, epoch, applied, nextPart);
  }
}
