import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** Stand-in of the state service, by the protocol's page. */
final class StateService {
  private record Item(Object value, long revision, long hold) {}

  private record Change(String key, Object value, long revision) {}

  private record Watch(String from, String prefix, long after, long deadline, Rig.Reply reply) {}

  private final Rig rig;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();

  /** Term and end of each lease, in ms. */
  private final Map<Long, long[]> leases = new HashMap<>();

  private final List<Watch> watches = new ArrayList<>();
  private long revision;
  private long lastLease;

  /** Controllers that get 503; all of them during an outage. */
  final Set<String> refused = new HashSet<>();

  /** Called with the sender of a transaction and the keys that it has written. */
  BiConsumer<String, Set<String>> onWritten = (from, keys) -> {};

  /** Called with a controller's label for each transaction; true: it gets no answer now. */
  interface TxnFault {
    boolean takes(String from, Map<String, Object> txn, Runnable carryOut);
  }

  TxnFault txnFault = (from, txn, carryOut) -> false;

  StateService(Rig rig) {
    this.rig = rig;
    rig.clock.scheduleAtFixedRate(this::expire, 50, 50, java.util.concurrent.TimeUnit.MILLISECONDS);
  }

  Object value(String key) {
    Item item = items.get(key);
    return item == null ? null : item.value();
  }

  List<String> keys(String prefix) {
    return items.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
  }

  /** Puts a key as an earlier process of the service would have left it. */
  void preload(String key, Object value) {
    items.put(key, new Item(value, ++revision, 0));
  }

  /** Every controller is refused from now on. */
  void beginOutage() {
    synchronized (rig) {
      refused.addAll(rig.labels);
      rig.note("state service: outage begins");
    }
  }

  void endOutage() {
    synchronized (rig) {
      refused.clear();
      leases.values().forEach(lease -> lease[1] = rig.now() + lease[0]);
      rig.note("state service: outage ends");
      answerWatches();
    }
  }

  private void expire() {
    synchronized (rig) {
      if (refused.containsAll(rig.labels) && !rig.labels.isEmpty()) {
        return; // leases get their full time again after an outage
      }
      for (Long id : new ArrayList<>(leases.keySet())) {
        if (rig.now() > leases.get(id)[1]) {
          endLease(id);
        }
      }
      answerWatches();
    }
  }

  private void endLease(long id) {
    leases.remove(id);
    List<String> attached =
        items.entrySet().stream()
            .filter(e -> e.getValue().hold() == id)
            .map(Map.Entry::getKey)
            .toList();
    if (!attached.isEmpty()) {
      revision++;
      for (String key : attached) {
        items.remove(key);
        history.add(new Change(key, null, revision));
      }
      rig.note("state service: lease " + id + " ended with " + attached);
    }
    answerWatches();
  }

  void handle(String from, String method, String target, byte[] body, Rig.Reply reply) {
    synchronized (rig) {
      if (refused.contains(from)) {
        reply.send(503, Json.of());
        return;
      }
      String[] split = target.split("\\?", 2);
      Map<String, String> query = new HashMap<>();
      for (String pair : split.length > 1 ? split[1].split("&") : new String[0]) {
        String[] words = pair.split("=", 2);
        query.put(words[0], words.length > 1 ? words[1] : "");
      }
      String path = split[0];
      if (path.equals("/kv")) {
        list(query, reply);
      } else if (path.equals("/txn")) {
        Map<String, Object> txn = Json.object(body);
        if (!txnFault.takes(from, txn, () -> txn(from, txn, (status, answer) -> {}))) {
          txn(from, txn, reply);
        }
      } else if (path.equals("/watch")) {
        Watch watch =
            new Watch(
                from,
                query.get("under"),
                Long.parseLong(query.get("after")),
                rig.now() + Long.parseLong(query.getOrDefault("waitMs", "0")),
                reply);
        if (!answer(watch)) {
          watches.add(watch);
        }
      } else if (path.equals("/holds")) {
        long id = ++lastLease;
        long ttl = Json.number(Json.object(body), "ttlMs", 1000);
        leases.put(id, new long[] {ttl, rig.now() + ttl});
        reply.send(200, Json.of("hold", id));
      } else if (path.startsWith("/holds/")) {
        long id = Long.parseLong(path.split("/")[2]);
        if (!leases.containsKey(id)) {
          reply.send(404, Json.of());
        } else if (method.equals("DELETE")) {
          endLease(id);
          reply.send(200, Json.of());
        } else {
          leases.get(id)[1] = rig.now() + leases.get(id)[0];
          reply.send(200, Json.of("hold", id));
        }
      } else {
        reply.send(400, Json.of());
      }
    }
  }

