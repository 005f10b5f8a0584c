package org.baygw.control.standby;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.baygw.control.Constants;

/**
 * Withholds orders to workers between deciding and sending them where this controller may have been
 * replaced meanwhile: it stood still for so long that its membership lease may have run out. A
 * decision made in time is sent; one that is old when it comes to be sent is not, and after a stop
 * nothing is sent until the lease is known to live or the state service has had time to answer.
 * What has left this process is fenced by the workers' tokens.
 */
final class EmissionFence {
  private final LongSupplier leaseValidUntil;
  private final BooleanSupplier releasing;
  private long lastInput = Long.MIN_VALUE;
  private long doubtUntil = Long.MIN_VALUE;
  private long withheld;

  /**
   * Makes a fence.
   *
   * @param leaseValidUntil the steady time until which the membership lease certainly lives
   * @param releasing whether the roles are just being released
   */
  EmissionFence(LongSupplier leaseValidUntil, BooleanSupplier releasing) {
    this.leaseValidUntil = leaseValidUntil;
    this.releasing = releasing;
  }

  /** An input is about to be handled. */
  void input(long now) {
    boolean stoodStill = lastInput != Long.MIN_VALUE && now - lastInput > Constants.STALL_MS;
    if (stoodStill && now >= leaseValidUntil.getAsLong()) {
      doubtUntil = now + Constants.STATE_TIMEOUT_MS;
    }
    lastInput = now;
  }

  /** Whether orders that were decided then are not to be sent now. */
  boolean withholds(long decidedAt, long now) {
    boolean leaseLives = now < leaseValidUntil.getAsLong();
    boolean stale = now - decidedAt > Constants.STALL_MS || now < doubtUntil;
    boolean withhold = releasing.getAsBoolean() || !leaseLives && stale;
    withheld += withhold ? 1 : 0;
    return withhold;
  }

  /** Batches of orders that were withheld so far. */
  long withheld() {
    return withheld;
  }
}
