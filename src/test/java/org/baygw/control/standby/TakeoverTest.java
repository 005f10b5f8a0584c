package org.baygw.control.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

final class TakeoverTest {
  private static final Role ROLE = new Role("a.0");
  private static final long SUSPECT_MS = 4_500;

  private final Takeover takeover = new Takeover(ROLE, SUSPECT_MS);
  private final Replica replica = new Replica(ROLE, new Replica.Counters(), 0);

  private Takeover.State observe(
      long ownedEpoch, long claimEpoch, boolean ownClaim, boolean successor, long silentMs) {
    takeover.observe(
        new Takeover.Observation(ownedEpoch, claimEpoch, ownClaim, successor, silentMs), replica);
    return takeover.state();
  }

  @Test
  void silenceAloneNeverActivates() {
    assertEquals(Takeover.State.FOLLOWING, observe(0, 7, false, true, 0));
    assertEquals(Takeover.State.SUSPECTING, observe(0, 7, false, true, SUSPECT_MS + 1));
    assertEquals(Takeover.State.SUSPECTING, observe(0, 7, false, true, Long.MAX_VALUE));
    assertNull(takeover.evidence());
    assertEquals(Takeover.State.FOLLOWING, observe(0, 7, false, true, 10));
  }

  @Test
  void staysInactiveUntilStateCacheReachesClaim() {
    observe(0, 7, false, true, 0);
    assertEquals(Takeover.State.CONFIRMING, observe(0, 0, false, true, 0));
    assertEquals(Takeover.State.CONFIRMING, observe(0, 9, true, true, 0));
    assertNull(takeover.evidence());
    assertEquals(Takeover.State.ACTIVE, observe(9, 9, true, false, 0));
    assertEquals(new StopEvidence.ClaimEnded(ROLE, 7, 9), takeover.evidence());
  }

  @Test
  void distinguishesReleaseFromExpiredLease() {
    observe(0, 7, false, true, 0);
    replica.receive(new RoleUpdate.Release(ROLE, 7, 41), 1);
    observe(0, 0, false, true, 0);
    observe(9, 9, true, false, 0);
    assertEquals(new StopEvidence.Released(ROLE, 7, 41, 9), takeover.evidence());
  }

  @Test
  void releaseOfAnotherEpochIsNoEvidence() {
    observe(0, 7, false, true, 0);
    replica.receive(new RoleUpdate.Release(ROLE, 6, 41), 1);
    observe(9, 9, true, false, 0);
    assertEquals(new StopEvidence.ClaimEnded(ROLE, 7, 9), takeover.evidence());
  }

  @Test
  void stepsDownAndIsActiveAgainInNewEpoch() {
    observe(9, 9, true, false, 0);
    assertEquals(Takeover.State.STEPPED_DOWN, observe(0, 12, false, false, 0));
    assertNull(takeover.evidence());
    assertEquals(Takeover.State.FOLLOWING, observe(0, 12, false, true, 0));
    assertEquals(Takeover.State.ACTIVE, observe(15, 15, true, false, 0));
    assertEquals(new StopEvidence.ClaimEnded(ROLE, 12, 15), takeover.evidence());
  }

  @Test
  void newClaimOfItsOwnBeginsNewEpoch() {
    observe(9, 9, true, false, 0);
    observe(14, 14, true, false, 0);
    assertEquals(new StopEvidence.ClaimEnded(ROLE, 9, 14), takeover.evidence());
  }

  @Test
  void nonSuccessorIsUninvolved() {
    assertEquals(Takeover.State.UNINVOLVED, observe(0, 7, false, false, Long.MAX_VALUE));
    assertEquals(Takeover.State.UNINVOLVED, observe(0, 0, false, false, 0));
  }

  @Test
  void evidenceNeedsHigherEpoch() {
    assertThrows(IllegalArgumentException.class, () -> new StopEvidence.ClaimEnded(ROLE, 9, 9));
    assertThrows(IllegalArgumentException.class, () -> new StopEvidence.Released(ROLE, 9, 3, 8));
  }
}
