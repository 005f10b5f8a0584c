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

/** Simulates the state service by its protocol. */
final class StateServiceStub {
  /** Sends the answer to a request. */
  interface ResponseCallback {
    void done(int status, byte[] body);
  }

  private static final String CLAIMS = "b/claim/";
  private static final String LEADER_CLAIM = CLAIMS + FailoverProbe.LEADER;

  private record Item(JsonNode value, long revision, long leaseId) {}

  private record Change(String key, JsonNode value, long revision) {}

  private record Watch(
      String from, String prefix, long afterRevision, long deadline, ResponseCallback respond) {}

  private final SimulatedCluster cluster;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final Map<Long, long[]> leases = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision;
  private long nextLeaseId;
  private long outageUntil;
  private final Map<String, Long> outageUntilByHost = new HashMap<>();
  private int keepHistory = 10_000;
  private final double[] rateTokens = {0, 0};
  private long rateTokensAt;
  private boolean ratesEnforced;

  /** Number of requested changes, by the kind of their keys. */
  final Map<String, Integer> writes = new TreeMap<>();

  int refusals;

  /** Number of claims that their holders gave up. */
  int claimsReleased;

  /** Description of the first transaction over a limit of the protocol, or null. */
  String firstLimitViolation;

  StateServiceStub(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void outage(String only, long ms) {
    if (only == null) {
      outageUntil = cluster.now() + ms;
      cluster.after(
          ms,
          () -> {
            // All leases are renewed for their full TTL.
            leases.values().forEach(lease -> lease[1] = cluster.now() + lease[0]);
            answerWatches();
          });
    } else {
      outageUntilByHost.put(only, cluster.now() + ms);
      cluster.after(ms, this::answerWatches);
    }
  }

  private final Map<String, Long> malformedReadsUntil = new HashMap<>();

  /** A host's reads are answered with 200 and a body that is no answer; its writes succeed. */
  void malformedReads(String host, long ms) {
    malformedReadsUntil.put(host, cluster.now() + ms);
  }

  private double lateShare;
  private long lateUntil;

  /** This share of transactions gets no answer and is applied 2 to 12 s later. */
  void lateWrites(double share, long forMs) {
    lateShare = share;
    lateUntil = cluster.now() + forMs;
  }

  /**
   * A watch with more changes than this gets no answer: sending them would take longer than any
   * caller waits.
   */
  int maxAnswerChanges = Integer.MAX_VALUE;

  /** From now on, refuses requests over the rates in the settings. */
  void enforceRates() {
    ratesEnforced = true;
    rateTokens[0] = cluster.stateRps;
    rateTokens[1] = cluster.stateWriteRps;
  }

  private boolean exceedsRates(int changes) {
    double[] limits = {cluster.stateRps, cluster.stateWriteRps};
    int[] cost = {1, changes};
    boolean exceeded = false;
    for (int i = 0; i < 2; i++) {
      rateTokens[i] =
          Math.min(limits[i], rateTokens[i] + (cluster.now() - rateTokensAt) * limits[i] / 1000);
      exceeded |= rateTokens[i] < cost[i];
    }
    rateTokensAt = cluster.now();
    for (int i = 0; i < 2 && !exceeded; i++) {
      rateTokens[i] -= cost[i];
    }
    return exceeded;
  }

  void keepHistory(int changes) {
    keepHistory = changes;
  }

  JsonNode value(String key) {
    Item item = items.get(key);
    return item == null ? null : item.value();
  }

  boolean hasKeysUnder(String prefix) {
    return items.keySet().stream().anyMatch(k -> k.startsWith(prefix));
  }

  /** Whether the controller holds the claim of at least one partition. */
  boolean ownsPartition(String label) {
    return items.entrySet().stream()
        .anyMatch(
            e ->
                e.getKey().startsWith("b/claim/")
                    && !e.getKey().endsWith("/leader")
                    && e.getValue().value().path("owner").asText().equals(label));
  }

  private boolean unavailable(String from) {
    return cluster.now() < outageUntil || cluster.now() < outageUntilByHost.getOrDefault(from, 0L);
  }

  private void expire() {
    if (cluster.now() < outageUntil) {
      return;
    }
    List<Long> expired = new ArrayList<>();
    leases.forEach(
        (id, lease) -> {
          if (lease[1] <= cluster.now()) {
            expired.add(id);
          }
        });
    expired.forEach(this::endLease);
  }

  private void endLease(long id) {
    leases.remove(id);
    List<String> keys = new ArrayList<>();
    items.forEach(
        (k, i) -> {
          if (i.leaseId() == id) {
            keys.add(k);
          }
        });
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::remove);
      answerWatches();
    }
  }

  private void remove(String key) {
    items.remove(key);
    if (key.startsWith(CLAIMS)) {
      cluster.probe.claimEnded(key.substring(CLAIMS.length()));
    }
    history.add(new Change(key, null, revision));
  }

  void handle(String from, String method, String path, JsonNode request, ResponseCallback respond) {
    expire();
    if (unavailable(from)) {
      respond.done(503, Json.bytes(Json.object().put("error", "outage")));
      return;
    }
    if (method.equals("GET") && cluster.now() < malformedReadsUntil.getOrDefault(from, 0L)) {
      respond.done(200, Json.bytes(Json.object().put("error", "malformed")));
      return;
    }
    for (JsonNode operation : request.path("then")) {
      String key = operation.path("write").asText(operation.path("delete").asText());
      writes.merge(key.split("/")[1], 1, Integer::sum);
    }
    if (request.path("then").size() > 0 && tooLarge(request)) {
      respond.done(400, Json.bytes(Json.object().put("error", "too large")));
      return;
    }
    if (ratesEnforced && exceedsRates(request.path("then").size())) {
      refusals++;
      respond.done(429, Json.bytes(Json.object()));
      return;
    }
    String[] split = path.split("\\?", 2);
    Map<String, String> query = new HashMap<>();
    if (split.length > 1) {
      for (String parameter : split[1].split("&")) {
        int eq = parameter.indexOf('=');
        query.put(parameter.substring(0, eq), parameter.substring(eq + 1));
      }
    }
    String endpoint = split[0];
    if (endpoint.equals("/kv")) {
      list(query, respond);
    } else if (endpoint.equals("/txn")) {
      if (cluster.now() < lateUntil && cluster.random.nextDouble() < lateShare) {
        cluster.after(
            2_000 + cluster.random.nextInt(10_000), () -> txn(request, (status, body) -> {}));
      } else {
        txn(request, respond);
      }
    } else if (endpoint.equals("/watch")) {
      Watch watch =
          new Watch(
              from,
              query.get("under"),
              Long.parseLong(query.get("after")),
              cluster.now() + Long.parseLong(query.getOrDefault("waitMs", "0")),
              respond);
      if (!answer(watch, false)) {
        watches.add(watch);
        cluster.after(watch.deadline() - cluster.now(), this::answerWatches);
      }
    } else if (endpoint.equals("/holds")) {
      long id = ++nextLeaseId;
      long ttl = request.path("ttlMs").asLong();
      leases.put(id, new long[] {ttl, cluster.now() + ttl});
      cluster.after(ttl + 50, this::expire);
      respond.done(200, Json.bytes(Json.object().put("hold", id)));
    } else if (endpoint.startsWith("/holds/")) {
      long id = Long.parseLong(endpoint.split("/")[2]);
      if (!leases.containsKey(id)) {
        respond.done(404, Json.bytes(Json.object()));
      } else if (method.equals("DELETE")) {
        endLease(id);
        respond.done(200, Json.bytes(Json.object()));
      } else {
        long[] lease = leases.get(id);
        lease[1] = cluster.now() + lease[0];
        cluster.after(lease[0] + 50, this::expire);
        respond.done(200, Json.bytes(Json.object().put("hold", id)));
      }
    } else {
      respond.done(400, Json.bytes(Json.object()));
    }
  }

  /**
   * Whether a transaction is over the protocol's limits on changes, conditions, its bytes or the
   * bytes of a value.
   */
  private boolean tooLarge(JsonNode request) {
    int ops = cluster.stateTxnOps;
    String violation = null;
    if (request.path("then").size() > ops || request.path("when").size() > 4 * ops) {
      violation =
          request.path("then").size()
              + " changes and "
              + request.path("when").size()
              + " conditions: "
              + request.path("then").findValuesAsText("write")
              + request.path("then").findValuesAsText("delete");
    }
    int requestSize = Json.bytes(request).length;
    if (requestSize > 64 * 1024) {
      violation = requestSize + " bytes";
    }
    for (JsonNode operation : request.path("then")) {
      int size = operation.has("value") ? Json.bytes(operation.path("value")).length : 0;
      if (size > cluster.stateValueKb * 1024) {
        violation = size + " bytes of " + operation.path("write").asText();
      }
    }
    firstLimitViolation = firstLimitViolation == null ? violation : firstLimitViolation;
    return violation != null;
  }

  /** The largest number of pages of any partition's record. */
  int maxPages() {
    return items.entrySet().stream()
        .filter(e -> e.getKey().startsWith("b/run/"))
        .mapToInt(e -> e.getValue().value().path("pages").asInt(1))
        .max()
        .orElse(0);
  }

  private void list(Map<String, String> query, ResponseCallback respond) {
    ObjectNode out = Json.object().put("ledgerRev", revision);
    ArrayNode entries = out.putArray("entries");
    int page = Integer.parseInt(query.getOrDefault("page", "1000"));
    boolean more = false;
    for (Map.Entry<String, Item> entry :
        items.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
      if (!entry.getKey().startsWith(query.get("under"))) {
        continue;
      }
      if (entries.size() == page) {
        more = true;
        break;
      }
      ObjectNode listed =
          entries.addObject().put("key", entry.getKey()).put("stamp", entry.getValue().revision());
      listed.set("value", entry.getValue().value());
    }
    respond.done(200, Json.bytes(out.put("more", more)));
  }

  private void txn(JsonNode request, ResponseCallback respond) {
    ObjectNode fail = Json.object();
    ArrayNode failed = fail.putArray("failed");
    for (JsonNode operation : request.path("then")) {
      long leaseId = operation.path("hold").asLong();
      if (leaseId != 0 && !leases.containsKey(leaseId)) {
        respond.done(400, Json.bytes(Json.object().put("error", "no such lease")));
        return;
      }
    }
    for (JsonNode condition : request.path("when")) {
      Item item = items.get(condition.path("key").asText());
      if ((item == null ? 0 : item.revision()) != condition.path("stamp").asLong()) {
        failed.add(condition.path("key"));
      }
    }
    if (!failed.isEmpty()) {
      respond.done(409, Json.bytes(fail.put("ledgerRev", revision)));
      return;
    }
    revision++;
    for (JsonNode operation : request.path("then")) {
      if (operation.has("write")) {
        String key = operation.path("write").asText();
        items.put(
            key, new Item(operation.path("value"), revision, operation.path("hold").asLong()));
        if (key.startsWith(CLAIMS)) {
          cluster.probe.claimed(key.substring(CLAIMS.length()), operation.path("value"), revision);
        }
        history.add(new Change(key, operation.path("value"), revision));
      } else if (items.containsKey(operation.path("delete").asText())) {
        claimsReleased += operation.path("delete").asText().startsWith(CLAIMS) ? 1 : 0;
        remove(operation.path("delete").asText());
      }
    }
    noteGrant(request);
    answerWatches();
    respond.done(200, Json.bytes(Json.object().put("ledgerRev", revision)));
  }

  private void noteGrant(JsonNode request) {
    long epoch = 0;
    for (JsonNode condition : request.path("when")) {
      epoch =
          condition.path("key").asText().equals(LEADER_CLAIM)
              ? condition.path("stamp").asLong()
              : epoch;
    }
    boolean grants = false;
    for (JsonNode operation : request.path("then")) {
      grants |= operation.path("write").asText().startsWith("b/prog/");
    }
    if (grants && epoch > 0) {
      cluster.probe.granted(epoch);
    }
  }

  /** Index in the history of the first change after a revision. */
  private int indexAfter(long afterRevision) {
    int low = 0;
    int high = history.size();
    while (low < high) {
      int mid = (low + high) / 2;
      if (history.get(mid).revision() > afterRevision) {
        high = mid;
      } else {
        low = mid + 1;
      }
    }
    return low;
  }

  private void answerWatches() {
    watches.removeIf(w -> answer(w, true));
  }

  private boolean answer(Watch watch, boolean open) {
    if (open && unavailable(watch.from())) {
      return false; // watches stay open during an outage
    }
    int from = Math.max(0, history.size() - keepHistory);
    if (from > 0 && watch.afterRevision() < history.get(from).revision() - 1) {
      watch.respond().done(410, Json.bytes(Json.object()));
      return true;
    }
    ObjectNode out = Json.object().put("ledgerRev", revision);
    ArrayNode events = out.putArray("events");
    for (Change change : history.subList(indexAfter(watch.afterRevision()), history.size())) {
      if (change.key().startsWith(watch.prefix())) {
        ObjectNode event = events.addObject().put("stamp", change.revision());
        if (change.value() == null) {
          event.put("delete", change.key());
        } else {
          event.put("write", change.key()).set("value", change.value());
        }
      }
    }
    if (events.isEmpty() && cluster.now() < watch.deadline()) {
      return false;
    }
    if (events.size() > maxAnswerChanges) {
      return true;
    }
    watch.respond().done(200, Json.bytes(out));
    return true;
  }
}
