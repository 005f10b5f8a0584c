package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the state service by the published protocol, with its limits. */
final class StateService {
  private static final int KEPT_CHANGES = 10_000;
  private static final int MAX_BODY = 64 * 1024;

  private record Item(Object value, long stamp, long hold) {}

  private record Change(String key, Object value, long stamp) {}

  private record Watch(String from, String prefix, long after, long until, Rig.Reply reply) {}

  private static final class Hold {
    long ttlMs;
    long endsAt;
  }

  private final Rig rig;
  private final double rps;
  private final double writeRps;
  private final int valueBytes;
  private final int txnOps;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private final Map<String, Long> refusedUntil = new HashMap<>();
  private final double[] tokens = new double[2];
  private long tokensAt;
  private long revision;
  private long lastHold;

  /** Requests with status 429, and transactions that were refused because of their size. */
  int tooMany;

  int tooLarge;
  String largestRefused = "";

  StateService(Rig rig) {
    this.rig = rig;
    this.rps = rig.stateRps;
    this.writeRps = rig.stateWriteRps;
    this.valueBytes = (int) (rig.stateValueKb * 1024);
    this.txnOps = rig.stateTxnOps;
    tokens[0] = rps;
    tokens[1] = writeRps;
    rig.every(50, this::tick);
  }

  /** From now on a single controller gets 503 for each request, and its open watches wait. */
  void refuse(String label, long forMs) {
    refusedUntil.put(label, rig.now() + forMs);
    rig.after(forMs, this::answerWatches);
  }

  private boolean refused(String label) {
    return rig.now() < refusedUntil.getOrDefault(label, 0L);
  }

  private void tick() {
    for (Long id : List.copyOf(holds.keySet())) {
      if (rig.now() > holds.get(id).endsAt) {
        end(id);
      }
    }
    answerWatches();
  }

