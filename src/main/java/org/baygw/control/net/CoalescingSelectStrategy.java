package org.baygw.control.net;

import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Keeps the event loop's wake-ups apart by a few milliseconds, so that what arrives meanwhile is
 * read together: on a small share of a processor a wake-up costs as much as the work that it finds.
 * What comes after a pause is read at once. The same is done by network cards with interrupts.
 */
final class CoalescingSelectStrategy implements SelectStrategy {
  private final long gapNanos;

  /**
   * @param gapMs between two wake-ups; 0 for none
   */
  CoalescingSelectStrategy(long gapMs) {
    this.gapNanos = TimeUnit.MILLISECONDS.toNanos(gapMs);
  }

  @Override
  public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
    if (hasTasks) {
      return selectNow.get();
    }
    if (gapNanos > 0) {
      LockSupport.parkNanos(gapNanos);
    }
    return SELECT;
  }
}
