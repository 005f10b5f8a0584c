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
import org.baygw.control.core.ErrorBoundary;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
import org.baygw.control.core.TokenBucket;

/**
 * Queue of requests to the state service. Requests wait for tokens from this controller's share of
 * the service's rate limits, in the order of their urgency; a request never takes tokens that a
 * more urgent one waits for.
 */
final class RequestQueue {
  private static final byte[] NO_BODY = new byte[0];

  /**
   * Longest gap between answers of the state service within which contact with it continues: a
   * membership lease survives it.
   */
  private static final long CONTACT_GAP_MS = Constants.MEMBERSHIP_LEASE_MS;

  /** A request waiting for tokens. */
  private sealed interface QueuedRequest {
    long deadline();

    Outbox.Callback callback();
  }

  /** A complete request, with the number of writes that it counts as. */
  private record CompleteRequest(
      String method,
      String path,
      byte[] body,
      int writeCount,
      long deadline,
      long timeoutMs,
      Outbox.Callback callback)
      implements QueuedRequest {}

  /** A write that is built only when tokens for it are available. */
  private record DeferredWrite(
      Supplier<Txn> builder, Consumer<Txn> sender, long deadline, Outbox.Callback callback)
      implements QueuedRequest {}

  private final Clock clock;
  private final Outbox out;
  private final Settings settings;
  private final ErrorBoundary boundary;
  private final TokenBucket requestTokens = new TokenBucket(1, 1);
  private final TokenBucket writeTokens = new TokenBucket(1, 1);
  private final List<Deque<QueuedRequest>> queues = new ArrayList<>();
  private long lastContact = Long.MIN_VALUE / 2;
  private long contactSince = Long.MIN_VALUE / 2;

  RequestQueue(Clock clock, Outbox out, Settings settings, ErrorBoundary boundary) {
    this.boundary = boundary;
    this.clock = clock;
    this.out = out;
    this.settings = settings;
    for (int i = 0; i < Store.Urgency.values().length; i++) {
      queues.add(new ArrayDeque<>());
    }
    updateShare(false);
  }

  /** Send time of the latest request that the state service answered, 429 and 5xx aside. */
  long lastContact() {
    return lastContact;
  }

  /**
   * Time in ms for which the state service has been answering, without a long gap; 0 if it has not
   * answered recently.
   */
  long contactMs() {
    boolean inContact = clock.now() - lastContact <= CONTACT_GAP_MS;
    return inContact ? clock.now() - contactSince : 0;
  }

  private void answered(long sentAt) {
    if (sentAt - lastContact > CONTACT_GAP_MS) {
      contactSince = clock.now();
    }
    lastContact = Math.max(lastContact, sentAt);
  }

  /** Takes an even share of the service's rate limits, and an extra one if this is the leader. */
  void updateShare(boolean isLeader) {
    double shares = settings.peers().size() + 1 + Constants.LEADER_EXTRA_SHARES;
    double own = (1.0 + (isLeader ? Constants.LEADER_EXTRA_SHARES : 0)) / shares;
    double share = Math.min(Constants.STATE_SHARE_MAX, own * Constants.STATE_OVERCOMMIT);
    double requestsPerS = settings.state().rps() * share;
    double writesPerS = settings.state().writeRps() * share;
    requestTokens.setRate(requestsPerS, requestsPerS);
    writeTokens.setRate(writesPerS, writesPerS);
  }

  /** Whether write tokens are running low. */
  boolean writeTokensLow() {
    return writeTokens.fullness(clock.now()) < Constants.WRITE_TOKENS_LOW;
  }

  /** Takes a token, if one is available, for a request that the caller sends at once. */
  boolean takeToken() {
    return requestTokens.take(clock.now(), 1);
  }

