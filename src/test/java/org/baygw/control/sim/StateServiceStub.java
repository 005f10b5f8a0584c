package org.baygw.control.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.baygw.control.core.Json;

/** The state service, by its protocol. */
final class StateServiceStub {
  /** Sends an answer. */
  interface Respond {
    void done(int status, byte[] body);
  }

  private static final String CLAIMS = "b/claim/";
  private static final String LEADER_CLAIM = CLAIMS + FailoverProbe.LEADER;

  private record Item(JsonNode value, long stamp, long hold) {}

  private record Change(String key, JsonNode value, long stamp) {}

  private record Watch(String from, String under, long after, long until, Respond respond) {}

  private final SimulatedCluster world;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final Map<Long, long[]> holds = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision;
  private long nextHold;
  private long outageUntil;
  private final Map<String, Long> outageFor = new HashMap<>();
  private int keepHistory = 10_000;
  private final double[] level = {0, 0};
  private long levelAt;
  private boolean limited;

  /** Changes asked for, by the kind of key. */
  final Map<String, Integer> writes = new TreeMap<>();

  int refusals;

  /** The first write that goes over a limit of the protocol, or null. */
  String malformed;

  StateServiceStub(SimulatedCluster world) {
    this.world = world;
  }

  void outage(String only, long ms) {
    if (only == null) {
      outageUntil = world.now() + ms;
      world.after(
          ms,
          () -> {
            holds.values().forEach(h -> h[1] = world.now() + h[0]); // full time again
            wake();
          });
    } else {
      outageFor.put(only, world.now() + ms);
      world.after(ms, this::wake);
    }
  }

  private double lateShare;
  private long lateUntil;

  /** That share of transactions gets no answer and is carried out 2 to 12 s later. */
  void lateWrites(double share, long forMs) {
    lateShare = share;
    lateUntil = world.now() + forMs;
  }

  /** An answer with more changes than this takes longer than any caller waits. */
  int backlog = Integer.MAX_VALUE;

  /** Refuses what goes over the limits in the settings. */
  void limit() {
    limited = true;
    level[0] = world.stateRps;
    level[1] = world.stateWriteRps;
  }

  private boolean over(int changes) {
    double[] most = {world.stateRps, world.stateWriteRps};
    int[] cost = {1, changes};
    boolean over = false;
    for (int i = 0; i < 2; i++) {
      level[i] = Math.min(most[i], level[i] + (world.now() - levelAt) * most[i] / 1000);
      over |= level[i] < cost[i];
    }
    levelAt = world.now();
    for (int i = 0; i < 2 && !over; i++) {
      level[i] -= cost[i];
    }
    return over;
  }

  void keepHistory(int changes) {
    keepHistory = changes;
  }

  JsonNode value(String key) {
    Item i = items.get(key);
    return i == null ? null : i.value();
  }

  boolean has(String under) {
    return items.keySet().stream().anyMatch(k -> k.startsWith(under));
  }

  /** Whether the controller holds the claim of a partition. */
  boolean holds(String label) {
    return items.entrySet().stream()
        .anyMatch(
            e ->
                e.getKey().startsWith("b/claim/")
                    && !e.getKey().endsWith("/leader")
                    && e.getValue().value().path("owner").asText().equals(label));
  }

  private boolean down(String from) {
    return world.now() < outageUntil || world.now() < outageFor.getOrDefault(from, 0L);
  }

  private void expire() {
    if (world.now() < outageUntil) {
      return;
    }
    List<Long> over = new ArrayList<>();
    holds.forEach(
        (id, h) -> {
          if (h[1] <= world.now()) {
            over.add(id);
          }
        });
    over.forEach(this::endHold);
  }

