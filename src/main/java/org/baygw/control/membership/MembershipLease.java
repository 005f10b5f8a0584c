package org.baygw.control.membership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.store.Keys;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's lease at the state service and the member key attached to it. The lease expires
 * unless it is renewed, and the controller's claims end with it.
 */
final class MembershipLease {
  private static final Logger LOG = LoggerFactory.getLogger(MembershipLease.class);

  private final Clock clock;
  private final Settings settings;
  private final Store store;
  private final StateCache cache;

  /**
   * The lease that the member key is attached to; 0 before joining and after the lease has ended.
   */
  private long currentLeaseId;

  /** A lease that was obtained but is not used yet; 0 if there is none. */
  private long preparedLeaseId;

  private long preparedAt;
  private long joinedAt;

  /** The latest lease of this controller that is known to have ended. */
  private long endedLeaseId;

  /** The monotonic time until which the current lease is guaranteed to be valid. */
  private long validUntil = Long.MIN_VALUE;

  private long preparedValidUntil;
  private boolean requestInFlight;
  private boolean updateInFlight;
  private boolean leaving;

  /** Whether this controller has ended its lease and obtains no further one. */
  private boolean hasLeft;

  private long nextAttemptAt;

  MembershipLease(Clock clock, Settings settings, Store store, StateCache cache) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.cache = cache;
  }

  /** The ID of the current lease, or 0 if there is none. */
  long currentLeaseId() {
    return currentLeaseId;
  }

  /**
   * The monotonic time until which the lease is guaranteed to be valid, even if the state service
   * stops answering; {@code Long.MIN_VALUE} if there is no lease.
   */
  long validUntil() {
    return currentLeaseId == 0 ? Long.MIN_VALUE : validUntil;
  }

  /** Whether this controller has ended its membership permanently. */
  boolean hasLeft() {
    return hasLeft;
  }

  long joinedAt() {
    return joinedAt;
  }

  /** Obtains a lease, joins with it or renews it, whichever is due. */
  void tick() {
    long now = clock.now();
    if (requestInFlight || hasLeft || now < nextAttemptAt) {
      return;
    }
    if (!store.loaded()) {
      if (currentLeaseId == 0 && preparedLeaseId == 0) {
        prepare(); // in parallel with reading the keys
      }
    } else if (currentLeaseId == 0) {
      join();
    } else {
      renew();
    }
  }

  private void join() {
    StateCache.Entry<StateCache.Member> previous = cache.members.get(settings.label());
    if (previous != null && previous.value().leaseId() != endedLeaseId) {
      // The member key of this controller's former process. Ending its lease frees its claims now.
      endLease(previous.value().leaseId());
      return;
    }
    long leaseId = preparedLeaseId;
    preparedLeaseId = 0;
    if (leaseId != 0 && clock.now() - preparedAt < Constants.MEMBERSHIP_RENEWAL_MS) {
      register(leaseId);
    } else {
      prepare();
    }
  }

  private void endLease(long leaseId) {
    request(
        "DELETE",
        "/holds/" + leaseId,
        null,
        (status, body) -> {
          if (status == 200 || status == 204 || status == 404) {
            endedLeaseId = leaseId;
          } else {
            nextAttemptAt = clock.now() + Constants.STATE_RETRY_MS;
          }
        });
  }

  /** Obtains a lease for joining. It has no effect until the member key is attached to it. */
  private void prepare() {
    ObjectNode leaseRequest = Json.object().put("ttlMs", Constants.MEMBERSHIP_LEASE_MS);
    long guaranteedUntil = guaranteedUntil();
    request(
        "POST",
        "/holds",
        Json.bytes(leaseRequest),
        (status, body) -> {
          boolean ok = status == 200 || status == 201;
          long leaseId = ok ? Json.parse(body).path("hold").asLong() : 0;
          if (leaseId == 0) {
            nextAttemptAt = clock.now() + Constants.STATE_RETRY_MS;
          } else {
            preparedLeaseId = leaseId;
            preparedValidUntil = guaranteedUntil;
            preparedAt = clock.now();
          }
        });
  }

  /** Creates the member key; a late copy of the write must not replace what it says by then. */
  private void register(long leaseId) {
    requestInFlight = true;
    String key = Keys.member(settings.label());
    store.txn(
        Store.Urgency.LEASE,
        new Txn().when(key, 0).put(key, memberValue(leaseId, true), leaseId),
        Constants.STATE_TIMEOUT_MS,
        outcome -> {
          requestInFlight = false;
          if (outcome == Store.Outcome.OK) {
            currentLeaseId = leaseId;
            validUntil = preparedValidUntil;
            joinedAt = clock.now();
            nextAttemptAt = clock.now() + Constants.MEMBERSHIP_RENEWAL_MS;
            LOG.info("joined the cluster with membership lease {}", leaseId);
          } else {
            nextAttemptAt = clock.now() + Constants.STATE_RETRY_MS;
          }
        });
  }

  private void renew() {
    long leaseId = currentLeaseId;
    long guaranteedUntil = guaranteedUntil();
    request(
        "POST",
        "/holds/" + leaseId + "/touch",
        new byte[0],
        (status, body) -> {
          if (status == 404) {
            LOG.warn("membership lease {} expired", leaseId);
            currentLeaseId = 0;
            endedLeaseId = leaseId;
          } else if (status == 200) {
            validUntil = guaranteedUntil;
          }
          nextAttemptAt =
              clock.now()
                  + (status == 200 ? Constants.MEMBERSHIP_RENEWAL_MS : Constants.STATE_RETRY_MS);
        });
  }

  /**
   * The monotonic time until which a lease requested or renewed now is guaranteed to be valid,
   * allowing for clock drift.
   */
  private long guaranteedUntil() {
    return clock.now() + (long) (Constants.MEMBERSHIP_LEASE_MS * (1 - Constants.CLOCK_DRIFT));
  }

  /** Ends the lease, and all claims with it, and obtains no further lease. */
  void leave() {
    if (requestInFlight || hasLeft) {
      return;
    }
    if (currentLeaseId == 0) {
      hasLeft = true;
      return;
    }
    request(
        "DELETE",
        "/holds/" + currentLeaseId,
        null,
        (status, body) -> {
          hasLeft = status == 200 || status == 204 || status == 404;
          if (hasLeft) {
            LOG.info("left the cluster; membership lease {} ended", currentLeaseId);
            currentLeaseId = 0;
          }
        });
  }

  private interface ResponseHandler {
    void done(int status, byte[] body);
  }

  private void request(String method, String path, byte[] body, ResponseHandler handler) {
    requestInFlight = true;
    store.request(
        Store.Urgency.LEASE,
        method,
        path,
        body,
        0,
        Constants.STATE_TIMEOUT_MS,
        Constants.STATE_TIMEOUT_MS,
        (status, answer) -> {
          requestInFlight = false;
          handler.done(status, answer);
        });
  }

  private ObjectNode memberValue(long leaseId, boolean reaches) {
    ObjectNode member = Json.object().put("zone", settings.zone());
    member.put("hold", leaseId).put("reaches", reaches);
    return leaving ? member.put("leaving", true) : member;
  }

  /** Stores in the member key whether this controller reaches the workers of its zone. */
  void setWorkersReachable(boolean reachable) {
    StateCache.Entry<StateCache.Member> entry = cache.members.get(settings.label());
    if (entry != null && entry.value().reachesWorkers() != reachable) {
      updateMember(
          entry,
          reachable,
          () ->
              LOG.info(
                  "this controller {} the workers of its zone",
                  reachable ? "reaches" : "does not reach"));
    }
  }

  /** Stores in the member key whether this controller is leaving, so that others take its roles. */
  void setLeaving(boolean isLeaving) {
    leaving = isLeaving;
    StateCache.Entry<StateCache.Member> entry = cache.members.get(settings.label());
    if (entry != null && entry.value().leaving() != isLeaving) {
      updateMember(
          entry,
          entry.value().reachesWorkers(),
          () ->
              LOG.info(
                  isLeaving ? "marked as leaving: others take its roles" : "accepts roles again"));
    }
  }

  private void updateMember(
      StateCache.Entry<StateCache.Member> entry, boolean reaches, Runnable onWritten) {
    if (updateInFlight || entry.value().leaseId() != currentLeaseId) {
      return;
    }
    updateInFlight = true;
    String key = Keys.member(settings.label());
    store.txn(
        Store.Urgency.LEASE,
        new Txn()
            .when(key, entry.stamp())
            .put(key, memberValue(currentLeaseId, reaches), currentLeaseId),
        Constants.STATE_TIMEOUT_MS,
        outcome -> {
          updateInFlight = false;
          if (outcome == Store.Outcome.OK) {
            onWritten.run();
          }
        });
  }
}
