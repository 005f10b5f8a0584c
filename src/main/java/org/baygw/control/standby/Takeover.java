package org.baygw.control.standby;

/**
 * State machine of this controller's takeover of one role. The role's claim decides; suspicion of
 * the active controller only prepares a takeover and never moves a role by itself.
 */
final class Takeover {
  /** The state of this controller for the role. */
  enum State {
    /** This controller neither holds the role nor is next to take it. */
    UNINVOLVED,
    /** This controller is the successor and receives updates from the active controller. */
    FOLLOWING,
    /** This controller is the successor, and the active controller has been silent. */
    SUSPECTING,
    /**
     * Nobody holds the role and this controller is next to claim it, or its state cache has not
     * reached its claim yet.
     */
    CONFIRMING,
    /** This controller has evidence that the former active one stopped, and issues the orders. */
    ACTIVE,
    /** This controller was active and no longer is. */
    STEPPED_DOWN
  }

  /**
   * What this controller currently knows of the role.
   *
   * @param ownedEpoch the stamp of this controller's claim once the state cache has reached it,
   *     else 0
   * @param claimEpoch the stamp of the claim in the state cache, whoever holds it; 0 if there is
   *     none
   * @param ownClaim whether the claim in the state cache is this controller's
   * @param successor whether this controller is next to take the role
   * @param silentMs ms since the active controller was last heard from; 0 without a replica
   */
  record Observation(
      long ownedEpoch, long claimEpoch, boolean ownClaim, boolean successor, long silentMs) {}

  /** A change of state. */
  record Transition(State from, State to, String reason) {}

  private final Role role;
  private final long suspectMs;
  private State state = State.UNINVOLVED;
  private StopEvidence evidence;

  /** The highest known epoch in which another controller, or this one earlier, was active. */
  private long formerEpoch;

  Takeover(Role role, long suspectMs) {
    this.role = role;
    this.suspectMs = suspectMs;
  }

  State state() {
    return state;
  }

  /** Evidence that the former active controller stopped; null unless this controller is active. */
  StopEvidence evidence() {
    return evidence;
  }

  /** Updates the state from an observation; returns the transition, or null if there is none. */
  Transition observe(Observation observation, Replica replica) {
    State previous = state;
    String reason;
    if (observation.ownedEpoch() != 0) {
      reason = activate(observation.ownedEpoch(), replica);
    } else if (previous == State.ACTIVE) {
      reason = stepDown();
    } else {
      reason = updateInactive(observation);
    }
    if (!observation.ownClaim()) {
      formerEpoch = Math.max(formerEpoch, observation.claimEpoch());
    }
    return state == previous ? null : new Transition(previous, state, reason);
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
    return "this controller's claim ended";
  }

  private String updateInactive(Observation observation) {
    if (observation.ownClaim()) {
      state = State.CONFIRMING;
      return "the state cache has not reached this controller's claim";
    } else if (!observation.successor()) {
      state = state == State.STEPPED_DOWN ? state : State.UNINVOLVED;
      return "this controller is not the successor";
    } else if (observation.claimEpoch() == 0) {
      state = State.CONFIRMING;
      return "nobody holds the claim";
    } else if (observation.silentMs() > suspectMs) {
      state = State.SUSPECTING;
      return "nothing was heard for " + observation.silentMs() + " ms";
    }
    state = State.FOLLOWING;
    return "the active controller holds epoch " + observation.claimEpoch();
  }
}
