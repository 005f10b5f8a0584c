package org.baygw.control.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

final class EmissionFenceTest {
  private long leaseValidUntil = 5_000;
  private boolean releasing;
  private final EmissionFence fence = new EmissionFence(() -> leaseValidUntil, () -> releasing);

  @Test
  void withholdsStaleDecisionsOnceLeaseMayHaveExpired() {
    fence.onInput(1_000);
    assertFalse(fence.withholds(1_000, 4_999));
    assertTrue(fence.withholds(1_000, 5_000));
    assertEquals(1, fence.withheld());
  }

  @Test
  void withholdsNothingInOutageWithoutStall() {
    for (long now = 0; now < 60_000; now += 50) {
      fence.onInput(now);
      assertFalse(fence.withholds(now, now + 1), "at " + now);
    }
  }

  @Test
  void withholdsAllAfterStallUntilLeaseIsKnownToBeValid() {
    fence.onInput(1_000);
    fence.onInput(9_000);
    assertTrue(fence.withholds(9_000, 9_000));
    assertTrue(fence.withholds(9_400, 9_400));
    leaseValidUntil = 14_000;
    assertFalse(fence.withholds(9_500, 9_500));
  }

  @Test
  void resumesAfterStallIfStateServiceDoesNotAnswer() {
    fence.onInput(1_000);
    fence.onInput(9_000);
    for (long now = 9_000; now < 10_500; now += 50) {
      fence.onInput(now);
      assertTrue(fence.withholds(now, now), "at " + now);
    }
    fence.onInput(10_500);
    assertFalse(fence.withholds(10_500, 10_500));
  }

  @Test
  void withholdsAllWhileRolesAreReleased() {
    fence.onInput(1_000);
    releasing = true;
    assertTrue(fence.withholds(1_000, 1_000));
  }
}