  private void end(long hold) {
    holds.remove(hold);
    List<String> keys = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (item.hold() == hold) {
            keys.add(key);
          }
        });
    if (!keys.isEmpty()) {
      revision++;
      for (String key : keys) {
        items.remove(key);
        changes.add(new Change(key, null, revision));
      }
      rig.log("state: hold %d ended, removed %s", hold, keys);
    }
  }

  private boolean overRate(int writes) {
    long now = rig.now();
    double[] rates = {rps, writeRps};
    int[] cost = {1, writes};
    boolean over = false;
    for (int i = 0; i < 2; i++) {
      tokens[i] = Math.min(rates[i], tokens[i] + (now - tokensAt) * rates[i] / 1000);
      over |= tokens[i] < cost[i];
    }
    tokensAt = now;
    for (int i = 0; i < 2 && !over; i++) {
      tokens[i] -= cost[i];
    }
    return over;
  }

  void handle(String from, String method, String uri, byte[] body, Rig.Reply reply) {
    tick();
    if (refused(from)) {
      reply.send(503, Json.object("error", "unavailable"));
      return;
    }
    Map<String, Object> request = Json.map(body.length == 0 ? Map.of() : Json.parse(body));
    List<Object> then = Json.list(request.get("then"));
    if (overRate(then.size())) {
      tooMany++;
      reply.send(429, Json.object("error", "too many requests"));
      return;
    }
    String[] parts = uri.split("\\?", 2);
    Map<String, String> query = new HashMap<>();
    if (parts.length > 1) {
      for (String pair : parts[1].split("&")) {
        int equals = pair.indexOf('=');
        query.put(pair.substring(0, equals), pair.substring(equals + 1));
      }
    }
    String path = parts[0];
    if (path.equals("/kv")) {
      list(query, reply);
    } else if (path.startsWith("/kv/")) {
      Item item = items.get(path.substring("/kv/".length()));
      if (item == null) {
        reply.send(404, Json.object("ledgerRev", revision));
      } else {
        reply.send(
            200,
            Json.object(
                "key", path.substring(4), "value", item.value(), "stamp", item.stamp()));
      }
    } else if (path.equals("/txn")) {
      txn(from, request, then, body.length, reply);
    } else if (path.equals("/watch")) {
      long wait = Math.min(60_000, Long.parseLong(query.getOrDefault("waitMs", "0")));
      Watch watch =
          new Watch(
              from,
              query.get("under"),
              Long.parseLong(query.get("after")),
              rig.now() + wait,
              reply);
      if (!answer(watch)) {
        watches.add(watch);
      }
    } else if (path.equals("/holds")) {
      long ttl = Json.number(request.get("ttlMs"));
      if (ttl < 100 || ttl > 600_000) {
        reply.send(400, Json.object("error", "ttlMs"));
        return;
      }
      Hold hold = new Hold();
      hold.ttlMs = ttl;
      hold.endsAt = rig.now() + ttl;
      holds.put(++lastHold, hold);
      reply.send(200, Json.object("hold", lastHold));
    } else if (path.startsWith("/holds/")) {
      long id = Long.parseLong(path.split("/")[2]);
      Hold hold = holds.get(id);
      if (hold == null) {
        reply.send(404, Json.object("error", "no such lease"));
      } else if (method.equals("DELETE")) {
        end(id);
        answerWatches();
        reply.send(200, Json.object());
      } else {
        hold.endsAt = rig.now() + hold.ttlMs;
        reply.send(200, Json.object("hold", id));
      }
    } else {
      reply.send(400, Json.object("error", "no such path"));
    }
  }

  private void list(Map<String, String> query, Rig.Reply reply) {
    String prefix = query.getOrDefault("under", "");
    int page = Math.min(1_000, Integer.parseInt(query.getOrDefault("page", "1000")));
    List<Object> entries = new ArrayList<>();
    int bytes = 0;
    boolean more = false;
    for (Map.Entry<String, Item> entry :
        items.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        continue;
      }
      Map<String, Object> listed =
          Json.object(
              "key",
              entry.getKey(),
              "value",
              entry.getValue().value(),
              "stamp",
              entry.getValue().stamp());
      bytes += Json.bytes(listed).length + 1;
      if (entries.size() == page || bytes > 500 * 1024) {
        more = true;
        break;
      }
      entries.add(listed);
    }
    reply.send(200, Json.object("entries", entries, "more", more, "ledgerRev", revision));
  }

  private String sizeError(Map<String, Object> request, List<Object> then, int bodyBytes) {
    if (bodyBytes > MAX_BODY) {
      return "a transaction of " + bodyBytes + " bytes";
    }
    if (then.size() > txnOps || Json.list(request.get("when")).size() > 4 * txnOps) {
      return "a transaction of " + then.size() + " changes";
    }
    for (Object operation : then) {
      Object value = Json.map(operation).get("value");
      if (value != null && Json.bytes(value).length > valueBytes) {
        return "a value of "
            + Json.bytes(value).length
            + " bytes for "
            + Json.map(operation).get("write");
      }
    }
    return null;
  }

  private void txn(
      String from, Map<String, Object> request, List<Object> then, int bytes, Rig.Reply reply) {
    String sizeError = sizeError(request, then, bytes);
    if (sizeError != null) {
      tooLarge++;
      if (tooLarge <= 5 || tooLarge % 100 == 0) {
        rig.log("state: 400 to %s (refusal %d): %s", from, tooLarge, sizeError);
      }
      largestRefused = sizeError;
      reply.send(400, Json.object("error", "too large"));
      return;
    }
    for (Object operation : then) {
      long hold = Json.number(Json.map(operation).get("hold"));
      if (hold != 0 && !holds.containsKey(hold)) {
        reply.send(400, Json.object("error", "no such lease"));
        return;
      }
    }
    List<Object> failed = new ArrayList<>();
    for (Object condition : Json.list(request.get("when"))) {
      String key = (String) Json.map(condition).get("key");
      Item item = items.get(key);
      if ((item == null ? 0 : item.stamp()) != Json.number(Json.map(condition).get("stamp"))) {
        failed.add(key);
      }
    }
    if (!failed.isEmpty()) {
      reply.send(409, Json.object("failed", failed, "ledgerRev", revision));
      return;
    }
    if (!then.isEmpty()) {
      revision++;
      for (Object operation : then) {
        Map<String, Object> change = Json.map(operation);
        if (change.containsKey("write")) {
          String key = (String) change.get("write");
          items.put(key, new Item(change.get("value"), revision, Json.number(change.get("hold"))));
          changes.add(new Change(key, change.get("value"), revision));
        } else {
          String key = (String) change.get("delete");
          if (items.remove(key) != null) {
            changes.add(new Change(key, null, revision));
          }
        }
      }
    }
    reply.send(200, Json.object("ledgerRev", revision));
    answerWatches();
  }

  private void answerWatches() {
    watches.removeIf(this::answer);
  }

  private boolean answer(Watch watch) {
    if (refused(watch.from())) {
      return false;
    }
    int first = Math.max(0, changes.size() - KEPT_CHANGES);
    if (first > 0 && watch.after() < changes.get(first).stamp() - 1) {
      watch.reply().send(410, Json.object("error", "too old"));
      return true;
    }
    int low = changes.size();
    while (low > first && changes.get(low - 1).stamp() > watch.after()) {
      low--;
    }
    List<Object> events = new ArrayList<>();
    for (Change change : changes.subList(low, changes.size())) {
      if (change.key().startsWith(watch.prefix())) {
        events.add(
            change.value() == null
                ? Json.object("delete", change.key(), "stamp", change.stamp())
                : Json.object(
                    "write", change.key(), "value", change.value(), "stamp", change.stamp()));
      }
    }
    if (events.isEmpty() && rig.now() < watch.until()) {
      return false;
    }
    watch.reply().send(200, Json.object("ledgerRev", revision, "events", events));
    return true;
  }
}
