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
 * The live controllers, the owner of each partition and the leader. A claim's stamp fences every
 * durable change made under it; the membership lease behind the claim only decides when other
 * controllers may try to take over.
 */
public final class Membership {
  private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

  private final Clock clock;
  private final Settings settings;
  private final Store store;
  private final StateCache cache;
  private final MembershipLease lease;
  private final PartitionAssignment assignment;
  private List<Partition> partitions = List.of();

  /** The live controllers that may own partitions, as of the last tick. */
  private Set<String> eligibleMembers = Set.of();

  /** Monotonic time at which {@link #eligibleMembers} last changed. */
  private long membersChangedAt;

  /** Stamps of claims that are known to have ended although the state cache still has them. */
  private final Map<String, Long> supersededClaims = new HashMap<>();

  /** Whether the leader's successor is preferably chosen from another zone than the leader's. */
  private final boolean prefersOtherZone;

  /** The zone of the latest leader that this controller has seen; empty before the first one. */
  private String leaderZone = "";

  /** Monotonic time since which the state cache has had no leader; 0 while it has one. */
  private long leaderlessSince;

  private long nextClaimAt;
  private boolean claimWriteInFlight;

  /**
   * Creates the membership of this controller.
   *
   * @param prefersOtherZone whether the leader's successor is preferably chosen from another zone
   */
  public Membership(
      Clock clock, Settings settings, Store store, StateCache cache, boolean prefersOtherZone) {
    this.prefersOtherZone = prefersOtherZone;
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.cache = cache;
    this.lease = new MembershipLease(clock, settings, store, cache);
    this.assignment = new PartitionAssignment(settings, cache);
  }

  /** All partitions; empty until the number of partitions per zone has been stored. */
  public List<Partition> partitions() {
    int zones = settings.zones().size();
    if (partitions.size() != cache.partitionsPerZone() * zones) {
      partitions = Partition.all(settings.zones(), cache.partitionsPerZone());
    }
    return partitions;
  }

  /**
   * The stamp of the role's claim if this process holds it, else 0. A claim counts only once the
   * state cache has reached its revision: until then the last writes of the former holder may be
   * missing from the cache. Nor does it count while the partition's record cannot be decoded.
   */
  public long heldClaimStamp(String role) {
    StateCache.Entry<StateCache.Claim> claim = cache.claims.get(role);
    return claim != null
            && lease.currentLeaseId() != 0
            && claim.value().leaseId() == lease.currentLeaseId()
            && cache.revision() >= claim.stamp()
            && claim.stamp() > supersededClaims.getOrDefault(role, 0L)
            && !cache.hasUndecodableRecord(role)
        ? claim.stamp()
        : 0;
  }

  /**
   * Records that a worker of the partition presented a token of a newer claim. This controller's
   * own claim has then ended, whatever its state cache says: the cache may be out of date because
   * the state service refuses this controller.
   *
   * @param stamp the stamp of this controller's claim
   */
  public void claimSuperseded(Partition partition, long stamp) {
    if (supersededClaims.merge(partition.toString(), stamp, Math::max) == stamp) {
      LOG.info("partition {} was taken over by another controller", partition);
    }
  }

  public long heldClaimStamp(Partition partition) {
    return heldClaimStamp(partition.toString());
  }

  public long leaderClaimStamp() {
    return heldClaimStamp(Keys.LEADER);
  }

  /** The claim of a role in the state cache, or null. */
  public StateCache.Entry<StateCache.Claim> claim(String role) {
    return cache.claims.get(role);
  }

  /** The names of all roles: the leader and each partition. */
  public List<String> roles() {
    List<String> roles = new ArrayList<>(partitions().size() + 1);
    roles.add(Keys.LEADER);
    partitions().forEach(partition -> roles.add(partition.toString()));
    return roles;
  }