  private void list(Map<String, String> query, Rig.Reply reply) {
    List<Object> entries = new ArrayList<>();
    int page = Math.min(1000, Integer.parseInt(query.getOrDefault("page", "1000")));
    boolean more = false;
    int bytes = 0;
    for (Map.Entry<String, Item> e :
        items.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
      if (!e.getKey().startsWith(query.get("under"))) {
        continue;
      }
      if (entries.size() == page || bytes > 480 * 1024) {
        more = true;
        break;
      }
      Map<String, Object> entry =
          Json.of("key", e.getKey(), "value", e.getValue().value(), "stamp", e.getValue().revision());
      bytes += Json.write(entry).length();
      entries.add(entry);
    }
    reply.send(200, Json.of("entries", entries, "more", more, "ledgerRev", revision));
  }

  private void txn(String from, Map<String, Object> txn, Rig.Reply reply) {
    List<Object> then = Json.list(txn, "then");
    if (then.size() > rig.site.txnOps
        || Json.list(txn, "when").size() > 4 * rig.site.txnOps
        || Json.write(txn).length() > 64 * 1024) {
      reply.send(400, Json.of("error", "too large"));
      return;
    }
    for (Object o : then) {
      long hold = Json.number(Json.cast(o), "hold", 0);
      if (hold != 0 && !leases.containsKey(hold)) {
        reply.send(400, Json.of("error", "no such lease"));
        return;
      }
    }
    List<Object> failed = new ArrayList<>();
    for (Object o : Json.list(txn, "when")) {
      Item item = items.get(Json.string(Json.cast(o), "key"));
      if ((item == null ? 0 : item.revision()) != Json.number(Json.cast(o), "stamp", 0)) {
        failed.add(Json.string(Json.cast(o), "key"));
      }
    }
    if (!failed.isEmpty()) {
      reply.send(409, Json.of("failed", failed, "ledgerRev", revision));
      return;
    }
    Set<String> written = new HashSet<>();
    if (!then.isEmpty()) {
      revision++;
    }
    for (Object o : then) {
      Map<String, Object> change = Json.cast(o);
      if (change.containsKey("write")) {
        String key = Json.string(change, "write");
        items.put(key, new Item(change.get("value"), revision, Json.number(change, "hold", 0)));
        history.add(new Change(key, change.get("value"), revision));
        written.add(key);
      } else if (items.remove(Json.string(change, "delete")) != null) {
        history.add(new Change(Json.string(change, "delete"), null, revision));
      }
    }
    answerWatches();
    reply.send(200, Json.of("ledgerRev", revision));
    onWritten.accept(from, written);
  }

  private void answerWatches() {
    watches.removeIf(w -> !refused.contains(w.from()) && answer(w));
  }

  private int indexAfter(long after) {
    int low = 0;
    int high = history.size();
    while (low < high) {
      int middle = (low + high) / 2;
      if (history.get(middle).revision() > after) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low;
  }

  private boolean answer(Watch watch) {
    int first = Math.max(0, history.size() - 10_000);
    if (first > 0 && watch.after() < history.get(first).revision() - 1) {
      watch.reply().send(410, Json.of());
      return true;
    }
    List<Object> events = new ArrayList<>();
    for (Change change : history.subList(indexAfter(watch.after()), history.size())) {
      if (change.key().startsWith(watch.prefix())) {
        events.add(
            change.value() == null
                ? Json.of("delete", change.key(), "stamp", change.revision())
                : Json.of(
                    "write", change.key(), "value", change.value(), "stamp", change.revision()));
      }
    }
    if (events.isEmpty() && rig.now() < watch.deadline()) {
      return false;
    }
    watch.reply().send(200, Json.of("ledgerRev", revision, "events", events));
    return true;
  }
}
