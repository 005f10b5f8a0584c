package org.baygw.control.membership;

import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.store.Store;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Up to when this controller knows of every cancellation that any controller may have told a user of,
 * and whether that is recent enough to renew a worker's lease. A worker whose report is answered now
 * may keep a task for a lease from now; a cancellation that is not known here was confirmed after the
 * horizon. So while a report is answered with 200 only with a horizon at most {@code cancel_s − lease_s
 * − margin} old, every task of a cancelled job is gone in time even if no kill ever reaches it.
 */
public final class CancellationHorizon {
  private static final Logger LOG = LoggerFactory.getLogger(CancellationHorizon.class);

  private final Clock clock;
  private final Store store;
  private final Peers peers;
  private final long maxAgeMs;

  public CancellationHorizon(Clock clock, Settings settings, Store store, Peers peers) {
    this.clock = clock;
    this.store = store;
    this.peers = peers;
    this.maxAgeMs = settings.workers().horizonMs();
    if (maxAgeMs < Constants.HORIZON_TIGHT_MS) {
      LOG.warn(
          "cancel_s leaves {} ms beyond a lease: reports are answered only with knowledge younger than"
              + " that, so tasks may end with their leases",
          maxAgeMs);
    }
  }

  /** Whether a worker's lease may be renewed now. */
  public boolean recent() {
    return clock.now() - knownUntil() <= maxAgeMs;
  }

  /**
   * Whether another controller may have taken this one's claims over: the copy has not been current for
   * a hold's life, and it is not an outage in which every sibling tells that it fares no better. An
   * answer after a long silence is no reason yet: the copy may still lack the takeover.
   */
  public boolean mayBeReplaced() {
    long latest = clock.now() - Constants.HOLD_TTL_MS;
    boolean outage =
        store.lastContact() < latest && peers.vouchedUntil() >= latest && !peers.refusedAlone();
    return store.currentAsOf() < latest && !outage;
  }

  private long knownUntil() {
    return store.loaded() ? Math.max(store.currentAsOf(), peers.vouchedUntil()) : Long.MIN_VALUE / 2;
  }
}