  /** Whether this controller holds any role. */
  public boolean holdsAnyRole() {
    return roles().stream().anyMatch(role -> heldClaimStamp(role) != 0);
  }

  /**
   * The monotonic time until which this controller's membership lease is guaranteed to be valid.
   */
  public long leaseValidUntil() {
    return lease.validUntil();
  }

  /**
   * The controller that would claim the role if its current holder left, by the rules by which
   * claims are taken; null if there is no other controller.
   */
  public String successor(String role) {
    StateCache.Entry<StateCache.Claim> claim = cache.claims.get(role);
    Set<String> others = new HashSet<>(cache.members.keySet());
    if (claim != null) {
      others.remove(claim.value().owner());
    }
    if (others.isEmpty()) {
      return null;
    }
    return role.equals(Keys.LEADER)
        ? chooseLeader(others)
        : assignment.ownersAmong(eligible(others)).get(Partition.parse(role));
  }

  private String chooseLeader(Set<String> controllers) {
    Set<String> staying = staying(controllers);
    Set<String> elsewhere = new HashSet<>(staying);
    elsewhere.removeIf(label -> assignment.zoneOf(label).equals(leaderZone));
    // Controllers that saw the former leader may choose a candidate that did not see it and waits
    // for a different one. After LEADERLESS_MS all of them therefore ignore the leader's zone.
    boolean mayDisagree =
        leaderlessSince != 0 && clock.now() - leaderlessSince > Constants.LEADERLESS_MS;
    boolean avoidLeaderZone =
        prefersOtherZone && !mayDisagree && !leaderZone.isEmpty() && !elsewhere.isEmpty();
    return assignment.best(Keys.LEADER, "", avoidLeaderZone ? elsewhere : staying);
  }

  /** Whether this controller's member key marks it as leaving. */
  public boolean leaving() {
    StateCache.Entry<StateCache.Member> self = cache.members.get(settings.label());
    return self != null && self.value().leaving();
  }

  /** Stores in this controller's member key whether it is leaving. */
  public void setLeaving(boolean leaving) {
    lease.setLeaving(leaving);
  }

  /** Whether another live controller is not leaving. */
  public boolean othersStay() {
    return cache.members.entrySet().stream()
        .anyMatch(
            entry ->
                !entry.getKey().equals(settings.label()) && !entry.getValue().value().leaving());
  }

  /**
   * Deletes this controller's claims, as many as fit into one conditional write, and reports the
   * outcome once it is certain.
   *
   * @return false if another write of claims is in flight
   */
  public boolean release(Consumer<Boolean> onOutcome) {
    if (claimWriteInFlight) {
      return false;
    }
    Txn txn = new Txn();
    for (String role : roles()) {
      long stamp = heldClaimStamp(role);
      if (stamp != 0 && txn.writeCount() < settings.state().txnOps()) {
        txn.when(Keys.claim(role), stamp).delete(Keys.claim(role));
      }
    }
    if (txn.writeCount() == 0) {
      onOutcome.accept(true);
      return true;
    }
    claimWriteInFlight = true;
    store.txnWithRetry(
        Store.Urgency.LEASE,
        txn,
        Constants.STATE_TIMEOUT_MS,
        ok -> {
          claimWriteInFlight = false;
          LOG.info("{} {}", ok ? "released" : "could not release", txn.keys());
          onOutcome.accept(ok);
        });
    return true;
  }

  /** Ends this controller's membership permanently; to be called again until {@link #hasLeft()}. */
  public void end() {
    lease.leave();
  }

  /** Whether this controller's membership has ended permanently. */
  public boolean hasLeft() {
    return lease.hasLeft();
  }

  /** The label of the controller that owns the partition, or null. */
  public String owner(Partition partition) {
    StateCache.Entry<StateCache.Claim> claim = cache.claims.get(partition.toString());
    boolean ended =
        claim == null || claim.stamp() <= supersededClaims.getOrDefault(partition.toString(), 0L);
    return ended ? null : claim.value().owner();
  }

