package org.baygw.control.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the state service: keeps the cache up to date by watches, sends conditional writes, and
 * syncs the cache on demand. Calls wait for rate limit tokens in the order of their urgency.
 */
public final class Store {
  /** Urgency of a call, most urgent first. */
  public enum Urgency {
    LEASE,
    CANCEL,
    SUBMIT,
    LAUNCH,
    GRANT,
    MOVE
  }

  /** Outcome of a conditional write. */
  public enum Outcome {
    /** The write is durable, and the cache has it. */
    OK,
    /** A condition was not met; nothing was written. */
    CONFLICT,
    /** The write was certainly not carried out. */
    REFUSED,
    /** No answer arrived: the write may be carried out now, later or never. */
    UNKNOWN
  }

  private static final Logger LOG = LoggerFactory.getLogger(Store.class);

  private final Clock clock;
  private final StateCache view;
  private final RequestQueue queue;
  private final long watchWaitMs;
  private final long watchGapMs;
  private final long syncGapMs;
  private final Histogram writeMs =
      new Histogram(Constants.HISTOGRAM_MAX_MS, Constants.HISTOGRAM_DIGITS);
  private boolean loaded;
  private boolean loading;
  private boolean watching;
  private long nextWatch;
  private boolean syncing;
  private long nextSync;
  private long waitingSince;
  private List<Consumer<Boolean>> syncWaiters = new ArrayList<>();

  /** When an answer last brought the cache up to date. */
  private long lastCurrent = Long.MIN_VALUE / 2;

  /** Send time of the latest request whose answer brought the cache up to date. */
  private long currentAsOf = Long.MIN_VALUE / 2;

  public Store(Clock clock, Outbox out, Settings s, StateCache view) {
    this.clock = clock;
    this.view = view;
    this.queue = new RequestQueue(clock, out, s);
    double all = s.peers().size() + 1;
    this.watchWaitMs = s.workers().watermarkPeriodMs(Constants.WATCH_WAIT_MS);
    this.watchGapMs =
        Math.max(
            Constants.WATCH_INTERVAL_MIN_MS,
            Math.round(1000 * all / (s.state().rps() * Constants.WATCH_SHARE)));
    this.syncGapMs =
        Math.max(
            Constants.SYNC_INTERVAL_MIN_MS,
            Math.round(1000 * all / (s.state().rps() * Constants.SYNC_SHARE)));
  }

  /** Whether all keys have been read at least once. */
  public boolean loaded() {
    return loaded;
  }

  /** Send time of the latest request that the state service answered, 429 and 5xx aside. */
  public long lastContact() {
    return queue.lastContact();
  }

  /**
   * The cache has everything that was durable at this time, which is the send time of a request
   * whose answer brought the cache up to date. The arrival time is not used because an answer may
   * have been delayed, and an open watch without events proves nothing.
   */
  public long currentAsOf() {
    return currentAsOf;
  }

  /** Time that conditional writes took, in ms; includes the wait for tokens unless deferred. */
  public Histogram writeMs() {
    return writeMs;
  }

  public void tick() {
    long now = clock.now();
    if (!loaded || behind()) {
      if (!loading && !watching && !syncing && now >= nextWatch) {
        loading = true;
        list("", 0, clock.now(), new HashSet<>());
      }
    } else if (!loading) {
      if (!watching && now >= nextWatch) {
        watch();
      }
      if (!syncing
          && !syncWaiters.isEmpty()
          && now >= nextSync
          && now >= waitingSince + Constants.SYNC_DELAY_MS) {
        sync();
      }
    }
    queue.pump();
  }

  /**
   * Sets this controller's share of the state service's rate limits: an even share, and an extra
   * one while it is the leader.
   */
  public void updateShare(boolean leadership) {
    queue.share(leadership);
  }

  /** Whether write tokens are running low, so that callers should batch their writes. */
  public boolean writeTokensLow() {
    return queue.scarce();
  }

  /**
   * Whether so much may have changed since the last update of the cache that listing all keys is
   * cheaper than reading all changes: an answer with the changes of a minute takes longer than the
   * request's timeout.
   */
  private boolean behind() {
    return clock.now() - lastCurrent > Constants.RELIST_AFTER_MS;
  }

