package org.baygw.control.membership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.model.Partition;
import org.baygw.control.store.Keys;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which controllers live, and who holds which part and the leader. A claim's stamp fences every
 * durable change made under it; the hold behind it only decides when others may try to take over.
 */
public final class Membership {
  private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

  private final Clock clock;
  private final Settings settings;
  private final Store store;
  private final StateCache view;
  private List<Partition> partitions = List.of();
  private final Map<String, Long> firstSeen = new HashMap<>();
  private final Map<Set<String>, Map<Partition, String>> ownersOf = new HashMap<>();

  /** Claims that are known to be over though the copy still has them, by their stamps. */
  private final Map<String, Long> overtaken = new HashMap<>();

  /** A hold taken but not used yet, and when. */
  private long prepared;

  private long preparedAt;
  private long joinedAt;
  private long hold;
  private boolean busy;
  private long nextTouch;
  private long nextClaim;
  private boolean claiming;
  private boolean telling;
  private long ended;

  public Membership(Clock clock, Settings settings, Store store, StateCache view) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.view = view;
  }

  /** All partitions; none until it is durable how many there are. */
  public List<Partition> partitions() {
    int zones = settings.zones().size();
    if (partitions.size() != view.partitionsPerZone() * zones) {
      partitions = Partition.all(settings.zones(), view.partitionsPerZone());
    }
    return partitions;
  }

  /**
   * The claim's stamp if this process holds it, else 0. A claim counts only once the view has
   * reached it: before that, the last writes of its former holder could be missing from the view.
   */
  public long owned(String claim) {
    StateCache.Entry<StateCache.Claim> c = view.claims.get(claim);
    return c != null
            && hold != 0
            && c.value().hold() == hold
            && view.revision() >= c.stamp()
            && c.stamp() > overtaken.getOrDefault(claim, 0L)
        ? c.stamp()
        : 0;
  }

  /**
   * A worker of the partition has shown a newer claim's token: whatever this controller's copy
   * says, which the state service may refuse to renew, its own claim is over.
   */
  public void overtaken(Partition p, long stamp) {
    if (overtaken.merge(p.toString(), stamp, Math::max) == stamp) {
      LOG.info("{} has passed to another controller", p);
    }
  }

  public long owned(Partition p) {
    return owned(p.toString());
  }

  public long leadership() {
    return owned(Keys.LEADER);
  }

  /** The label of the controller that holds the partition, or null. */
  public String owner(Partition p) {
    StateCache.Entry<StateCache.Claim> c = view.claims.get(p.toString());
    boolean over = c == null || c.stamp() <= overtaken.getOrDefault(p.toString(), 0L);
    return over ? null : c.value().owner();
  }

  public void tick() {
    if (!store.loaded()) {
      if (hold == 0 && prepared == 0 && !busy && clock.now() >= nextTouch) {
        prepare(); // while the keys are being read
      }
      return;
    }
    long now = clock.now();
    firstSeen.keySet().retainAll(view.members.keySet());
    view.members.keySet().forEach(m -> firstSeen.putIfAbsent(m, now));
    if (hold == 0) {
      if (!busy && now >= nextTouch) {
        join();
      }
      return;
    }
    if (!busy && now >= nextTouch) {
      touch();
    }
    store.share(leadership() != 0);
    if (!claiming && now >= nextClaim && view.members.containsKey(settings.label())) {
      if (view.partitionsPerZone() == 0) {
        layOut();
      } else {
        claims();
      }
    }
  }

  /**
   * Makes the number of partitions durable, once and for all: two controllers that counted
   * differently would look for a machine's tasks in different records.
   */
  private void layOut() {
    claiming = true;
    store.txn(
        Store.Urgency.HOLD,
        new Txn()
            .when(Keys.LAYOUT, 0)
            .put(Keys.LAYOUT, Json.object().put("partitions_per_zone", initialPartsPerZone())),
        Constants.STATE_TIMEOUT_MS,
        outcome -> {
          claiming = false;
          nextClaim = clock.now() + Constants.CLAIM_LOOK_MS;
        });
  }

  private void join() {
    busy = true;
    StateCache.Entry<StateCache.Member> before = view.members.get(settings.label());
    if (before != null && before.value().hold() != ended) {
      // The hold of this controller's former process, which has ended: its claims come free at
      // once.
      long old = before.value().hold();
      store.request(
          Store.Urgency.HOLD,
          "DELETE",
          "/holds/" + old,
          null,
          0,
          Constants.STATE_TIMEOUT_MS,
          Constants.STATE_TIMEOUT_MS,
          (status, body) -> {
            busy = false;
            if (status == 200 || status == 204 || status == 404) {
              ended = old;
            } else {
              nextTouch = clock.now() + Constants.STATE_RETRY_MS;
            }
          });
      return;
    }
    long got = prepared;
    prepared = 0;
    if (got != 0 && clock.now() - preparedAt < Constants.HOLD_TOUCH_MS) {
      enter(got);
    } else {
      busy = false;
      prepare();
    }
  }

  /** Takes a hold that joining will use; by itself it stands for nothing. */
  private void prepare() {
    busy = true;
    ObjectNode ask = Json.object().put("ttlMs", Constants.HOLD_TTL_MS);
    store.request(
        Store.Urgency.HOLD,
        "POST",
        "/holds",
        Json.bytes(ask),
        0,
        Constants.STATE_TIMEOUT_MS,
        Constants.STATE_TIMEOUT_MS,
        (status, body) -> {
          long got = status == 200 || status == 201 ? Json.parse(body).path("hold").asLong() : 0;
          busy = false;
          if (got == 0) {
            nextTouch = clock.now() + Constants.STATE_RETRY_MS;
          } else {
            prepared = got;
            preparedAt = clock.now();
          }
        });
  }

  private void enter(long got) {
    String key = Keys.member(settings.label());
    store.txn(
        Store.Urgency.HOLD,
        new Txn().put(key, me(got, true), got),
        Constants.STATE_TIMEOUT_MS,
        outcome -> {
          busy = false;
          if (outcome == Store.Outcome.OK) {
            hold = got;
            joinedAt = clock.now();
            nextTouch = clock.now() + Constants.HOLD_TOUCH_MS;
            LOG.info("joined with hold {}", got);
          } else {
            nextTouch = clock.now() + Constants.STATE_RETRY_MS;
          }
        });
  }

  private ObjectNode me(long held, boolean reaches) {
    return Json.object().put("zone", settings.zone()).put("hold", held).put("reaches", reaches);
  }

  /** Whether this controller counts as one that reaches the workers of its zone. */
  public boolean reaches() {
    StateCache.Entry<StateCache.Member> e = view.members.get(settings.label());
    return e == null || e.value().reaches();
  }

  /** Whether another controller of this zone counts as one that does. */
  public boolean othersReach() {
    for (Map.Entry<String, StateCache.Entry<StateCache.Member>> e : view.members.entrySet()) {
      StateCache.Member m = e.getValue().value();
      if (!e.getKey().equals(settings.label()) && m.zone().equals(settings.zone()) && m.reaches()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Makes it known that this controller does not reach its workers, so that others take them, or
   * does.
   */
  public void reaches(boolean can) {
    String key = Keys.member(settings.label());
    StateCache.Entry<StateCache.Member> e = view.members.get(settings.label());
    if (telling || e == null || e.value().hold() != hold || e.value().reaches() == can) {
      return;
    }
    telling = true;
    store.txn(
        Store.Urgency.HOLD,
        new Txn().when(key, e.stamp()).put(key, me(hold, can), hold),
        Constants.STATE_TIMEOUT_MS,
        outcome -> {
          telling = false;
          if (outcome == Store.Outcome.OK) {
            LOG.info("{} its workers", can ? "reaches" : "does not reach");
          }
        });
  }

  private void touch() {
    busy = true;
    long touched = hold;
    store.request(
        Store.Urgency.HOLD,
        "POST",
        "/holds/" + touched + "/touch",
        new byte[0],
        0,
        Constants.STATE_TIMEOUT_MS,
        Constants.STATE_TIMEOUT_MS,
        (status, body) -> {
          busy = false;
          if (status == 404) {
            LOG.warn("hold {} has run out", touched);
            hold = 0;
            ended = touched;
          }
          nextTouch =
              clock.now() + (status == 200 ? Constants.HOLD_TOUCH_MS : Constants.STATE_RETRY_MS);
        });
  }

  private void claims() {
    List<String> wanted = new ArrayList<>();
    Txn take = new Txn();
    Txn give = new Txn();
    Map<Partition, String> now = owners(expected());
    Map<Partition, String> settled = owners(settled());
    for (Partition p : partitions()) {
      String best = now.get(p);
      StateCache.Entry<StateCache.Claim> c = view.claims.get(p.toString());
      if (c == null) {
        if (settings.label().equals(best)) {
          wanted.add(p.toString());
        }
      } else if (owned(p) != 0 && !settings.label().equals(settled.get(p)) && give.writes() == 0) {
        give.when(Keys.claim(p.toString()), c.stamp()).delete(Keys.claim(p.toString()));
      }
    }
    if (!view.claims.containsKey(Keys.LEADER)
        && settings.label().equals(best(Keys.LEADER, "", view.members.keySet()))) {
      wanted.add(0, Keys.LEADER);
    }
    int most = Math.max(1, settings.state().txnOps() / 2);
    for (String w : wanted.subList(0, Math.min(most, wanted.size()))) {
      ObjectNode v = Json.object().put("owner", settings.label()).put("hold", hold);
      take.when(Keys.claim(w), 0).put(Keys.claim(w), v, hold);
    }
    Txn t = take.writes() > 0 ? take : give;
    if (t.writes() == 0) {
      nextClaim = clock.now() + Constants.CLAIM_LOOK_MS;
      return;
    }
    claiming = true;
    store.txn(
        Store.Urgency.HOLD,
        t,
        Constants.STATE_TIMEOUT_MS,
        outcome -> {
          claiming = false;
          nextClaim = clock.now() + (outcome == Store.Outcome.OK ? 0 : Constants.CLAIM_RETRY_MS);
          if (outcome == Store.Outcome.OK) {
            LOG.info("{} {}", t == take ? "took" : "handed over", t.then());
          }
        });
  }

  /**
   * Who counts when partitions are taken. When all controllers come back together the first must
   * not take everything, only to be overrun by all workers and to hand most of it on: for a moment
   * those that are still to come count as well.
   */
  private Set<String> expected() {
    Set<String> out = able(view.members.keySet());
    if (clock.now() - joinedAt < Constants.TOGETHER_MS) {
      settings.peers().forEach(p -> out.add(p.label()));
    }
    return out;
  }

  /** Whether a zone has controllers by the settings and none of them is seen, while others are. */
  public boolean lost(String zone) {
    boolean some = false;
    for (Settings.Peer p : settings.peers()) {
      boolean here = p.zone().equals(zone);
      if (here && view.members.containsKey(p.label())) {
        return false;
      }
      some |= here;
    }
    return some && !settings.zone().equals(zone);
  }

  /** The controller that is to have a partition which nobody holds at the moment, or null. */
  public String heir(Partition p) {
    return owners(able(view.members.keySet())).get(p);
  }

  /**
   * Who is likely to have a machine's part, as far as the settings tell: a hint for workers that
   * come before this controller has read the keys. Null where that is this controller itself.
   */
  public String likelyOwner(String machine, String zone) {
    Set<String> all = new HashSet<>();
    settings.peers().forEach(p -> all.add(p.label()));
    all.add(settings.label());
    int perZone = view.partitionsPerZone() > 0 ? view.partitionsPerZone() : initialPartsPerZone();
    String best = share(all, perZone).get(Partition.of(machine, zone, perZone));
    return settings.label().equals(best) ? null : best;
  }

  private int initialPartsPerZone() {
    int controllers = settings.peers().size() + 1;
    return (int) Math.ceil(controllers * Constants.PARTS_PER_CONTROLLER / settings.zones().size());
  }

  private String zoneOf(String label) {
    StateCache.Entry<StateCache.Member> e = view.members.get(label);
    if (e != null) {
      return e.value().zone();
    }
    if (label.equals(settings.label())) {
      return settings.zone();
    }
    for (Settings.Peer p : settings.peers()) {
      if (p.label().equals(label)) {
        return p.zone();
      }
    }
    return "";
  }

  private Set<String> settled() {
    Set<String> out = new HashSet<>();
    firstSeen.forEach(
        (m, since) -> {
          if (clock.now() - since >= Constants.SETTLE_MS || m.equals(settings.label())) {
            out.add(m);
          }
        });
    return able(out);
  }

  /** Those of them that reach their workers; all of them if none does. */
  private Set<String> able(Set<String> among) {
    Set<String> out = new HashSet<>(among);
    out.removeIf(m -> view.members.containsKey(m) && !view.members.get(m).value().reaches());
    return out.isEmpty() ? new HashSet<>(among) : out;
  }

  /**
   * Who is to hold which part: by rendezvous hashing, each controller at most its even share of a
   * zone's partitions. The same answer at every controller that sees the same members.
   */
  private Map<Partition, String> owners(Set<String> among) {
    if (ownersOf.size() > Constants.OWNERS_KEPT) {
      ownersOf.clear();
    }
    Set<String> key = new HashSet<>();
    among.forEach(m -> key.add(m + "|" + zoneOf(m)));
    key.add(String.valueOf(view.partitionsPerZone()));
    return ownersOf.computeIfAbsent(key, k -> share(among, view.partitionsPerZone()));
  }

  private Map<Partition, String> share(Set<String> among, int perZone) {
    Map<Partition, String> out = new HashMap<>();
    Map<String, Integer> has = new HashMap<>();
    for (String zone : settings.zones()) {
      Set<String> near = new HashSet<>(among);
      near.removeIf(m -> !zoneOf(m).equals(zone));
      Set<String> able = near.isEmpty() ? among : near;
      int most = (perZone + able.size() - 1) / Math.max(1, able.size());
      has.clear();
      for (int i = 0; i < perZone; i++) {
        Partition p = new Partition(zone, i);
        Set<String> free = new HashSet<>(able);
        free.removeIf(m -> has.getOrDefault(m, 0) >= most);
        String best = best(p.toString(), zone, free);
        if (best != null) {
          out.put(p, best);
          has.merge(best, 1, Integer::sum);
        }
      }
    }
    return out;
  }

  private String best(String claim, String zone, Set<String> among) {
    String best = null;
    boolean bestNear = false;
    int bestScore = 0;
    for (String m : among) {
      boolean near = zoneOf(m).equals(zone);
      int score =
          Hashing.murmur3_32_fixed().hashString(claim + "|" + m, StandardCharsets.UTF_8).asInt();
      boolean better =
          best == null
              || (near != bestNear
                  ? near
                  : score != bestScore ? score > bestScore : m.compareTo(best) < 0);
      if (better) {
        best = m;
        bestNear = near;
        bestScore = score;
      }
    }
    return best;
  }
}
