package org.baygw.control.standby;

/**
 * How far this controller is from being active for one role. What it sees of the claim decides;
 * suspicion only prepares and never moves a role by itself.
 */
final class Takeover {
  /** What this controller is for the role. */
  enum State {
    /** Another controller is active, and a third one would succeed it. */
    UNINVOLVED,
    /** It would succeed the active controller, and hears from it. */
    FOLLOWING,
    /** It would succeed the active controller, which has been silent. */
    SUSPECTING,
    /** Nobody holds the role and it is claiming it, or its copy has not reached its claim yet. */
    CONFIRMING,
    /** It has evidence that the former active controller stopped, and gives the orders. */
    ACTIVE,
    /** It was active and is not any more. */
    STEPPED_DOWN
  }

  /**
   * What is known of the role now.
   *
   * @param ownedEpoch the stamp of this controller's claim once its copy has reached it, else 0
   * @param claimEpoch the stamp of the claim in the copy, whoever holds it; 0 where there is none
   * @param ownClaim whether the claim in the copy is this controller's
   * @param successor whether this controller would take the role
   * @param silentMs for how long the active controller has not been heard
   */
  record Observation(
      long ownedEpoch, long claimEpoch, boolean ownClaim, boolean successor, long silentMs) {}

  /** A change of state. */
  record Transition(State from, State to, String reason) {}

  private final Role role;
  private final long suspectMs;
  private State state = State.UNINVOLVED;
  private StopEvidence evidence;

  /** The highest epoch seen in which another controller, or this one earlier, was active. */
  private long formerEpoch;

  Takeover(Role role, long suspectMs) {
    this.role = role;
    this.suspectMs = suspectMs;
  }

  State state() {
    return state;
  }

  /** Why the former active controller has stopped; null unless this controller is active. */
  StopEvidence evidence() {
    return evidence;
  }

  /** Takes what is known now; returns the change of state, or null where there is none. */
  Transition observe(Observation seen, Replica replica) {
    State before = state;
    String reason;
    if (seen.ownedEpoch() != 0) {
      reason = activate(seen.ownedEpoch(), replica);
    } else if (before == State.ACTIVE) {
      reason = stepDown();
    } else {
      reason = follow(seen);
    }
    if (!seen.ownClaim()) {
      formerEpoch = Math.max(formerEpoch, seen.claimEpoch());
    }
    return state == before ? null : new Transition(before, state, reason);
  }

  private String activate(long epoch, Replica replica) {
    if (state != State.ACTIVE || evidence.epoch() != epoch) {
      boolean released = replica != null && replica.released(formerEpoch);
      evidence =
          released
              ? new StopEvidence.Released(role, formerEpoch, replica.finalSequence(), epoch)
              : new StopEvidence.ClaimEnded(role, formerEpoch, epoch);
      formerEpoch = epoch;
      state = State.ACTIVE;
    }
    return evidence.toString();
  }

  private String stepDown() {
    state = State.STEPPED_DOWN;
    evidence = null;
    return "its claim is over";
  }

  private String follow(Observation seen) {
    if (seen.ownClaim()) {
      state = State.CONFIRMING;
      return "its copy has not reached its claim";
    } else if (!seen.successor()) {
      state = state == State.STEPPED_DOWN ? state : State.UNINVOLVED;
      return "another controller would succeed";
    } else if (seen.claimEpoch() == 0) {
      state = State.CONFIRMING;
      return "nobody holds the claim";
    } else if (seen.silentMs() > suspectMs) {
      state = State.SUSPECTING;
      return "nothing was heard for " + seen.silentMs() + " ms";
    }
    state = State.FOLLOWING;
    return "the active controller holds epoch " + seen.claimEpoch();
  }
}
