package org.baygw.control.standby;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * The decisions of one role in one epoch, numbered from 1, at the controller that is active for the
 * role: the state that results from them and a bounded tail of the latest ones. Appending never
 * waits for a standby.
 */
final class DecisionLog {
  private final Role role;
  private final long epoch;
  private final int maxKept;
  private final Deque<Decision> tail = new ArrayDeque<>();
  private RoleState state;
  private long lastSequence;

  /**
   * Creates an empty log.
   *
   * @param base the state inherited from the former epoch
   * @param maxKept how many decisions are kept for a standby that lags
   */
  DecisionLog(Role role, long epoch, RoleState base, int maxKept) {
    this.role = role;
    this.epoch = epoch;
    this.state = base;
    this.maxKept = maxKept;
  }

  Role role() {
    return role;
  }

  long epoch() {
    return epoch;
  }

  /** The state after all decisions so far. */
  RoleState state() {
    return state;
  }

  /** The sequence number of the last decision; 0 if there was none. */
  long lastSequence() {
    return lastSequence;
  }

  /** Number of decisions in the tail. */
  int tailSize() {
    return tail.size();
  }

  void append(Decision decision) {
    state = state.apply(decision);
    lastSequence++;
    tail.add(decision);
    if (tail.size() > maxKept) {
      tail.remove();
    }
  }

  /** Whether the tail has all decisions after {@code sequence}; if not, a snapshot is needed. */
  boolean reachesBackTo(long sequence) {
    return sequence >= lastSequence - tail.size() && sequence <= lastSequence;
  }

  /**
   * The decisions after a sequence number that the tail reaches back to, as many as fit into the
   * given number of bytes but at least one if there is any.
   */
  List<Decision> decisionsAfter(long sequence, int maxBytes) {
    List<Decision> found = new ArrayList<>();
    Iterator<Decision> decisions = tail.iterator();
    for (long skip = sequence - (lastSequence - tail.size()); skip > 0; skip--) {
      decisions.next();
    }
    int remainingBytes = maxBytes;
    while (decisions.hasNext() && remainingBytes > 0) {
      Decision decision = decisions.next();
      remainingBytes -= DecisionCodec.maxSize(decision);
      if (remainingBytes >= 0 || found.isEmpty()) {
        found.add(decision);
      }
    }
    return found;
  }
}
