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
  private final StateCache view;

  /** The lease that the member key is attached to; 0 before joining and after its expiry. */
  private long current;

  /** A lease that was obtained but is not used yet; 0 if there is none. */
  private long prepared;

  private long preparedAt;
  private long joinedAt;

  /** The latest lease of this controller that is known to have ended. */
  private long ended;

  /** The steady time until which the current lease is guaranteed to be valid. */
  private long validUntil = Long.MIN_VALUE;

  private long preparedUntil;
  private boolean busy;
  private boolean updating;
  private boolean leaving;

  /** Whether this controller has ended its lease and obtains no other. */
  private boolean left;

  private long nextTry;

  MembershipLease(Clock clock, Settings settings, Store store, StateCache view) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.view = view;
  }

  /** The ID of the current lease, or 0 if there is none. */
  long current() {
    return current;
  }

  /**
   * The steady time until which the lease is guaranteed to be valid, even if the state service does
   * not answer; {@code Long.MIN_VALUE} if there is no lease.
   */
  long validUntil() {
    return current == 0 ? Long.MIN_VALUE : validUntil;
  }

  /** Whether this controller has ended its membership permanently. */
  boolean left() {
    return left;
  }

  long joinedAt() {
    return joinedAt;
  }

  /** Obtains a lease, joins with it or renews it, whichever is due. */
  void tick() {
    long now = clock.now();
    if (busy || left || now < nextTry) {
      return;
    }
    if (!store.loaded()) {
      if (current == 0 && prepared == 0) {
        prepare(); // in parallel with reading the keys
      }
    } else if (current == 0) {
      join();
    } else {
      renew();
    }
  }

  private void join() {
    StateCache.Entry<StateCache.Member> before = view.members.get(settings.label());
    if (before != null && before.value().hold() != ended) {
      // The member key of this controller's former process. Ending its lease frees its claims now.
      end(before.value().hold());
      return;
    }
    long taken = prepared;
    prepared = 0;
    if (taken != 0 && clock.now() - preparedAt < Constants.MEMBERSHIP_RENEWAL_MS) {
      enter(taken);
    } else {
      prepare();
    }
  }

  private void end(long lease) {
    request(
        "DELETE",
        "/holds/" + lease,
        null,
        (status, body) -> {
          if (status == 200 || status == 204 || status == 404) {
            ended = lease;
          } else {
            nextTry = clock.now() + Constants.STATE_RETRY_MS;
          }
        });
  }

  /** Obtains a lease for joining. It has no effect until the member key is attached to it. */
  private void prepare() {
    ObjectNode ask = Json.object().put("ttlMs", Constants.MEMBERSHIP_LEASE_MS);
    long until = certainlyUntil();
    request(
        "POST",
        "/holds",
        Json.bytes(ask),
        (status, body) -> {
          boolean ok = status == 200 || status == 201;
          long taken = ok ? Json.parse(body).path("hold").asLong() : 0;
          if (taken == 0) {
            nextTry = clock.now() + Constants.STATE_RETRY_MS;
          } else {
            prepared = taken;
            preparedUntil = until;
            preparedAt = clock.now();
          }
        });
  }

  private void enter(long taken) {
    busy = true;
    String key = Keys.member(settings.label());
    store.txn(
        Store.Urgency.HOLD,
        new Txn().put(key, member(taken, true), taken),
        Constants.STATE_TIMEOUT_MS,
        outcome -> {
          busy = false;
          if (outcome == Store.Outcome.OK) {
            current = taken;
            validUntil = preparedUntil;
            joinedAt = clock.now();
            nextTry = clock.now() + Constants.MEMBERSHIP_RENEWAL_MS;
            LOG.info("joined the cluster with membership lease {}", taken);
          } else {
            nextTry = clock.now() + Constants.STATE_RETRY_MS;
          }
        });
  }

  private void renew() {
    long renewed = current;
    long until = certainlyUntil();
    request(
        "POST",
        "/holds/" + renewed + "/touch",
        new byte[0],
        (status, body) -> {
          if (status == 404) {
            LOG.warn("membership lease {} expired", renewed);
            current = 0;
            ended = renewed;
          } else if (status == 200) {
            validUntil = until;
          }
          nextTry =
              clock.now()
                  + (status == 200 ? Constants.MEMBERSHIP_RENEWAL_MS : Constants.STATE_RETRY_MS);
        });
  }

  /**
   * The steady time until which a lease requested or renewed now is guaranteed to be valid,
   * allowing for clock drift.
   */
  private long certainlyUntil() {
    return clock.now() + (long) (Constants.MEMBERSHIP_LEASE_MS * (1 - Constants.DRIFT));
  }

  /** Ends the lease and with it all claims, and obtains no other. */
  void leave() {
    if (busy || left) {
      return;
    }
    if (current == 0) {
      left = true;
      return;
    }
    request(
        "DELETE",
        "/holds/" + current,
        null,
        (status, body) -> {
          left = status == 200 || status == 204 || status == 404;
          if (left) {
            LOG.info("left the cluster; membership lease {} ended", current);
            current = 0;
          }
        });
  }

  private interface Answer {
    void done(int status, byte[] body);
  }

  private void request(String method, String path, byte[] body, Answer then) {
    busy = true;
    store.request(
        Store.Urgency.HOLD,
        method,
        path,
        body,
        0,
        Constants.STATE_TIMEOUT_MS,
        Constants.STATE_TIMEOUT_MS,
        (status, answer) -> {
          busy = false;
          then.done(status, answer);
        });
  }

  private ObjectNode member(long lease, boolean reaches) {
    ObjectNode member = Json.object().put("zone", settings.zone());
    member.put("hold", lease).put("reaches", reaches);
    return leaving ? member.put("leaving", true) : member;
  }

  /** Stores in the member key whether this controller reaches the workers of its zone. */
  void reaches(boolean can) {
    StateCache.Entry<StateCache.Member> entry = view.members.get(settings.label());
    if (entry != null && entry.value().reaches() != can) {
      update(
          entry,
          can,
          () -> LOG.info("{} the workers of its zone", can ? "reaches" : "does not reach"));
    }
  }

  /** Stores in the member key whether this controller is leaving, so that others take its roles. */
  void leaving(boolean leaves) {
    leaving = leaves;
    StateCache.Entry<StateCache.Member> entry = view.members.get(settings.label());
    if (entry != null && entry.value().leaving() != leaves) {
      update(
          entry,
          entry.value().reaches(),
          () ->
              LOG.info(
                  leaves ? "marked as leaving: others take its roles" : "accepts roles again"));
    }
  }

  private void update(
      StateCache.Entry<StateCache.Member> entry, boolean reaches, Runnable written) {
    if (updating || entry.value().hold() != current) {
      return;
    }
    updating = true;
    String key = Keys.member(settings.label());
    store.txn(
        Store.Urgency.HOLD,
        new Txn().when(key, entry.stamp()).put(key, member(current, reaches), current),
        Constants.STATE_TIMEOUT_MS,
        outcome -> {
          updating = false;
          if (outcome == Store.Outcome.OK) {
            written.run();
          }
        });
  }
}