  private void noteMembers(long now) {
    Set<String> members = eligible(cache.members.keySet());
    if (!members.equals(eligibleMembers)) {
      eligibleMembers = members;
      membersChangedAt = now;
    }
  }

  /** Handles the passing of time and changes of the state cache. */
  public void tick() {
    long now = clock.now();
    noteMembers(now);
    StateCache.Entry<StateCache.Claim> leader = cache.claims.get(Keys.LEADER);
    leaderZone = leader == null ? leaderZone : assignment.zoneOf(leader.value().owner());
    leaderlessSince = leader != null ? 0 : leaderlessSince == 0 ? now : leaderlessSince;
    boolean joined = lease.currentLeaseId() != 0;
    lease.tick();
    if (!store.loaded() || !joined) {
      return;
    }
    store.updateShare(leaderClaimStamp() != 0);
    if (!claimWriteInFlight && now >= nextClaimAt && cache.members.containsKey(settings.label())) {
      if (cache.partitionsPerZone() == 0) {
        storeLayout();
      } else {
        updateClaims();
      }
    }
  }

  /**
   * Stores the number of partitions per zone, which never changes afterwards: two controllers with
   * different numbers would look for a machine's tasks in different records.
   */
  private void storeLayout() {
    claimWriteInFlight = true;
    int perZone = assignment.initialPerZone();
    store.txn(
        Store.Urgency.LEASE,
        new Txn()
            .when(Keys.LAYOUT, 0)
            .put(Keys.LAYOUT, Json.object().put("partitions_per_zone", perZone)),
        Constants.STATE_TIMEOUT_MS,
        outcome -> {
          claimWriteInFlight = false;
          nextClaimAt = clock.now() + Constants.CLAIM_CHECK_MS;
        });
  }

  /** Whether this controller is recorded as reaching the workers of its zone. */
  public boolean workersReachable() {
    StateCache.Entry<StateCache.Member> self = cache.members.get(settings.label());
    return self == null || self.value().reachesWorkers();
  }