  private void endHold(long id) {
    holds.remove(id);
    List<String> keys = new ArrayList<>();
    items.forEach(
        (k, i) -> {
          if (i.hold() == id) {
            keys.add(k);
          }
        });
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::remove);
      wake();
    }
  }

  private void remove(String key) {
    items.remove(key);
    if (key.startsWith(CLAIMS)) {
      world.probe.freed(key.substring(CLAIMS.length()));
    }
    history.add(new Change(key, null, revision));
  }

  void handle(String from, String method, String path, JsonNode n, Respond respond) {
    expire();
    if (down(from)) {
      respond.done(503, Json.bytes(Json.object().put("error", "outage")));
      return;
    }
    for (JsonNode t : n.path("then")) {
      String key = t.path("write").asText(t.path("delete").asText());
      writes.merge(key.split("/")[1], 1, Integer::sum);
    }
    if (n.path("then").size() > 0 && tooLarge(n)) {
      respond.done(400, Json.bytes(Json.object().put("error", "too large")));
      return;
    }
    if (limited && over(n.path("then").size())) {
      refusals++;
      respond.done(429, Json.bytes(Json.object()));
      return;
    }
    String[] split = path.split("\\?", 2);
    Map<String, String> q = new HashMap<>();
    if (split.length > 1) {
      for (String p : split[1].split("&")) {
        int eq = p.indexOf('=');
        q.put(p.substring(0, eq), p.substring(eq + 1));
      }
    }
    String at = split[0];
    if (at.equals("/kv")) {
      list(q, respond);
    } else if (at.equals("/txn")) {
      if (world.now() < lateUntil && world.random.nextDouble() < lateShare) {
        world.after(2_000 + world.random.nextInt(10_000), () -> txn(n, (status, body) -> {}));
      } else {
        txn(n, respond);
      }
    } else if (at.equals("/watch")) {
      Watch w =
          new Watch(
              from,
              q.get("under"),
              Long.parseLong(q.get("after")),
              world.now() + Long.parseLong(q.getOrDefault("waitMs", "0")),
              respond);
      if (!answer(w, false)) {
        watches.add(w);
        world.after(w.until() - world.now(), this::wake);
      }
    } else if (at.equals("/holds")) {
      long id = ++nextHold;
      long ttl = n.path("ttlMs").asLong();
      holds.put(id, new long[] {ttl, world.now() + ttl});
      world.after(ttl + 50, this::expire);
      respond.done(200, Json.bytes(Json.object().put("hold", id)));
    } else if (at.startsWith("/holds/")) {
      long id = Long.parseLong(at.split("/")[2]);
      if (!holds.containsKey(id)) {
        respond.done(404, Json.bytes(Json.object()));
      } else if (method.equals("DELETE")) {
        endHold(id);
        respond.done(200, Json.bytes(Json.object()));
      } else {
        long[] h = holds.get(id);
        h[1] = world.now() + h[0];
        world.after(h[0] + 50, this::expire);
        respond.done(200, Json.bytes(Json.object().put("hold", id)));
      }
    } else {
      respond.done(400, Json.bytes(Json.object()));
    }
  }

  /** The protocol's limits of a transaction: changes, conditions, bytes, bytes of a value. */
  private boolean tooLarge(JsonNode n) {
    int ops = world.stateTxnOps;
    String what = null;
    if (n.path("then").size() > ops || n.path("when").size() > 4 * ops) {
      what =
          n.path("then").size()
              + " changes and "
              + n.path("when").size()
              + " conditions: "
              + n.path("then").findValuesAsText("write")
              + n.path("then").findValuesAsText("delete");
    }
    int all = Json.bytes(n).length;
    if (all > 64 * 1024) {
      what = all + " bytes";
    }
    for (JsonNode t : n.path("then")) {
      int size = t.has("value") ? Json.bytes(t.path("value")).length : 0;
      if (size > world.stateValueKb * 1024) {
        what = size + " bytes of " + t.path("write").asText();
      }
    }
    malformed = malformed == null ? what : malformed;
    return what != null;
  }

  /** Most pages that a partition's record has. */
  int mostPages() {
    return items.entrySet().stream()
        .filter(e -> e.getKey().startsWith("b/run/"))
        .mapToInt(e -> e.getValue().value().path("pages").asInt(1))
        .max()
        .orElse(0);
  }

  private void list(Map<String, String> q, Respond respond) {
    ObjectNode out = Json.object().put("ledgerRev", revision);
    ArrayNode entries = out.putArray("entries");
    int page = Integer.parseInt(q.getOrDefault("page", "1000"));
    boolean more = false;
    for (Map.Entry<String, Item> e : items.tailMap(q.getOrDefault("after", ""), false).entrySet()) {
      if (!e.getKey().startsWith(q.get("under"))) {
        continue;
      }
      if (entries.size() == page) {
        more = true;
        break;
      }
      ObjectNode o = entries.addObject().put("key", e.getKey()).put("stamp", e.getValue().stamp());
      o.set("value", e.getValue().value());
    }
    respond.done(200, Json.bytes(out.put("more", more)));
  }

  private void txn(JsonNode n, Respond respond) {
    ObjectNode fail = Json.object();
    ArrayNode failed = fail.putArray("failed");
    for (JsonNode t : n.path("then")) {
      long hold = t.path("hold").asLong();
      if (hold != 0 && !holds.containsKey(hold)) {
        respond.done(400, Json.bytes(Json.object().put("error", "no such lease")));
        return;
      }
    }
    for (JsonNode w : n.path("when")) {
      Item i = items.get(w.path("key").asText());
      if ((i == null ? 0 : i.stamp()) != w.path("stamp").asLong()) {
        failed.add(w.path("key"));
      }
    }
    if (!failed.isEmpty()) {
      respond.done(409, Json.bytes(fail.put("ledgerRev", revision)));
      return;
    }
    revision++;
    for (JsonNode t : n.path("then")) {
      if (t.has("write")) {
        String key = t.path("write").asText();
        items.put(key, new Item(t.path("value"), revision, t.path("hold").asLong()));
        if (key.startsWith(CLAIMS)) {
          world.probe.claimed(key.substring(CLAIMS.length()), t.path("value"), revision);
        }
        history.add(new Change(key, t.path("value"), revision));
      } else if (items.containsKey(t.path("delete").asText())) {
        remove(t.path("delete").asText());
      }
    }
    noteGrant(n);
    wake();
    respond.done(200, Json.bytes(Json.object().put("ledgerRev", revision)));
  }

  private void noteGrant(JsonNode n) {
    long epoch = 0;
    for (JsonNode w : n.path("when")) {
      epoch = w.path("key").asText().equals(LEADER_CLAIM) ? w.path("stamp").asLong() : epoch;
    }
    boolean grants = false;
    for (JsonNode t : n.path("then")) {
      grants |= t.path("write").asText().startsWith("b/prog/");
    }
    if (grants && epoch > 0) {
      world.probe.granted(epoch);
    }
  }

  /** Where the changes after a revision begin. */
  private int firstAfter(long rev) {
    int low = 0;
    int high = history.size();
    while (low < high) {
      int mid = (low + high) / 2;
      if (history.get(mid).stamp() > rev) {
        high = mid;
      } else {
        low = mid + 1;
      }
    }
    return low;
  }

  private void wake() {
    watches.removeIf(w -> answer(w, true));
  }

  private boolean answer(Watch w, boolean open) {
    if (open && down(w.from())) {
      return false; // open watches stay open in an outage
    }
    int from = Math.max(0, history.size() - keepHistory);
    if (from > 0 && w.after() < history.get(from).stamp() - 1) {
      w.respond().done(410, Json.bytes(Json.object()));
      return true;
    }
    ObjectNode out = Json.object().put("ledgerRev", revision);
    ArrayNode events = out.putArray("events");
    for (Change c : history.subList(firstAfter(w.after()), history.size())) {
      if (c.key().startsWith(w.under())) {
        ObjectNode o = events.addObject().put("stamp", c.stamp());
        if (c.value() == null) {
          o.put("delete", c.key());
        } else {
          o.put("write", c.key()).set("value", c.value());
        }
      }
    }
    if (events.isEmpty() && world.now() < w.until()) {
      return false;
    }
    if (events.size() > backlog) {
      return true;
    }
    w.respond().done(200, Json.bytes(out));
    return true;
  }
}