  /** Queues a request; its status is NOT_SENT if no token is free within waitMs. */
  void add(
      Store.Urgency urgency,
      String method,
      String path,
      byte[] body,
      int writeCount,
      long waitMs,
      long timeoutMs,
      Outbox.Callback callback) {
    long deadline = clock.now() + waitMs;
    queue(urgency)
        .add(new CompleteRequest(method, path, body, writeCount, deadline, timeoutMs, callback));
    dispatch();
  }

  /** Queues a write that is built when tokens are available; null means nothing to write. */
  void addDeferred(
      Store.Urgency urgency,
      Supplier<Txn> builder,
      Consumer<Txn> sender,
      Outbox.Callback callback) {
    queue(urgency)
        .add(
            new DeferredWrite(
                builder, sender, clock.now() + Constants.DEFERRED_WRITE_WAIT_MS, callback));
    dispatch();
  }

  private Deque<QueuedRequest> queue(Store.Urgency urgency) {
    return queues.get(urgency.ordinal());
  }

  /** Sends queued requests, most urgent first, as long as there are tokens. */
  void dispatch() {
    for (Deque<QueuedRequest> queue : queues) {
      while (!queue.isEmpty() && dispatchFirst(queue)) {
        // Continue with the next request of the same urgency.
      }
      if (!queue.isEmpty()) {
        return;
      }
    }
  }

  /** Sends or expires the first request of a queue; false if it keeps waiting for tokens. */
  private boolean dispatchFirst(Deque<QueuedRequest> queue) {
    long now = clock.now();
    QueuedRequest first = queue.peek();
    if (now > first.deadline()) {
      queue.poll();
      notSent(first);
      return true;
    }
    if (first instanceof DeferredWrite deferred) {
      if (!writeTokens.ready(now) || !requestTokens.ready(now)) {
        return false;
      }
      queue.poll();
      buildAndSend(deferred);
      return true;
    }
    CompleteRequest request = (CompleteRequest) first;
    if (request.writeCount() > 0 && !writeTokens.take(now, request.writeCount())
        || !requestTokens.take(now, 1)) {
      return false;
    }
    queue.poll();
    send(request.method(), request.path(), request.body(), request.timeoutMs(), request.callback());
    return true;
  }

  private void buildAndSend(DeferredWrite deferred) {
    Txn txn = build(deferred);
    if (txn == null) {
      notSent(deferred);
    } else {
      writeTokens.charge(txn.writeCount());
      requestTokens.charge(1);
      deferred.sender().accept(txn);
    }
  }

  /** The callback runs within another caller's request, which must not fail with it. */
  private void notSent(QueuedRequest request) {
    boundary.run(
        "the callback of a request that was not sent",
        () -> request.callback().done(Outbox.NOT_SENT, NO_BODY));
  }

  /** Builds the write; null on an exception too, so that the callback still runs. */
  private Txn build(DeferredWrite deferred) {
    Txn[] txn = new Txn[1];
    boundary.run("building a deferred write", () -> txn[0] = deferred.builder().get());
    return txn[0];
  }

  /** Sends a conditional write at once. */
  void send(Txn txn, Outbox.Callback callback) {
    send("POST", "/txn", Json.bytes(txn.toJson()), Constants.STATE_TIMEOUT_MS, callback);
  }

  /** Sends a request at once. */
  void send(String method, String path, byte[] body, long timeoutMs, Outbox.Callback callback) {
    long sentAt = clock.now();
    out.call(
        settings.stateAddr(),
        method,
        path,
        body,
        timeoutMs,
        (status, answer) -> {
          if (status == 429 || status == 503) {
            requestTokens.pause(clock.now(), Constants.RATE_LIMIT_BACKOFF_MS);
            writeTokens.pause(clock.now(), Constants.RATE_LIMIT_BACKOFF_MS);
          } else if (status > 0 && status < 500) {
            // Not the arrival time: a process that was suspended reads old answers when it resumes,
            // and would consider itself connected during an outage that began meanwhile.
            answered(sentAt);
          }
          callback.done(status, answer);
        });
  }
}
