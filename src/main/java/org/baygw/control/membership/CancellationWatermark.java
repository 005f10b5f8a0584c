package org.baygw.control.membership;

import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.store.Store;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The time up to which this controller knows every cancellation that any controller may have
 * confirmed to a user. A cancellation unknown here was confirmed after the watermark, and a worker
 * whose report is answered now may run a task for one more lease term. Answering reports with 200
 * only while the watermark is at most {@code cancel_s − lease_s − margin} old therefore ends every
 * task of a cancelled job in time, even if no kill order ever reaches the worker.
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
    if (maxAgeMs < Constants.WATERMARK_WARN_MS) {
      LOG.warn(
          "cancel_s exceeds lease_s by only {} ms after margins: worker leases are renewed only while"
              + " every cancellation older than that is known, so ordinary delays may end tasks",
          maxAgeMs);
    }
  }

  /** Whether the state cache was brought up to date within the last membership lease term. */
  public boolean cacheIsCurrent() {
    return store.currentAsOf() >= leaseCutoff();
  }

  /** Whether the watermark is recent enough to renew a worker's lease. */
  public boolean recent() {
    return clock.now() - knownUntil() <= maxAgeMs;
  }

  /**
   * Whether another controller may have taken over this one's claims: the state cache has not been
   * up to date within a membership lease term, and the state service is not out for the majority. A
   * single answer after a long silence does not rule out a takeover, because the cache may still
   * lack it.
   */
  public boolean mayHaveLostClaims() {
    return !cacheIsCurrent() && !outageForMajority();
  }

  /**
   * Whether the state service is out for this controller and, as far as it can tell, for a majority
   * of controllers: most are alive and none reached the service after this one lost it. No claim
   * changes hands in such an outage.
   */
  public boolean outageForMajority() {
    int alive = 1;
    for (Settings.Peer peer : settings.peers()) {
      alive += alive(peer.label()) ? 1 : 0;
    }
    return store.lastContact() < leaseCutoff()
        && !peers.isolatedFromStateService()
        && 2 * alive > settings.peers().size() + 1;
  }

  /**
   * Whether a controller can rely on its claims as far as this one can tell: it is this one, or it
   * acknowledged a status recently and the state service did not refuse it alone before the outage
   * began for all.
   */
  public boolean canRelyOnClaims(String label) {
    return label.equals(settings.label()) || alive(label) && !peers.peerIsolated(label);
  }

  private boolean alive(String label) {
    return peers.acknowledgedUntil(label) >= leaseCutoff();
  }

  private long leaseCutoff() {
    return clock.now() - Constants.MEMBERSHIP_LEASE_MS;
  }

  private long knownUntil() {
    return store.loaded()
        ? Math.max(store.currentAsOf(), peers.acknowledgedUntil())
        : Long.MIN_VALUE / 2;
  }
}
