package org.baygw.control.standby;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.baygw.control.Constants;

/**
 * Withholds orders to workers between decision and sending if another controller may have replaced
 * this one meanwhile, because it stalled for so long that its membership lease may have expired.
 * While the lease may have expired, orders from recent decisions are still sent and those from
 * stale decisions are not; after a stall nothing is sent until the lease is known to be valid or
 * the state service has had time to answer. While roles are being released, nothing is sent either.
 * Orders that have left this process are fenced by the workers' tokens.
 */
final class EmissionFence {
  private final LongSupplier leaseValidUntil;
  private final BooleanSupplier releasing;
  private long lastInput = Long.MIN_VALUE;
  private long uncertainUntil = Long.MIN_VALUE;
  private long withheld;

  /**
   * Creates a fence.
   *
   * @param leaseValidUntil the monotonic time until which the membership lease is certainly valid
   * @param releasing whether the roles are being released
   */
  EmissionFence(LongSupplier leaseValidUntil, BooleanSupplier releasing) {
    this.leaseValidUntil = leaseValidUntil;
    this.releasing = releasing;
  }

  /** Called before each input is handled; detects stalls. */
  void onInput(long now) {
    boolean stalled = lastInput != Long.MIN_VALUE && now - lastInput > Constants.STALL_MS;
    if (stalled && now >= leaseValidUntil.getAsLong()) {
      uncertainUntil = now + Constants.STATE_TIMEOUT_MS;
    }
    lastInput = now;
  }

  /** Whether orders that were decided at {@code decidedAt} must not be sent at {@code now}. */
  boolean withholds(long decidedAt, long now) {
    boolean leaseValid = now < leaseValidUntil.getAsLong();
    boolean stale = now - decidedAt > Constants.STALL_MS || now < uncertainUntil;
    boolean withhold = releasing.getAsBoolean() || !leaseValid && stale;
    withheld += withhold ? 1 : 0;
    return withhold;
  }

  /** Number of batches of orders withheld so far. */
  long withheld() {
    return withheld;
  }
}
