package org.baygw.control.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.ErrorBoundary;
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
    /** The write is malformed or exceeds a limit; it would be rejected each time. */
    REJECTED,
    /** No answer arrived: the write may be carried out now, later or never. */
    UNKNOWN
  }

  private static final Logger LOG = LoggerFactory.getLogger(Store.class);

  /**
   * Time without a successful read, while the state service answers, after which they are overdue.
   */
  private static final long READS_OVERDUE_MS = 10_000;

  /**
   * Time without a successful read, while the state service answers, after which roles are given
   * up: others take some ten seconds to serve them, and no job may wait for 90 s.
   */
  private static final long READS_FAILED_MS = 30_000;

  /** Keys on a page of a listing. */
  private static final int LISTING_PAGE_KEYS = 500;

  private final Clock clock;
  private final StateCache cache;
  private final ErrorBoundary boundary;
  private final RequestQueue queue;
  private final long watchWaitMs;
  private final long watchIntervalMs;
  private final long syncIntervalMs;
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

  /** The callback of a rejected write, which runs after a delay. */
  private record RejectedWrite(long callbackAt, Runnable callback) {}

  private final Queue<RejectedWrite> rejectedWrites = new ArrayDeque<>();
  private long rejectedWriteCount;

  /** Whether the service no longer has all changes since the cache's revision. */
  private boolean changesLost;

  /** When an answer last brought the cache up to date. */
  private long lastUpdate = Long.MIN_VALUE / 2;

  /** When an answer last brought the cache up to date, or a listing forward. */
  private long lastRead = Long.MIN_VALUE / 2;

  /** The value of {@link #lastRead} before the present listing. */
  private long lastReadBeforeListing = Long.MIN_VALUE / 2;

  /** Whether it was logged that reads are overdue. */
  private boolean overdueLogged;

  /** Send time of the latest request whose answer brought the cache up to date. */
  private long currentAsOf = Long.MIN_VALUE / 2;

  public Store(
      Clock clock, Outbox out, Settings settings, StateCache cache, ErrorBoundary boundary) {
    this.clock = clock;
    this.cache = cache;
    this.boundary = boundary;
    this.queue = new RequestQueue(clock, out, settings, boundary);
    double controllers = settings.peers().size() + 1;
    this.watchWaitMs = settings.workers().watermarkPeriodMs(Constants.WATCH_WAIT_MS);
    this.watchIntervalMs =
        Math.max(
            Constants.WATCH_INTERVAL_MIN_MS,
            Math.round(1000 * controllers / (settings.state().rps() * Constants.WATCH_SHARE)));
    this.syncIntervalMs =
        Math.max(
            Constants.SYNC_INTERVAL_MIN_MS,
            Math.round(1000 * controllers / (settings.state().rps() * Constants.SYNC_SHARE)));
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

  /** Whether reads are overdue, so that this controller should serve no users. */
  public boolean readsOverdue() {
    return readDelayMs() > READS_OVERDUE_MS;
  }

  /** Whether reads have failed for so long that others must take this controller's roles. */
  public boolean readsFailed() {
    return loaded && readDelayMs() > READS_FAILED_MS;
  }

  /**
   * Time in ms for which the state service has answered requests without an answer that brought the
   * cache up to date; 0 while it does not answer.
   */
  private long readDelayMs() {
    return Math.min(queue.contactMs(), clock.now() - lastRead);
  }

  /**
   * Time that conditional writes took, in ms, with the wait for tokens except for deferred ones.
   */
  public Histogram writeMs() {
    return writeMs;
  }

  /** Number of conditional writes that the state service rejected as malformed or too large. */
  public long rejectedWriteCount() {
    return rejectedWriteCount;
  }

  public void tick() {
    long now = clock.now();
    while (!rejectedWrites.isEmpty() && rejectedWrites.peek().callbackAt() <= now) {
      boundary.run("the callback of a rejected write", rejectedWrites.poll().callback());
    }
    if (!loaded || tooFarBehind()) {
      if (!loading && !watching && !syncing && now >= nextWatch) {
        loading = true;
        lastReadBeforeListing = lastRead;
        requestPage(new Listing(cache, loaded, clock.now()));
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
    queue.dispatch();
    logIfOverdue();
  }

  private void logIfOverdue() {
    boolean overdue = loaded && readsOverdue();
    if (overdue && !overdueLogged) {
      LOG.warn("no read has succeeded for {} ms although the state service answers", readDelayMs());
    }
    overdueLogged = overdue;
  }

  /**
   * Sets this controller's share of the state service's rate limits: an even share, and an extra
   * one while it is the leader.
   */
  public void updateShare(boolean isLeader) {
    queue.updateShare(isLeader);
  }

  /** Whether write tokens are running low, so that callers should batch their writes. */
  public boolean writeTokensLow() {
    return queue.writeTokensLow();
  }

  /**
   * Whether so much may have changed since the last update of the cache that listing all keys is
   * cheaper than reading all changes, or the only way: an answer with the changes of a minute takes
   * longer than the request's timeout.
   */
  private boolean tooFarBehind() {
    return changesLost || clock.now() - lastUpdate > Constants.RELIST_AFTER_MS;
  }

  /** Sends a conditional write; the outcome is REFUSED if no token is free within waitMs. */
  public void txn(Urgency urgency, Txn txn, long waitMs, Consumer<Outcome> callback) {
    long requestedAt = clock.now();
    request(
        urgency,
        "POST",
        "/txn",
        Json.bytes(txn.toJson()),
        txn.writeCount(),
        waitMs,
        Constants.STATE_TIMEOUT_MS,
        (status, answer) -> handleAnswer(txn, requestedAt, status, answer, callback));
  }

  private void handleAnswer(
      Txn txn, long requestedAt, int status, byte[] answer, Consumer<Outcome> callback) {
    writeMs.recordValue(Math.min(clock.now() - requestedAt, Constants.HISTOGRAM_MAX_MS));
    if (status == 200) {
      boundary.run("applying a write", () -> applyWrite(txn, answer));
      callback.accept(Outcome.OK);
    } else if (status == 409) {
      refresh();
      callback.accept(Outcome.CONFLICT);
    } else if (status == Outbox.NO_ANSWER) {
      callback.accept(Outcome.UNKNOWN);
    } else if (status == 400) {
      rejectedWriteCount++;
      LOG.warn(
          "the state service rejected a write of {} changes and about {} bytes, the largest value"
              + " for {}: {}",
          txn.writeCount(),
          txn.bytes(),
          txn.largestKey(),
          new String(answer, StandardCharsets.UTF_8));
      callback.accept(Outcome.REJECTED);
    } else {
      callback.accept(Outcome.REFUSED);
    }
  }

  /** Applies a write at once; the watch repeats it later with the same stamp, without effect. */
  private void applyWrite(Txn txn, byte[] answer) {
    long revision = Json.parse(answer).path("ledgerRev").asLong();
    txn.changes.forEach(
        (key, change) -> {
          if (change.value() == null) {
            cache.delete(key, revision);
          } else {
            cache.put(key, change.value(), revision);
          }
        });
  }

  /**
   * Sends a conditional write until its outcome is certain; the callback gets whether it succeeded.
   * A write without an answer may still be carried out later, so its sender must not treat it as
   * failed: it is sent again until it certainly succeeds or fails. After a conflict or a rejection
   * the cache is brought up to date before the callback runs, after a rejection with a delay.
   */
  public void txnWithRetry(Urgency urgency, Txn txn, long waitMs, Consumer<Boolean> callback) {
    txnWithRetry(urgency, txn, waitMs, false, callback);
  }

  /**
   * As above, but the write is built only when tokens for it are available, so that it includes all
   * changes that came up during the wait. The builder returns null if nothing is left to write; the
   * callback then gets false.
   */
  public void txnWithRetry(Urgency urgency, Supplier<Txn> builder, Consumer<Boolean> callback) {
    queue.addDeferred(
        urgency,
        builder,
        txn -> sendDeferred(urgency, txn, callback),
        (status, body) -> callback.accept(false));
  }

  private void sendDeferred(Urgency urgency, Txn txn, Consumer<Boolean> callback) {
    long requestedAt = clock.now();
    queue.send(
        txn,
        (status, answer) ->
            handleAnswer(
                txn,
                requestedAt,
                status,
                answer,
                outcome ->
                    handleOutcome(
                        urgency, txn, Constants.STATE_TIMEOUT_MS, false, callback, outcome)));
  }

  private void txnWithRetry(
      Urgency urgency, Txn txn, long waitMs, boolean mayBeApplied, Consumer<Boolean> callback) {
    txn(
        urgency,
        txn,
        waitMs,
        outcome -> handleOutcome(urgency, txn, waitMs, mayBeApplied, callback, outcome));
  }

  private void handleOutcome(
      Urgency urgency,
      Txn txn,
      long waitMs,
      boolean mayBeApplied,
      Consumer<Boolean> callback,
      Outcome outcome) {
    switch (outcome) {
      case OK -> callback.accept(true);
      case CONFLICT -> runWhenCurrent(() -> callback.accept(false));
      // The sender would build the same write again at once, and without end.
      case REJECTED ->
          rejectedWrites.add(
              new RejectedWrite(
                  clock.now() + Constants.REJECTED_WRITE_DELAY_MS,
                  () -> runWhenCurrent(() -> callback.accept(false))));
      case REFUSED -> {
        if (mayBeApplied) {
          txnWithRetry(urgency, txn, waitMs, true, callback);
        } else {
          callback.accept(false);
        }
      }
      case UNKNOWN -> txnWithRetry(urgency, txn, waitMs, true, callback);
    }
  }

  private void runWhenCurrent(Runnable action) {
    whenCurrent(
        ok -> {
          if (ok) {
            action.run();
          } else {
            runWhenCurrent(action);
          }
        });
  }

  /** Sends any other request; the status is NOT_SENT if no token is free within waitMs. */
  public void request(
      Urgency urgency,
      String method,
      String path,
      byte[] body,
      int writeCount,
      long waitMs,
      long timeoutMs,
      Outbox.Callback callback) {
    queue.add(urgency, method, path, body, writeCount, waitMs, timeoutMs, callback);
  }

  /**
   * Calls back with true once the cache has everything that was durable at the time of this call,
   * or with false if it could not be updated.
   */
  public void whenCurrent(Consumer<Boolean> callback) {
    waitingSince = syncWaiters.isEmpty() ? clock.now() : waitingSince;
    syncWaiters.add(callback);
  }

  /** Requests an update of the cache without waiting for it. */
  public void refresh() {
    if (syncWaiters.isEmpty()) {
      whenCurrent(ok -> {});
    }
  }

  private void requestPage(Listing listing) {
    String after = listing.lastKey().isEmpty() ? "" : "&after=" + listing.lastKey();
    request(
        Urgency.LEASE,
        "GET",
        "/kv?under=" + Keys.ROOT + "&page=" + LISTING_PAGE_KEYS + after,
        null,
        0,
        Constants.STATE_TIMEOUT_MS,
        Constants.STATE_TIMEOUT_MS * 2L,
        (status, answer) -> {
          if (!boundary.check("reading keys", () -> acceptPage(listing, status, answer))) {
            listingFailed();
          }
        });
  }

  private boolean acceptPage(Listing listing, int status, byte[] answer) {
    if (status != 200 || !listing.addPage(Json.parse(answer))) {
      return false;
    }
    lastRead = clock.now();
    if (!listing.complete()) {
      requestPage(listing);
    } else if (listing.consistent()) {
      listing.apply();
      listingApplied(listing);
    } else {
      requestMissedChanges(listing);
    }
    return true;
  }

  /** Requests the changes since the listing's first page, which later pages may include or not. */
  private void requestMissedChanges(Listing listing) {
    request(
        Urgency.LEASE,
        "GET",
        watchPath(listing.firstRevision(), 0),
        null,
        0,
        Constants.STATE_TIMEOUT_MS,
        Constants.STATE_TIMEOUT_MS * 2L,
        (status, answer) -> {
          if (!boundary.check("reading keys", () -> acceptMissedChanges(listing, status, answer))) {
            listingFailed();
          }
        });
  }

  private boolean acceptMissedChanges(Listing listing, int status, byte[] answer) {
    JsonNode response = status == 200 ? Json.parse(answer) : MissingNode.getInstance();
    if (!response.path("ledgerRev").isNumber()) {
      return false;
    }
    listing.apply();
    applyEvents(response);
    listingApplied(listing);
    return true;
  }

  private void listingApplied(Listing listing) {
    loading = false;
    loaded = true;
    changesLost = false;
    lastRead = clock.now();
    lastUpdate = clock.now();
    currentAsOf = Math.max(currentAsOf, listing.startedAt());
    LOG.info("read {} keys at revision {}", listing.keyCount(), cache.revision());
  }

  private void listingFailed() {
    loading = false;
    lastRead = lastReadBeforeListing;
    nextWatch = clock.now() + Constants.STATE_RETRY_MS;
    notifyWaiters(takeWaiters(), false);
  }

  private void notifyWaiters(List<Consumer<Boolean>> waiters, boolean ok) {
    for (Consumer<Boolean> waiter : waiters) {
      boundary.run("a caller that waited for the cache", () -> waiter.accept(ok));
    }
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
    nextWatch = clock.now() + watchIntervalMs;
    requestChanges(
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
    nextSync = clock.now() + syncIntervalMs;
    requestChanges(
        0,
        ok -> {
          syncing = false;
          nextSync = ok ? nextSync : clock.now() + Constants.STATE_RETRY_MS;
        });
  }

  private void requestChanges(long waitMs, Consumer<Boolean> callback) {
    List<Consumer<Boolean>> waiters = takeWaiters();
    long sentAt = clock.now();
    queue.send(
        "GET",
        watchPath(cache.revision(), waitMs),
        null,
        waitMs > 0 ? waitMs + 2L * Constants.STATE_TIMEOUT_MS : Constants.STATE_TIMEOUT_MS,
        (status, answer) -> {
          boolean ok =
              boundary.check("reading changes", () -> acceptChanges(sentAt, status, answer));
          callback.accept(ok);
          notifyWaiters(waiters, ok);
        });
  }

  private static String watchPath(long afterRevision, long waitMs) {
    return "/watch?under=" + Keys.ROOT + "&after=" + afterRevision + "&waitMs=" + waitMs;
  }

  private boolean acceptChanges(long sentAt, int status, byte[] answer) {
    if (status == 410) {
      changesLost = true;
      return false;
    }
    JsonNode response = status == 200 ? Json.parse(answer) : MissingNode.getInstance();
    if (!response.path("ledgerRev").isNumber()) {
      return false;
    }
    applyEvents(response);
    lastRead = clock.now();
    lastUpdate = clock.now();
    currentAsOf = Math.max(currentAsOf, sentAt);
    return true;
  }

  private void applyEvents(JsonNode response) {
    for (JsonNode event : response.path("events")) {
      long stamp = event.path("stamp").asLong();
      if (stamp <= cache.revision()) {
        continue; // applied already by a later answer
      }
      if (event.has("write")) {
        cache.put(event.path("write").asText(), event.path("value"), stamp);
      } else {
        cache.delete(event.path("delete").asText(), stamp);
      }
    }
    cache.advanceTo(response.path("ledgerRev").asLong());
  }
}