  /** Sends a conditional write; the outcome is REFUSED if no token is free within waitMs. */
  public void txn(Urgency u, Txn t, long waitMs, Consumer<Outcome> then) {
    long asked = clock.now();
    request(
        u,
        "POST",
        "/txn",
        Json.bytes(t.toJson()),
        t.writeCount(),
        waitMs,
        Constants.STATE_TIMEOUT_MS,
        (status, answer) -> outcome(t, asked, status, answer, then));
  }

  private void outcome(Txn t, long asked, int status, byte[] answer, Consumer<Outcome> then) {
    writeMs.recordValue(Math.min(clock.now() - asked, Constants.HISTOGRAM_MAX_MS));
    if (status == 200) {
      long rev = Json.parse(answer).path("ledgerRev").asLong();
      // Apply the write at once. The watch repeats it later with the same stamp, without effect.
      t.changes.forEach(
          (k, c) -> {
            if (c.value() == null) {
              view.delete(k, rev);
            } else {
              view.put(k, c.value(), rev);
            }
          });
      then.accept(Outcome.OK);
    } else if (status == 409) {
      refresh();
      then.accept(Outcome.CONFLICT);
    } else if (status == Outbox.NO_ANSWER) {
      then.accept(Outcome.UNKNOWN);
    } else {
      if (status == 400) {
        LOG.warn("the state service rejected a write as malformed: {}", new String(answer));
      }
      then.accept(Outcome.REFUSED);
    }
  }

  /**
   * Sends a conditional write until its outcome is certain; the callback gets whether it succeeded.
   * A write without an answer may still be carried out later, so its sender must not treat it as
   * failed: it is sent again until it certainly succeeds or fails. After a conflict the cache is
   * brought up to date before the callback runs.
   */
  public void txnWithRetry(Urgency u, Txn t, long waitMs, Consumer<Boolean> then) {
    txnWithRetry(u, t, waitMs, false, then);
  }

  /**
   * As above, but the write is built only when tokens for it are available, so that it includes all
   * changes that came up during the wait. The builder returns null if nothing is left to write; the
   * callback then gets false.
   */
  public void txnWithRetry(Urgency u, Supplier<Txn> late, Consumer<Boolean> then) {
    queue.addLate(u, late, t -> sendLate(u, t, then), (status, body) -> then.accept(false));
  }

  private void sendLate(Urgency u, Txn t, Consumer<Boolean> then) {
    long asked = clock.now();
    queue.send(
        t,
        (status, answer) ->
            outcome(
                t,
                asked,
                status,
                answer,
                o -> settled(u, t, Constants.STATE_TIMEOUT_MS, false, then, o)));
  }

  private void txnWithRetry(Urgency u, Txn t, long waitMs, boolean doubt, Consumer<Boolean> then) {
    txn(u, t, waitMs, outcome -> settled(u, t, waitMs, doubt, then, outcome));
  }

  private void settled(
      Urgency u, Txn t, long waitMs, boolean doubt, Consumer<Boolean> then, Outcome outcome) {
    switch (outcome) {
      case OK -> then.accept(true);
      case CONFLICT -> retryUntilCurrent(() -> then.accept(false));
      case REFUSED -> {
        if (doubt) {
          txnWithRetry(u, t, waitMs, true, then);
        } else {
          then.accept(false);
        }
      }
      case UNKNOWN -> txnWithRetry(u, t, waitMs, true, then);
    }
  }

  private void retryUntilCurrent(Runnable then) {
    whenCurrent(
        ok -> {
          if (ok) {
            then.run();
          } else {
            retryUntilCurrent(then);
          }
        });
  }

  /** Sends any other request; the status is NOT_SENT if no token is free within waitMs. */
  public void request(
      Urgency u,
      String method,
      String path,
      byte[] body,
      int writeCount,
      long waitMs,
      long timeoutMs,
      Outbox.Callback then) {
    queue.add(u, method, path, body, writeCount, waitMs, timeoutMs, then);
  }

  /**
   * Calls back with true once the cache has everything that was durable at the time of this call,
   * or with false if it could not be updated.
   */
  public void whenCurrent(Consumer<Boolean> then) {
    waitingSince = syncWaiters.isEmpty() ? clock.now() : waitingSince;
    syncWaiters.add(then);
  }

  /** Requests an update of the cache without waiting for it. */
  public void refresh() {
    if (syncWaiters.isEmpty()) {
      whenCurrent(ok -> {});
    }
  }

