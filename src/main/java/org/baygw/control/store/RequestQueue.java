package org.baygw.control.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
import org.baygw.control.core.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Queue of requests to the state service. Requests wait for tokens from this controller's share of
 * the service's rate limits, in the order of their urgency; a request never takes tokens that a
 * more urgent one waits for.
 */
final class RequestQueue {
  private static final Logger LOG = LoggerFactory.getLogger(RequestQueue.class);
  private static final byte[] NO_BODY = new byte[0];

  /** A request waiting for tokens. */
  private sealed interface Waiting {
    long deadline();

    Outbox.Callback then();
  }

  /** A complete request, with the number of writes that it counts as. */
  private record Ready(
      String method,
      String path,
      byte[] body,
      int changes,
      long deadline,
      long timeoutMs,
      Outbox.Callback then)
      implements Waiting {}

  /** A write that is built only when tokens for it are available. */
  private record Late(
      Supplier<Txn> maker, Consumer<Txn> sender, long deadline, Outbox.Callback then)
      implements Waiting {}

  private final Clock clock;
  private final Outbox out;
  private final Settings settings;
  private final TokenBucket requests = new TokenBucket(1, 1);
  private final TokenBucket changes = new TokenBucket(1, 1);
  private final List<Deque<Waiting>> queues = new ArrayList<>();
  private long lastContact = Long.MIN_VALUE / 2;

  RequestQueue(Clock clock, Outbox out, Settings settings) {
    this.clock = clock;
    this.out = out;
    this.settings = settings;
    for (int i = 0; i < Store.Urgency.values().length; i++) {
      queues.add(new ArrayDeque<>());
    }
    share(false);
  }

  /** Send time of the latest request that the state service answered, 429 and 5xx aside. */
  long lastContact() {
    return lastContact;
  }

  /** Takes an even share of the service's rate limits, and an extra one if this is the leader. */
  void share(boolean leads) {
    double shares = settings.peers().size() + 1 + Constants.LEADER_EXTRA_SHARES;
    double own = (1.0 + (leads ? Constants.LEADER_EXTRA_SHARES : 0)) / shares;
    double share = Math.min(Constants.STATE_SHARE_MAX, own * Constants.STATE_OVERCOMMIT);
    double requestsPerS = settings.state().rps() * share;
    double changesPerS = settings.state().writeRps() * share;
    requests.rate(requestsPerS, requestsPerS);
    changes.rate(changesPerS, changesPerS);
  }

  /** Whether write tokens are running low. */
  boolean scarce() {
    return changes.fullness(clock.now()) < Constants.WRITE_TOKENS_LOW;
  }

  /** Takes a token, if one is available, for a request that the caller sends at once. */
  boolean takeToken() {
    return requests.take(clock.now(), 1);
  }

  /** Queues a request; its status is NOT_SENT if no token is free within waitMs. */
  void add(
      Store.Urgency urgency,
      String method,
      String path,
      byte[] body,
      int changeCount,
      long waitMs,
      long timeoutMs,
      Outbox.Callback then) {
    long deadline = clock.now() + waitMs;
    queue(urgency).add(new Ready(method, path, body, changeCount, deadline, timeoutMs, then));
    pump();
  }

  /** Queues a write that is built when tokens are available; null means nothing to write. */
  void addLate(
      Store.Urgency urgency, Supplier<Txn> maker, Consumer<Txn> sender, Outbox.Callback then) {
    queue(urgency)
        .add(new Late(maker, sender, clock.now() + Constants.DEFERRED_WRITE_WAIT_MS, then));
    pump();
  }

  private Deque<Waiting> queue(Store.Urgency urgency) {
    return queues.get(urgency.ordinal());
  }

  /** Sends queued requests, most urgent first, as long as there are tokens. */
  void pump() {
    for (Deque<Waiting> queue : queues) {
      while (!queue.isEmpty() && serve(queue)) {
        // Continue with the next request of the same urgency.
      }
      if (!queue.isEmpty()) {
        return;
      }
    }
  }

  /** Sends or expires the first request of a queue; false if it keeps waiting for tokens. */
  private boolean serve(Deque<Waiting> queue) {
    long now = clock.now();
    Waiting first = queue.peek();
    if (now > first.deadline()) {
      queue.poll();
      first.then().done(Outbox.NOT_SENT, NO_BODY);
      return true;
    }
    if (first instanceof Late late) {
      if (!changes.ready(now) || !requests.ready(now)) {
        return false;
      }
      queue.poll();
      makeAndSend(late);
      return true;
    }
    Ready ready = (Ready) first;
    if (ready.changes() > 0 && !changes.take(now, ready.changes()) || !requests.take(now, 1)) {
      return false;
    }
    queue.poll();
    send(ready.method(), ready.path(), ready.body(), ready.timeoutMs(), ready.then());
    return true;
  }

  private void makeAndSend(Late late) {
    Txn txn = made(late);
    if (txn == null) {
      late.then().done(Outbox.NOT_SENT, NO_BODY);
    } else {
      changes.charge(txn.writeCount());
      requests.charge(1);
      late.sender().accept(txn);
    }
  }

  /** Builds the write; null on an exception too, so that the callback still runs. */
  private static Txn made(Late late) {
    try {
      return late.maker().get();
    } catch (RuntimeException e) {
      LOG.error("failed to build a deferred write", e);
      return null;
    }
  }

  /** Sends a conditional write at once. */
  void send(Txn txn, Outbox.Callback then) {
    send("POST", "/txn", Json.bytes(txn.toJson()), Constants.STATE_TIMEOUT_MS, then);
  }

  /** Sends a request at once. */
  void send(String method, String path, byte[] body, long timeoutMs, Outbox.Callback then) {
    long sent = clock.now();
    out.call(
        settings.stateAddr(),
        method,
        path,
        body,
        timeoutMs,
        (status, answer) -> {
          if (status == 429 || status == 503) {
            requests.rest(clock.now(), Constants.RATE_LIMIT_BACKOFF_MS);
            changes.rest(clock.now(), Constants.RATE_LIMIT_BACKOFF_MS);
          } else if (status > 0 && status < 500) {
            // Not the arrival time: a process that was suspended reads old answers when it resumes,
            // and would consider itself connected during an outage that began meanwhile.
            lastContact = Math.max(lastContact, sent);
          }
          then.done(status, answer);
        });
  }
}
