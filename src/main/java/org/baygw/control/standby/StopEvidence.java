package org.baygw.control.standby;

/**
 * Evidence that orders from the controller that was active in the former epoch no longer take
 * effect: its claim is gone from the state service, the role was claimed again by a conditional
 * write with a higher stamp, and this controller's state cache has reached that write. Silence and
 * timers are not evidence, so no subtype exists for them.
 */
sealed interface StopEvidence {
  Role role();

  /** The epoch that has ended; 0 if none is known. */
  long formerEpoch();

  /** The epoch that begins: the stamp of this controller's claim. */
  long epoch();

  /** The former active controller released the role after the decision {@code finalSequence}. */
  record Released(Role role, long formerEpoch, long finalSequence, long epoch)
      implements StopEvidence {
    public Released {
      requireNewer(formerEpoch, epoch);
    }
  }

  /** The claim ended without a release message: its lease expired or its owner deleted it. */
  record ClaimEnded(Role role, long formerEpoch, long epoch) implements StopEvidence {
    public ClaimEnded {
      requireNewer(formerEpoch, epoch);
    }
  }

  private static void requireNewer(long formerEpoch, long epoch) {
    if (epoch <= formerEpoch) {
      throw new IllegalArgumentException(
          "epoch " + epoch + " is not newer than epoch " + formerEpoch);
    }
  }
}