  private void list(String after, long firstRev, long begun, Set<String> seen) {
    String path =
        "/kv?under=" + Keys.ROOT + "&page=500" + (after.isEmpty() ? "" : "&after=" + after);
    request(
        Urgency.LEASE,
        "GET",
        path,
        null,
        0,
        Constants.STATE_TIMEOUT_MS,
        Constants.STATE_TIMEOUT_MS * 2L,
        (status, answer) -> {
          JsonNode n = Json.parse(answer);
          if (status != 200 || !n.path("ledgerRev").isNumber()) {
            loading = false;
            nextWatch = clock.now() + Constants.STATE_RETRY_MS;
            answerWaiters(false);
            return;
          }
          long rev = firstRev == 0 ? n.path("ledgerRev").asLong() : firstRev;
          String last = after;
          for (JsonNode e : n.path("entries")) {
            last = e.path("key").asText();
            seen.add(last);
            view.put(last, e.path("value"), e.path("stamp").asLong());
          }
          if (n.path("more").asBoolean()) {
            list(last, rev, begun, seen);
            return;
          }
          // A known key that is not listed was deleted during a gap in the watch.
          for (String key : view.keys()) {
            if (!seen.contains(key) && view.stamp(key) <= rev) {
              view.delete(key, rev);
            }
          }
          view.reached(rev);
          loading = false;
          loaded = true;
          lastCurrent = clock.now();
          currentAsOf = Math.max(currentAsOf, begun);
          LOG.info("read {} keys at revision {}", seen.size(), rev);
        });
  }

  private void answerWaiters(boolean ok) {
    takeWaiters().forEach(w -> w.accept(ok));
  }

  private List<Consumer<Boolean>> takeWaiters() {
    List<Consumer<Boolean>> waiters = syncWaiters;
    syncWaiters = new ArrayList<>();
    return waiters;
  }

  /** Opens a watch; it is answered at once if callers wait for the cache, instead of a sync. */
  private void watch() {
    if (!queue.takeToken()) {
      return;
    }
    watching = true;
    nextWatch = clock.now() + watchGapMs;
    changes(
        syncWaiters.isEmpty() ? watchWaitMs : 0,
        ok -> {
          watching = false;
          nextWatch = ok ? nextWatch : clock.now() + Constants.STATE_RETRY_MS;
        });
  }

  /** Requests the latest changes while an open watch has no events. */
  private void sync() {
    if (!queue.takeToken()) {
      return;
    }
    syncing = true;
    nextSync = clock.now() + syncGapMs;
    changes(
        0,
        ok -> {
          syncing = false;
          nextSync = ok ? nextSync : clock.now() + Constants.STATE_RETRY_MS;
        });
  }

  private void changes(long waitMs, Consumer<Boolean> then) {
    List<Consumer<Boolean>> waiters = takeWaiters();
    long sent = clock.now();
    queue.send(
        "GET",
        "/watch?under=" + Keys.ROOT + "&after=" + view.revision() + "&waitMs=" + waitMs,
        null,
        waitMs > 0 ? waitMs + 2L * Constants.STATE_TIMEOUT_MS : Constants.STATE_TIMEOUT_MS,
        (status, answer) -> {
          boolean ok = events(sent, status, answer);
          then.accept(ok);
          waiters.forEach(w -> w.accept(ok));
        });
  }

  private boolean events(long sent, int status, byte[] answer) {
    if (status == 410) {
      lastCurrent = Long.MIN_VALUE / 2; // the service no longer has these changes: list all keys
      return false;
    }
    JsonNode n = status == 200 ? Json.parse(answer) : null;
    if (n == null || !n.path("ledgerRev").isNumber()) {
      return false;
    }
    for (JsonNode e : n.path("events")) {
      long stamp = e.path("stamp").asLong();
      if (stamp <= view.revision()) {
        continue; // applied already by a later answer
      }
      if (e.has("write")) {
        view.put(e.path("write").asText(), e.path("value"), stamp);
      } else {
        view.delete(e.path("delete").asText(), stamp);
      }
    }
    view.reached(n.path("ledgerRev").asLong());
    lastCurrent = clock.now();
    currentAsOf = Math.max(currentAsOf, sent);
    return true;
  }
}
