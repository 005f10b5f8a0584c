package org.baygw.control.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
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
import org.baygw.control.core.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the state service: the copy kept up by watches, conditional writes, and syncs that make
 * the copy current. Calls wait for tokens in the order of their urgency.
 */
public final class Store {
  /** Urgency of a call, highest first. */
  public enum Urgency {
    HOLD,
    CANCEL,
    SUBMIT,
    LAUNCH,
    GRANT,
    MOVE
  }

  /** How a conditional write ended. */
  public enum Outcome {
    /** It is durable, and the view has it. */
    OK,
    /** A condition did not hold; nothing changed. */
    CONFLICT,
    /** Certainly not carried out. */
    REFUSED,
    /** No answer: it may be carried out now, later or never. */
    UNKNOWN
  }

  private record Waiting(
      String method,
      String path,
      byte[] body,
      int writes,
      long deadline,
      long timeout,
      Outbox.Callback then,
      Supplier<Txn> late,
      Consumer<Txn> send) {}

  private static final Logger LOG = LoggerFactory.getLogger(Store.class);

  private final Clock clock;
  private final Outbox out;
  private final String addr;
  private final StateCache view;
  private final Settings settings;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private final long watchWaitMs;
  private final long watchGapMs;
  private final long syncGapMs;
  private final List<Deque<Waiting>> queues = new ArrayList<>();

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
  private long lastContact = Long.MIN_VALUE / 2;

  /** When the copy was last made current. */
  private long lastCurrent = Long.MIN_VALUE / 2;

  /** When the latest request was sent whose answer made the copy current. */
  private long currentAsOf = Long.MIN_VALUE / 2;

  public Store(Clock clock, Outbox out, Settings s, StateCache view) {
    this.clock = clock;
    this.out = out;
    this.addr = s.stateAddr();
    this.view = view;
    this.settings = s;
    this.requests = new TokenBucket(1, 1);
    this.writes = new TokenBucket(1, 1);
    share(false);
    double all = s.peers().size() + 1;
    this.watchWaitMs = s.workers().watermarkPeriodMs(Constants.WATCH_WAIT_MS);
    this.watchGapMs =
        Math.max(
            Constants.WATCH_GAP_MS,
            Math.round(1000 * all / (s.state().rps() * Constants.WATCH_SHARE)));
    this.syncGapMs =
        Math.max(
            Constants.SYNC_GAP_MS,
            Math.round(1000 * all / (s.state().rps() * Constants.SYNC_SHARE)));
    for (int i = 0; i < Urgency.values().length; i++) {
      queues.add(new ArrayDeque<>());
    }
  }

  /** True once the whole state has been read. */
  public boolean loaded() {
    return loaded;
  }

  /** When the latest request was sent that the state service has answered. */
  public long lastContact() {
    return lastContact;
  }

  /**
   * The copy has all that was durable at this time: the sending of a request whose answer made it
   * current. An answer may have been held up, and an open watch that is silent proves nothing.
   */
  public long currentAsOf() {
    return currentAsOf;
  }