  /** Whether another controller of this zone is recorded as reaching the zone's workers. */
  public boolean otherControllersReachWorkers() {
    for (Map.Entry<String, StateCache.Entry<StateCache.Member>> entry : cache.members.entrySet()) {
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
   * Stores in this controller's member key whether it reaches the workers of its zone. If it does
   * not, others take over its partitions.
   */
  public void workersReachable(boolean reachable) {
    lease.setWorkersReachable(reachable);
  }

  /** Claims free roles that are assigned to this controller, or else hands over one partition. */
  private void updateClaims() {
    Txn claimTxn = claimTxn();
    Txn txn = claimTxn.writeCount() > 0 || leaving() ? claimTxn : handoverTxn();
    if (txn.writeCount() == 0) {
      nextClaimAt = clock.now() + Constants.CLAIM_CHECK_MS;
      return;
    }
    claimWriteInFlight = true;
    store.txn(
        Store.Urgency.LEASE,
        txn,
        Constants.STATE_TIMEOUT_MS,
        outcome -> {
          claimWriteInFlight = false;
          nextClaimAt = clock.now() + (outcome == Store.Outcome.OK ? 0 : Constants.CLAIM_RETRY_MS);
          if (outcome == Store.Outcome.OK && txn == claimTxn) {
            LOG.info("took {} as claim {}", txn.keys(), cache.stamp(txn.keys().iterator().next()));
          } else if (outcome == Store.Outcome.OK) {
            LOG.info("handed over {}", txn.keys());
          }
        });
  }

  private Txn claimTxn() {
    List<String> wanted = new ArrayList<>();
    if (!cache.claims.containsKey(Keys.LEADER)
        && settings.label().equals(chooseLeader(cache.members.keySet()))) {
      wanted.add(Keys.LEADER);
    }
    Map<Partition, String> owners = assignment.ownersAmong(expectedMembers());
    for (Partition partition : partitions()) {
      if (!cache.claims.containsKey(partition.toString())
          && settings.label().equals(owners.get(partition))) {
        wanted.add(partition.toString());
      }
    }
    Txn txn = new Txn();
    int maxRoles = Math.max(1, settings.state().txnOps() / 2);
    for (String role : wanted.subList(0, Math.min(maxRoles, wanted.size()))) {
      ObjectNode claim =
          Json.object().put("owner", settings.label()).put("hold", lease.currentLeaseId());
      txn.when(Keys.claim(role), 0).put(Keys.claim(role), claim, lease.currentLeaseId());
    }
    return txn;
  }

  /**
   * Deletes the claim of a partition that another controller is to own; empty if there is none. The
   * new owner is chosen from the controllers from which a free claim's owner is chosen, or nobody
   * else would take the claim. While they change, as when one restarts, every partition stays where
   * it is, unless this controller may own none.
   */
  private Txn handoverTxn() {
    boolean changing = clock.now() - membersChangedAt < Constants.MEMBER_STABLE_MS;
    if (changing && eligibleMembers.contains(settings.label())) {
      return new Txn();
    }
    Map<Partition, String> owners = assignment.ownersAmong(eligibleMembers);
    for (Partition partition : partitions()) {
      long stamp = heldClaimStamp(partition);
      if (stamp != 0 && !settings.label().equals(owners.get(partition))) {
        String key = Keys.claim(partition.toString());
        return new Txn().when(key, stamp).delete(key);
      }
    }
    return new Txn();
  }

  /**
   * The controllers among which partitions are divided when they are claimed. For a short time
   * after joining, controllers that have not joined yet are included. Otherwise, when all
   * controllers restart together, the first one would claim every partition, be overloaded by all
   * workers, and hand most partitions over again.
   */
  private Set<String> expectedMembers() {
    Set<String> members = eligible(cache.members.keySet());
    if (clock.now() - lease.joinedAt() < Constants.JOIN_GRACE_MS) {
      settings.peers().forEach(peer -> members.add(peer.label()));
    }
    return members;
  }

  /** Whether another zone has controllers in the settings, but none of them is a live member. */
  public boolean lostAllControllers(String zone) {
    boolean configured = false;
    for (Settings.Peer peer : settings.peers()) {
      boolean inZone = peer.zone().equals(zone);
      if (inZone && cache.members.containsKey(peer.label())) {
        return false;
      }
      configured |= inZone;
    }
    return configured && !settings.zone().equals(zone);
  }

  /** The controller to which a partition without an owner is assigned, or null. */
  public String assignedOwner(Partition partition) {
    return assignment.ownersAmong(eligible(cache.members.keySet())).get(partition);
  }

  /**
   * The likely owner of a machine's partition according to the settings: a hint for workers that
   * report before this controller has read the state. Null if it is this controller.
   */
  public String likelyOwner(String machine, String zone) {
    return assignment.likelyOwner(machine, zone);
  }

  /**
   * The given controllers that are not leaving and reach their workers; if none reaches its
   * workers, all that are not leaving.
   */
  private Set<String> eligible(Set<String> controllers) {
    Set<String> staying = staying(controllers);
    Set<String> eligible = new HashSet<>(staying);
    eligible.removeIf(
        label ->
            cache.members.containsKey(label) && !cache.members.get(label).value().reachesWorkers());
    return eligible.isEmpty() ? staying : eligible;
  }

  /** The given controllers that are not leaving; all of them if all are leaving. */
  private Set<String> staying(Set<String> controllers) {
    Set<String> staying = new HashSet<>(controllers);
    staying.removeIf(
        label -> cache.members.containsKey(label) && cache.members.get(label).value().leaving());
    return staying.isEmpty() ? new HashSet<>(controllers) : staying;
  }
}
