package org.baygw.control.membership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
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
 * Which controllers live, who owns which partition, and who leads. A claim's stamp fences every
 * durable change made under it; the membership lease behind it only decides when others may try to
 * take over.
 */
public final class Membership {
  private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

  private final Clock clock;
  private final Settings settings;
  private final Store store;
  private final StateCache view;
  private final MembershipLease lease;
  private final PartitionAssignment assignment;
  private List<Partition> partitions = List.of();
  private final Map<String, Long> firstSeen = new HashMap<>();

  /** Claims that are known to be over though the copy still has them, by their stamps. */
  private final Map<String, Long> overtaken = new HashMap<>();

  /** Whether the leader's successor is sought in another zone than the leader's. */
  private final boolean spreadsLeader;

  /** The zone of the latest leader that this controller has seen; empty before. */
  private String leaderZone = "";

  /** Since when the copy has had no leader; 0 where it has one. */
  private long leaderlessSince;

  private long nextClaim;
  private boolean claiming;

  /**
   * Makes the membership of this controller.
   *
   * @param spreadsLeader whether the leader's successor is sought in another zone than the leader's
   */
  public Membership(
      Clock clock, Settings settings, Store store, StateCache view, boolean spreadsLeader) {
    this.spreadsLeader = spreadsLeader;
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.view = view;
    this.lease = new MembershipLease(clock, settings, store, view);
    this.assignment = new PartitionAssignment(settings, view);
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
  public long owned(String role) {
    StateCache.Entry<StateCache.Claim> claim = view.claims.get(role);
    return claim != null
            && lease.current() != 0
            && claim.value().leaseId() == lease.current()
            && view.revision() >= claim.stamp()
            && claim.stamp() > overtaken.getOrDefault(role, 0L)
        ? claim.stamp()
        : 0;
  }

  /**
   * A worker of the partition has shown a newer claim's token: whatever this controller's copy
   * says, which the state service may refuse to renew, its own claim is over.
   */
  public void overtaken(Partition partition, long stamp) {
    if (overtaken.merge(partition.toString(), stamp, Math::max) == stamp) {
      LOG.info("{} has passed to another controller", partition);
    }
  }

  public long owned(Partition partition) {
    return owned(partition.toString());
  }

  public long leadership() {
    return owned(Keys.LEADER);
  }

  /** The claim of a role as the copy has it, or null. */
  public StateCache.Entry<StateCache.Claim> claim(String role) {
    return view.claims.get(role);
  }

  /** The names of all roles: the leader's and the partitions'. */
  public List<String> roles() {
    List<String> roles = new ArrayList<>(partitions().size() + 1);
    roles.add(Keys.LEADER);
    partitions().forEach(partition -> roles.add(partition.toString()));
    return roles;
  }

  /** Whether this controller holds any role. */
  public boolean ownsAny() {
    return roles().stream().anyMatch(role -> owned(role) != 0);
  }

  /** The steady time until which this controller's membership lease certainly lives. */
  public long leaseValidUntil() {
    return lease.validUntil();
  }

  /**
   * The controller that takes the role if its present holder goes, by the same rules by which
   * claims are taken; null where there is no other.
   */
  public String successor(String role) {
    StateCache.Entry<StateCache.Claim> claim = view.claims.get(role);
    Set<String> others = new HashSet<>(view.members.keySet());
    if (claim != null) {
      others.remove(claim.value().owner());
    }
    if (others.isEmpty()) {
      return null;
    }
    return role.equals(Keys.LEADER)
        ? leaderAmong(others)
        : assignment.among(able(others)).get(Partition.parse(role));
  }

  private String leaderAmong(Set<String> controllers) {
    Set<String> staying = staying(controllers);
    Set<String> elsewhere = new HashSet<>(staying);
    elsewhere.removeIf(label -> assignment.zoneOf(label).equals(leaderZone));
    // Not every controller has seen the former leader, and those that have would wait for one that
    // has not, which waits for another. So after a moment all choose by what all see.
    boolean mayDisagree =
        leaderlessSince != 0 && clock.now() - leaderlessSince > Constants.LEADERLESS_MS;
    boolean spread = spreadsLeader && !mayDisagree && !leaderZone.isEmpty() && !elsewhere.isEmpty();
    return assignment.best(Keys.LEADER, "", spread ? elsewhere : staying);
  }

  /** Whether the member key says that this controller is leaving. */
  public boolean leaving() {
    StateCache.Entry<StateCache.Member> self = view.members.get(settings.label());
    return self != null && self.value().leaving();
  }

  /** Makes it durable that this controller is leaving, or is not. */
  public void leave(boolean leaves) {
    lease.leaving(leaves);
  }

  /** Whether another controller lives that stays. */
  public boolean othersStay() {
    return view.members.entrySet().stream()
        .anyMatch(
            entry ->
                !entry.getKey().equals(settings.label()) && !entry.getValue().value().leaving());
  }

  /**
   * Deletes this controller's claims in one conditional write, as many as it takes; the outcome is
   * told once it is certain.
   *
   * @return false where another write of claims is under way
   */
  public boolean release(Consumer<Boolean> then) {
    if (claiming) {
      return false;
    }
    Txn release = new Txn();
    for (String role : roles()) {
      long stamp = owned(role);
      if (stamp != 0 && release.writeCount() < settings.state().txnOps()) {
        release.when(Keys.claim(role), stamp).delete(Keys.claim(role));
      }
    }
    if (release.writeCount() == 0) {
      then.accept(true);
      return true;
    }
    claiming = true;
    store.txnWithRetry(
        Store.Urgency.LEASE,
        release,
        Constants.STATE_TIMEOUT_MS,
        ok -> {
          claiming = false;
          LOG.info("{} {}", ok ? "released" : "could not release", release.keys());
          then.accept(ok);
        });
    return true;
  }

  /** Ends this controller's membership for good; to be called again until {@link #left()}. */
  public void end() {
    lease.leave();
  }

  /** Whether this controller's membership is over for good. */
  public boolean left() {
    return lease.left();
  }

  /** The label of the controller that owns the partition, or null. */
  public String owner(Partition partition) {
    StateCache.Entry<StateCache.Claim> claim = view.claims.get(partition.toString());
    boolean over =
        claim == null || claim.stamp() <= overtaken.getOrDefault(partition.toString(), 0L);
    return over ? null : claim.value().owner();
  }

  /** Time has passed, or something has changed. */
  public void tick() {
    long now = clock.now();
    if (store.loaded()) {
      firstSeen.keySet().retainAll(view.members.keySet());
      view.members.keySet().forEach(label -> firstSeen.putIfAbsent(label, now));
    }
    StateCache.Entry<StateCache.Claim> leader = view.claims.get(Keys.LEADER);
    leaderZone = leader == null ? leaderZone : assignment.zoneOf(leader.value().owner());
    leaderlessSince = leader != null ? 0 : leaderlessSince == 0 ? now : leaderlessSince;
    boolean joined = lease.current() != 0;
    lease.tick();
    if (!store.loaded() || !joined) {
      return;
    }
    store.updateShare(leadership() != 0);
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
    int perZone = assignment.initialPerZone();
    store.txn(
        Store.Urgency.LEASE,
        new Txn()
            .when(Keys.LAYOUT, 0)
            .put(Keys.LAYOUT, Json.object().put("partitions_per_zone", perZone)),
        Constants.STATE_TIMEOUT_MS,
        outcome -> {
          claiming = false;
          nextClaim = clock.now() + Constants.CLAIM_LOOK_MS;
        });
  }

  /** Whether this controller counts as one that reaches the workers of its zone. */
  public boolean reaches() {
    StateCache.Entry<StateCache.Member> self = view.members.get(settings.label());
    return self == null || self.value().reachesWorkers();
  }

  /** Whether another controller of this zone counts as one that does. */
  public boolean othersReach() {
    for (Map.Entry<String, StateCache.Entry<StateCache.Member>> entry : view.members.entrySet()) {
      StateCache.Member member = entry.getValue().value();
      if (!entry.getKey().equals(settings.label())
          && member.zone().equals(settings.zone())
          && member.reachesWorkers()) {
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
    lease.reaches(can);
  }

  /** Takes what this controller is to have and nobody holds, or else hands one partition over. */
  private void claims() {
    Txn take = take();
    Txn next = take.writeCount() > 0 || leaving() ? take : give();
    if (next.writeCount() == 0) {
      nextClaim = clock.now() + Constants.CLAIM_LOOK_MS;
      return;
    }
    claiming = true;
    store.txn(
        Store.Urgency.LEASE,
        next,
        Constants.STATE_TIMEOUT_MS,
        outcome -> {
          claiming = false;
          nextClaim = clock.now() + (outcome == Store.Outcome.OK ? 0 : Constants.CLAIM_RETRY_MS);
          if (outcome == Store.Outcome.OK) {
            LOG.info("{} {}", next == take ? "took" : "handed over", next.keys());
          }
        });
  }

  private Txn take() {
    List<String> wanted = new ArrayList<>();
    if (!view.claims.containsKey(Keys.LEADER)
        && settings.label().equals(leaderAmong(view.members.keySet()))) {
      wanted.add(Keys.LEADER);
    }
    Map<Partition, String> owners = assignment.among(expected());
    for (Partition partition : partitions()) {
      if (!view.claims.containsKey(partition.toString())
          && settings.label().equals(owners.get(partition))) {
        wanted.add(partition.toString());
      }
    }
    Txn take = new Txn();
    int most = Math.max(1, settings.state().txnOps() / 2);
    for (String role : wanted.subList(0, Math.min(most, wanted.size()))) {
      ObjectNode claim = Json.object().put("owner", settings.label()).put("hold", lease.current());
      take.when(Keys.claim(role), 0).put(Keys.claim(role), claim, lease.current());
    }
    return take;
  }

  private Txn give() {
    Map<Partition, String> owners = assignment.among(settled());
    for (Partition partition : partitions()) {
      long stamp = owned(partition);
      if (stamp != 0 && !settings.label().equals(owners.get(partition))) {
        String key = Keys.claim(partition.toString());
        return new Txn().when(key, stamp).delete(key);
      }
    }
    return new Txn();
  }

  /**
   * Who counts when partitions are taken. When all controllers come back together the first must
   * not take everything, only to be overrun by all workers and to hand most of it on: for a moment
   * those that are still to come count as well.
   */
  private Set<String> expected() {
    Set<String> out = able(view.members.keySet());
    if (clock.now() - lease.joinedAt() < Constants.TOGETHER_MS) {
      settings.peers().forEach(peer -> out.add(peer.label()));
    }
    return out;
  }

  /** Whether a zone has controllers by the settings and none of them is seen, while others are. */
  public boolean lost(String zone) {
    boolean some = false;
    for (Settings.Peer peer : settings.peers()) {
      boolean here = peer.zone().equals(zone);
      if (here && view.members.containsKey(peer.label())) {
        return false;
      }
      some |= here;
    }
    return some && !settings.zone().equals(zone);
  }

  /** The controller that is to have a partition which nobody holds at the moment, or null. */
  public String heir(Partition partition) {
    return assignment.among(able(view.members.keySet())).get(partition);
  }

  /**
   * Who is likely to have a machine's partition, as far as the settings tell: a hint for workers
   * that come before this controller has read the keys. Null where that is this controller itself.
   */
  public String likelyOwner(String machine, String zone) {
    return assignment.likelyOwner(machine, zone);
  }

  private Set<String> settled() {
    Set<String> out = new HashSet<>();
    firstSeen.forEach(
        (label, since) -> {
          if (clock.now() - since >= Constants.SETTLE_MS || label.equals(settings.label())) {
            out.add(label);
          }
        });
    return able(out);
  }

  /** Those of them that stay and reach their workers; all that stay if none does. */
  private Set<String> able(Set<String> among) {
    Set<String> staying = staying(among);
    Set<String> out = new HashSet<>(staying);
    out.removeIf(
        label ->
            view.members.containsKey(label) && !view.members.get(label).value().reachesWorkers());
    return out.isEmpty() ? staying : out;
  }

  /** Those of them that are not leaving; all of them if all are. */
  private Set<String> staying(Set<String> among) {
    Set<String> out = new HashSet<>(among);
    out.removeIf(
        label -> view.members.containsKey(label) && view.members.get(label).value().leaving());
    return out.isEmpty() ? new HashSet<>(among) : out;
  }
}
