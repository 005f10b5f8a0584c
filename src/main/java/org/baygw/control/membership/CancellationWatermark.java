package org.baygw.control.membership;

import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.store.Store;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Up to when this controller knows of every cancellation that any controller may have told a user
 * of, and whether that is recent enough to renew a worker's lease. A worker whose report is
 * answered now may keep a task for a lease from now; a cancellation that is not known here was
 * confirmed after the watermark. So while a report is answered with 200 only with a watermark at
 * most {@code cancel_s − lease_s − margin} old, every task of a cancelled job is gone in time even
 * if no kill ever reaches it.
 */
public final class CancellationWatermark {
  private static final Logger LOG = LoggerFactory.getLogger(CancellationWatermark.class);

  private final Clock clock;
  private final Settings settings;
  private final Store store;
  private final Peers peers;
  private final long maxAgeMs;

  public CancellationWatermark(Clock clock, Settings settings, Store store, Peers peers) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.peers = peers;
    this.maxAgeMs = settings.workers().watermarkMaxAgeMs();
    if (maxAgeMs < Constants.WATERMARK_TIGHT_MS) {
      LOG.warn(
          "cancel_s leaves {} ms beyond a lease: reports are answered only with knowledge younger than"
              + " that, so tasks may end with their leases",
          maxAgeMs);
    }
  }

  /** Whether the copy of the state service has been made current within a hold's life. */
  public boolean copyIsCurrent() {
    return store.currentAsOf() >= longAgo();
  }

  /** Whether a worker's lease may be renewed now. */
  public boolean recent() {
    return clock.now() - knownUntil() <= maxAgeMs;
  }

  /**
   * Whether another controller may have taken this one's claims over: the copy has not been current
   * for a hold's life, and it is not an outage as far as most controllers can tell. An answer after
   * a long silence is no reason yet: the copy may still lack the takeover.
   */
  public boolean mayBeReplaced() {
    return !copyIsCurrent() && !outageForMost();
  }

  /**
   * Whether the state service is out for this controller and most of the others, none of which
   * fares better: then no claim changes hands.
   */
  public boolean outageForMost() {
    int lives = 1;
    for (Settings.Peer p : settings.peers()) {
      lives += lives(p.label()) ? 1 : 0;
    }
    return store.lastContact() < longAgo()
        && !peers.refusedAlone()
        && 2 * lives > settings.peers().size() + 1;
  }

  /**
   * Whether a controller can be sure of its claims as far as this one can tell: it has lately told
   * of itself, and the state service did not turn away from it alone before it was out for all.
   */
  public boolean acts(String label) {
    return label.equals(settings.label()) || lives(label) && !peers.behind(label);
  }

  private boolean lives(String label) {
    return peers.acknowledgedUntil(label) >= longAgo();
  }

  private long longAgo() {
    return clock.now() - Constants.HOLD_TTL_MS;
  }

  private long knownUntil() {
    return store.loaded()
        ? Math.max(store.currentAsOf(), peers.acknowledgedUntil())
        : Long.MIN_VALUE / 2;
  }
}
