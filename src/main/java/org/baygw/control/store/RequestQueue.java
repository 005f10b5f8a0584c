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
 * Requests to the state service. They wait for this controller's share of the service's limits, in
 * the order of their urgency; the less urgent never takes what the more urgent waits for.
 */
final class RequestQueue {
  private static final Logger LOG = LoggerFactory.getLogger(RequestQueue.class);
  private static final byte[] NO_BODY = new byte[0];

  /** A request that waits for tokens. */
  private sealed interface Waiting {
    long deadline();

    Outbox.Callback then();
  }

  /** A request that is made up already, with the changes that it counts as. */
  private record Ready(
      String method,
      String path,
      byte[] body,
      int changes,
      long deadline,
      long timeoutMs,
      Outbox.Callback then)
      implements Waiting {}

  /** A write that is made up when tokens for it are there. */
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

  /** When the latest request was sent that the state service has answered. */
  long lastContact() {
    return lastContact;
  }

  /** Takes an even share of the service's limits, and some more where this controller leads. */
  void share(boolean leads) {
    double shares = settings.peers().size() + 1 + Constants.LEADER_SHARES;
    double own = (1.0 + (leads ? Constants.LEADER_SHARES : 0)) / shares;
    double share = Math.min(Constants.STATE_SHARE_MAX, own * Constants.STATE_OVERBOOK);
    double requestsPerS = settings.state().rps() * share;
    double changesPerS = settings.state().writeRps() * share;
    requests.setRate(requestsPerS, requestsPerS);
    changes.setRate(changesPerS, changesPerS);
  }

  /** Whether tokens for changes are running out. */
  boolean scarce() {
    return changes.fullness(clock.now()) < Constants.SCARCE;
  }

  /** Takes a token for a request that is sent at once, if there is one. */
  boolean takeToken() {
    return requests.take(clock.now(), 1);
  }

  /** Queues a request; its outcome is NOT_SENT where no token comes free in time. */
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

  /** Queues a write that is made up when tokens are there; null means that there is none. */
  void addLate(
      Store.Urgency urgency, Supplier<Txn> maker, Consumer<Txn> sender, Outbox.Callback then) {
    queue(urgency).add(new Late(maker, sender, clock.now() + Constants.LATE_WAIT_MS, then));
    pump();
  }

  private Deque<Waiting> queue(Store.Urgency urgency) {
    return queues.get(urgency.ordinal());
  }

  /** Sends what there are tokens for. */
  void pump() {
    for (Deque<Waiting> queue : queues) {
      while (!queue.isEmpty() && serve(queue)) {
        // The next one of the same urgency.
      }
      if (!queue.isEmpty()) {
        return;
      }
    }
  }

  /** Serves the first of a queue; false where it goes on waiting. */
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
      changes.charge(txn.writes());
      requests.charge(1);
      late.sender().accept(txn);
    }
  }

  /** A fault in making a write up must not keep its maker waiting for ever. */
  private static Txn made(Late late) {
    try {
      return late.maker().get();
    } catch (RuntimeException e) {
      LOG.error("a write could not be made up", e);
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
            requests.pause(clock.now(), Constants.BUCKET_REST_MS);
            changes.pause(clock.now(), Constants.BUCKET_REST_MS);
          } else if (status > 0 && status < 500) {
            // Not the time of the answer: a process that stood still takes old answers in when it
            // wakes, and would think itself in touch in an outage that began meanwhile.
            lastContact = Math.max(lastContact, sent);
          }
          then.done(status, answer);
        });
  }
}
