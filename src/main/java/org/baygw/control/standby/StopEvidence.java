package org.baygw.control.standby;

/**
 * Why the controller that was active in the former epoch gives no more orders that count: its claim
 * is gone from the state service, the role was claimed anew by a conditional write with a higher
 * stamp, and this controller's copy has reached that write. Silence and timers are no evidence, so
 * there is no kind for them.
 */
sealed interface StopEvidence {
  Role role();

  /** The epoch that has ended; 0 where none is known. */
  long formerEpoch();

  /** The epoch that begins: the stamp of this controller's claim. */
  long epoch();

  /** The former active controller gave the role up after this decision. */
  record Released(Role role, long formerEpoch, long finalSequence, long epoch)
      implements StopEvidence {
    public Released {
      requireNewer(formerEpoch, epoch);
    }
  }

  /** The claim ended without a word: its lease ran out, or its owner deleted it. */
  record ClaimEnded(Role role, long formerEpoch, long epoch) implements StopEvidence {
    public ClaimEnded {
      requireNewer(formerEpoch, epoch);
    }
  }

  private static void requireNewer(long formerEpoch, long epoch) {
    if (epoch <= formerEpoch) {
      throw new IllegalArgumentException("epoch " + epoch + " does not end epoch " + formerEpoch);
    }
  }
}