  /** How long conditional writes took, with their wait for tokens. */
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
          && now >= waitingSince + Constants.SYNC_WAIT_MS) {
        sync();
      }
    }
    pump();
  }

  /**
   * What this controller takes of the state service's limits: as much as each of the others, and
   * some more where it has the leader.
   */
  public void share(boolean leadership) {
    double share =
        Math.min(
            Constants.STATE_SHARE_MAX,
            (1.0 + (leadership ? Constants.LEADER_SHARES : 0))
                / (settings.peers().size() + 1 + Constants.LEADER_SHARES)
                * Constants.STATE_OVERBOOK);
    double rps = settings.state().rps() * share;
    double wps = settings.state().writeRps() * share;
    requests.rate(rps, rps);
    writes.rate(wps, wps);
  }

  /** Whether writes are to be drawn together: tokens for them are running out. */
  public boolean scarce() {
    return writes.fullness(clock.now()) < Constants.SCARCE;
  }

  /**
   * Whether so much may have changed since the copy was current that reading all keys anew is less
   * than reading all changes: an answer with a minute's changes takes longer than its call may.
   */
  private boolean behind() {
    return clock.now() - lastCurrent > Constants.BEHIND_MS;
  }

  /** Sends a conditional write; it is refused if no token comes free within waitMs. */
  public void txn(Urgency u, Txn t, long waitMs, Consumer<Outcome> then) {
    long asked = clock.now();
    request(
        u,
        "POST",
        "/txn",
        Json.bytes(t.toJson()),
        t.writes(),
        waitMs,
        Constants.STATE_TIMEOUT_MS,
        (status, answer) -> outcome(t, asked, status, answer, then));
  }

  private void outcome(Txn t, long asked, int status, byte[] answer, Consumer<Outcome> then) {
    writeMs.recordValue(Math.min(clock.now() - asked, Constants.HISTOGRAM_MAX_MS));
    if (status == 200) {
      long rev = Json.parse(answer).path("ledgerRev").asLong();
      // Our own change is known at once; the watch brings it again later, with the same stamp.
      t.then.forEach(
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
        LOG.warn("the state service took a write for malformed: {}", new String(answer));
      }
      then.accept(Outcome.REFUSED);
    }
  }

  /**
   * Sends a conditional write until it is certain how it ended. A write without an answer may still
   * be carried out later, so its sender may not act as if it were not: it is sent again until it
   * succeeds or fails for good, and after a failure the view is made current first.
   */
  public void settle(Urgency u, Txn t, long waitMs, Consumer<Boolean> then) {
    settle(u, t, waitMs, false, then);
  }

  /**
   * Like the other, but the write is made up only when tokens for it are there, so that all that
   * came up while it waited goes into the one write. Null means that there is nothing to write any
   * more.
   */
  public void settle(Urgency u, Supplier<Txn> late, Consumer<Boolean> then) {
    queues
        .get(u.ordinal())
        .add(
            new Waiting(
                "POST",
                "/txn",
                null,
                0,
                clock.now() + Constants.LATE_WAIT_MS,
                Constants.STATE_TIMEOUT_MS,
                (status, body) -> then.accept(false),
                late,
                t -> {
                  long asked = clock.now();
                  send(
                      "POST",
                      "/txn",
                      Json.bytes(t.toJson()),
                      Constants.STATE_TIMEOUT_MS,
                      (status, answer) ->
                          outcome(
                              t,
                              asked,
                              status,
                              answer,
                              o -> settled(u, t, Constants.STATE_TIMEOUT_MS, false, then, o)));
                }));
    pump();
  }

  private void settle(Urgency u, Txn t, long waitMs, boolean doubt, Consumer<Boolean> then) {
    txn(u, t, waitMs, outcome -> settled(u, t, waitMs, doubt, then, outcome));
  }

  private void settled(
      Urgency u, Txn t, long waitMs, boolean doubt, Consumer<Boolean> then, Outcome outcome) {
    switch (outcome) {
      case OK -> then.accept(true);
      case CONFLICT -> whenCurrent(() -> then.accept(false));
      case REFUSED -> {
        if (doubt) {
          settle(u, t, waitMs, true, then);
        } else {
          then.accept(false);
        }
      }
      case UNKNOWN -> settle(u, t, waitMs, true, then);
    }
  }

  private void whenCurrent(Runnable then) {
    current(
        ok -> {
          if (ok) {
            then.run();
          } else {
            whenCurrent(then);
          }
        });
  }

  /** Any other call; status NOT_SENT where no token came free in time. */
  public void request(
      Urgency u,
      String method,
      String path,
      byte[] body,
      int writeCount,
      long waitMs,
      long timeoutMs,
      Outbox.Callback then) {
    queues
        .get(u.ordinal())
        .add(
            new Waiting(
                method, path, body, writeCount, clock.now() + waitMs, timeoutMs, then, null, null));
    pump();
  }

  /**
   * Runs the action once the view holds all that was durable when this was called, or has failed.
   */
  public void current(Consumer<Boolean> then) {
    waitingSince = syncWaiters.isEmpty() ? clock.now() : waitingSince;
    syncWaiters.add(then);
  }

  /** Asks for a sync soon, with nobody waiting for it. */
  public void refresh() {
    if (syncWaiters.isEmpty()) {
      current(ok -> {});
    }
  }

  private void pump() {
    long now = clock.now();
    for (Deque<Waiting> q : queues) {
      while (!q.isEmpty()) {
        Waiting w = q.peek();
        if (now > w.deadline) {
          q.poll();
          w.then.done(Outbox.NOT_SENT, new byte[0]);
          continue;
        }
        if (w.late != null) {
          if (!writes.ready(now) || !requests.ready(now)) {
            break;
          }
          q.poll();
          Txn t = made(w);
          if (t == null) {
            w.then.done(Outbox.NOT_SENT, new byte[0]);
          } else {
            writes.charge(t.writes());
            requests.charge(1);
            w.send.accept(t);
          }
          continue;
        }
        if (w.writes > 0 && !writes.take(now, w.writes)) {
          break;
        }
        if (!requests.take(now, 1)) {
          break;
        }
        q.poll();
        send(w.method, w.path, w.body, w.timeout, w.then);
      }
      if (!q.isEmpty()) {
        return; // the less urgent must not take what the more urgent wait for
      }
    }
  }

  /** A fault in making a write up must not keep its maker waiting for ever. */
  private static Txn made(Waiting w) {
    try {
      return w.late.get();
    } catch (RuntimeException e) {
      LOG.error("a write could not be made up", e);
      return null;
    }
  }

  private void send(String method, String path, byte[] body, long timeout, Outbox.Callback then) {
    long sent = clock.now();
    out.call(
        addr,
        method,
        path,
        body,
        timeout,
        (status, answer) -> {
          if (status == 429 || status == 503) {
            requests.rest(clock.now(), Constants.BUCKET_REST_MS);
            writes.rest(clock.now(), Constants.BUCKET_REST_MS);
          } else if (status > 0 && status < 500) {
            // Not the time of the answer: a process that stood still takes old answers in when it
            // wakes, and would think itself in touch in an outage that began meanwhile.
            lastContact = Math.max(lastContact, sent);
          }
          then.done(status, answer);
        });
  }

  private void list(String after, long firstRev, long begun, Set<String> seen) {
    String path =
        "/kv?under=" + Keys.ROOT + "&page=500" + (after.isEmpty() ? "" : "&after=" + after);
    request(
        Urgency.HOLD,
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
          // After a gap in the watch: what is no longer listed was deleted meanwhile.
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

  /** Opens a watch; where someone waits for the copy it answers at once, so no sync is needed. */
  private void watch() {
    if (!requests.take(clock.now(), 1)) {
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

  /** Asks for what has changed beside a watch that has nothing to tell. */
  private void sync() {
    if (!requests.take(clock.now(), 1)) {
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
    send(
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
      lastCurrent = Long.MIN_VALUE / 2; // too far behind: everything is read again
      return false;
    }
    JsonNode n = status == 200 ? Json.parse(answer) : null;
    if (n == null || !n.path("ledgerRev").isNumber()) {
      return false;
    }
    for (JsonNode e : n.path("events")) {
      long stamp = e.path("stamp").asLong();
      if (stamp <= view.revision()) {
        continue; // an overtaken answer
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
