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
 * This controller's lease at the state service and the member key attached to it. The lease ends by
 * itself when it is not renewed, and the controller's claims end with it.
 */
final class MembershipLease {
  private static final Logger LOG = LoggerFactory.getLogger(MembershipLease.class);

  private final Clock clock;
  private final Settings settings;
  private final Store store;
  private final StateCache view;

  /** The lease that the member key is attached to; 0 before joining and after it has run out. */
  private long current;

  /** A lease taken but not used yet, and when. */
  private long prepared;

  private long preparedAt;
  private long joinedAt;

  /** The latest lease of this controller that is known to be over. */
  private long ended;

  /** The steady time until which the current lease certainly lives. */
  private long validUntil = Long.MIN_VALUE;

  private long preparedUntil;
  private boolean busy;
  private boolean updating;
  private boolean leaving;

  /** This controller has ended its lease and takes none any more. */
  private boolean left;

  private long nextTry;

  MembershipLease(Clock clock, Settings settings, Store store, StateCache view) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.view = view;
  }

  /** The lease's number, or 0 where this controller has none. */
  long current() {
    return current;
  }

  /** The steady time until which the lease certainly lives, whatever the state service does. */
  long validUntil() {
    return current == 0 ? Long.MIN_VALUE : validUntil;
  }

  /** Whether this controller has ended its membership for good. */
  boolean left() {
    return left;
  }

  long joinedAt() {
    return joinedAt;
  }

  /** Takes a lease, joins with it and renews it, each when it is due. */
  void tick() {
    long now = clock.now();
    if (busy || left || now < nextTry) {
      return;
    }
    if (!store.loaded()) {
      if (current == 0 && prepared == 0) {
        prepare(); // while the keys are being read
      }
    } else if (current == 0) {
      join();
    } else {
      renew();
    }
  }

  private void join() {
    StateCache.Entry<StateCache.Member> before = view.members.get(settings.label());
    if (before != null && before.value().leaseId() != ended) {
      // Of this controller's former process, which has ended: its claims come free at once.
      end(before.value().leaseId());
      return;
    }
    long taken = prepared;
    prepared = 0;
    if (taken != 0 && clock.now() - preparedAt < Constants.HOLD_TOUCH_MS) {
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

  /** Takes a lease that joining will use; by itself it stands for nothing. */
  private void prepare() {
    ObjectNode ask = Json.object().put("ttlMs", Constants.HOLD_TTL_MS);
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
        Store.Urgency.LEASE,
        new Txn().put(key, member(taken, true), taken),
        Constants.STATE_TIMEOUT_MS,
        outcome -> {
          busy = false;
          if (outcome == Store.Outcome.OK) {
            current = taken;
            validUntil = preparedUntil;
            joinedAt = clock.now();
            nextTry = clock.now() + Constants.HOLD_TOUCH_MS;
            LOG.info("joined with membership lease {}", taken);
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
            LOG.warn("membership lease {} has run out", renewed);
            current = 0;
            ended = renewed;
          } else if (status == 200) {
            validUntil = until;
          }
          nextTry =
              clock.now() + (status == 200 ? Constants.HOLD_TOUCH_MS : Constants.STATE_RETRY_MS);
        });
  }

  /** How long a lease that is taken or renewed now lives at least, by this controller's clock. */
  private long certainlyUntil() {
    return clock.now() + (long) (Constants.HOLD_TTL_MS * (1 - Constants.CLOCK_DRIFT));
  }

  /** Ends the lease now, with all claims, and takes no other. */
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
            LOG.info("left; membership lease {} is over", current);
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
        Store.Urgency.LEASE,
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

  /** Makes durable whether this controller reaches the workers of its zone. */
  void reaches(boolean can) {
    StateCache.Entry<StateCache.Member> entry = view.members.get(settings.label());
    if (entry != null && entry.value().reachesWorkers() != can) {
      update(entry, can, () -> LOG.info("{} its workers", can ? "reaches" : "does not reach"));
    }
  }

  /** Makes durable whether this controller is leaving, so that others take its roles. */
  void leaving(boolean leaves) {
    leaving = leaves;
    StateCache.Entry<StateCache.Member> entry = view.members.get(settings.label());
    if (entry != null && entry.value().leaving() != leaves) {
      update(
          entry,
          entry.value().reachesWorkers(),
          () -> LOG.info(leaves ? "leaves its roles to the others" : "takes roles again"));
    }
  }

  private void update(
      StateCache.Entry<StateCache.Member> entry, boolean reaches, Runnable written) {
    if (updating || entry.value().leaseId() != current) {
      return;
    }
    updating = true;
    String key = Keys.member(settings.label());
    store.txn(
        Store.Urgency.LEASE,
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
