package org.baygw.control.standby;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.baygw.control.Constants;
import org.baygw.control.config.Features;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Partition;
import org.baygw.control.store.StateCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks which controller is active and which is standby for each role, as seen by this controller.
 * The standby is always the successor by the membership rules, so controllers need no separate
 * agreement on it.
 */
final class RoleTable {
  private static final Logger LOG = LoggerFactory.getLogger(RoleTable.class);

  /**
   * Multiple of the suspicion timeout for which the replica of a silent active controller is kept
   * once this controller is no longer the successor.
   */
  private static final int RETENTION_SUSPECT_PERIODS = 4;

  private final Clock clock;
  private final Settings settings;
  private final Features.Standby features;
  private final Membership membership;
  private final StateCache cache;
  private final Replica.Counters counters = new Replica.Counters();
  private final Map<Role, RoleEntry> entries = new TreeMap<>();
  private final Map<Partition, RoleEntry> byPartition = new HashMap<>();
  private long nextUpdate;

  /** The state cache's count of claim and member changes when standbys were last chosen. */
  private long ownershipChanges = -1;

  private long takeovers;
  private long differences;

  RoleTable(
      Clock clock,
      Settings settings,
      Features.Standby features,
      Membership membership,
      StateCache cache) {
    this.clock = clock;
    this.settings = settings;
    this.features = features;
    this.membership = membership;
    this.cache = cache;
  }

  Collection<RoleEntry> entries() {
    return entries.values();
  }

  /** The entry of a role; null if there is no such role. */
  RoleEntry entry(Role role) {
    if (entries.isEmpty()) {
      makeEntries();
    }
    return entries.get(role);
  }

  Replica.Counters counters() {
    return counters;
  }

  /** Number of times that this controller has become active for a role. */
  long takeovers() {
    return takeovers;
  }

  /** Number of differences between replicas and the durable record, found at takeovers. */
  long differences() {
    return differences;
  }

  /** The log of a partition's role if this controller is active for it, else null. */
  DecisionLog log(Partition partition) {
    if (entries.isEmpty()) {
      makeEntries();
    }
    return log(byPartition.get(partition));
  }

  /** The log of the leader role if this controller is the leader, else null. */
  DecisionLog leaderLog() {
    return log(entry(Role.LEADER));
  }

  private DecisionLog log(RoleEntry entry) {
    if (entry == null) {
      return null;
    }
    long epoch = membership.heldClaimStamp(entry.role.name());
    if (epoch == 0) {
      return null;
    }
    if (!entry.active() || entry.log.epoch() != epoch) {
      updateEntry(entry); // this controller has just acquired the role
    }
    return entry.log;
  }

  void tick() {
    if (cache.partitionsPerZone() == 0 || clock.now() < nextUpdate) {
      return;
    }
    nextUpdate = clock.now() + Constants.ROLE_UPDATE_MS;
    if (entries.isEmpty()) {
      makeEntries();
    }
    chooseStandbys();
    entries.values().forEach(this::updateEntry);
  }

  /** Creates the entries once: the number of partitions is durable and never changes. */
  private void makeEntries() {
    if (cache.partitionsPerZone() == 0) {
      return;
    }
    entries.put(Role.LEADER, new RoleEntry(Role.LEADER, null, features.suspectMs()));
    for (Partition partition : membership.partitions()) {
      RoleEntry entry = new RoleEntry(Role.of(partition), partition, features.suspectMs());
      entries.put(entry.role, entry);
      byPartition.put(partition, entry);
    }
  }

  /** Standbys depend only on claims and members, so they are chosen again when those change. */
  private void chooseStandbys() {
    if (ownershipChanges != cache.ownershipChangeCount()) {
      ownershipChanges = cache.ownershipChangeCount();
      for (RoleEntry entry : entries.values()) {
        entry.standby = membership.successor(entry.role.name());
      }
    }
  }

  private void updateEntry(RoleEntry entry) {
    String role = entry.role.name();
    StateCache.Entry<StateCache.Claim> claim = membership.claim(role);
    long epoch = membership.heldClaimStamp(role);
    Takeover.Transition transition =
        entry.takeover.observe(
            new Takeover.Observation(
                epoch,
                claim == null ? 0 : claim.stamp(),
                claim != null && claim.value().owner().equals(settings.label()),
                settings.label().equals(entry.standby),
                silentMs(entry)),
            entry.replica);
    if (epoch == 0) {
      entry.log = null;
      entry.stream = null;
      dropOutdated(entry);
    } else {
      activate(entry, epoch);
      updateStream(entry);
    }
    if (transition != null) {
      logTransition(entry, transition);
    }
  }

  private void logTransition(RoleEntry entry, Takeover.Transition transition) {
    String format = "role {}: {} after {}: {}";
    if (transition.to() == Takeover.State.FOLLOWING
        || transition.to() == Takeover.State.UNINVOLVED) {
      LOG.debug(format, entry.role, transition.to(), transition.from(), transition.reason());
    } else {
      LOG.info(format, entry.role, transition.to(), transition.from(), transition.reason());
    }
  }

  private long silentMs(RoleEntry entry) {
    return entry.replica == null ? 0 : clock.now() - entry.replica.lastHeardAt();
  }

  private void dropOutdated(RoleEntry entry) {
    boolean successor = settings.label().equals(entry.standby);
    if (!successor && silentMs(entry) > RETENTION_SUSPECT_PERIODS * features.suspectMs()) {
      entry.replica = null;
    }
  }

  /**
   * Starts the log of a new epoch from the replica's state, without what the durable record
   * contradicts.
   */
  private void activate(RoleEntry entry, long epoch) {
    if (entry.active() && entry.log.epoch() == epoch) {
      return;
    }
    RoleState inherited = entry.replica == null ? RoleState.EMPTY : entry.replica.state();
    Reconciliation.Result result =
        entry.partition == null
            ? Reconciliation.ofLeader(inherited, cache)
            : Reconciliation.ofPartition(entry.partition, inherited, cache);
    takeovers++;
    differences += entry.replica == null ? 0 : result.differences();
    entry.log =
        new DecisionLog(
            entry.role,
            epoch,
            result.state().withoutExpired(clock.wall()),
            features.keptDecisions());
    entry.stream = null;
    entry.replica = null;
  }

  /** Ensures that the log is streamed to the current standby and to no other controller. */
  private void updateStream(RoleEntry entry) {
    boolean sameStandby = entry.stream != null && entry.stream.standby().equals(entry.standby);
    if (entry.standby == null) {
      entry.stream = null;
    } else if (!sameStandby || entry.stream.log() != entry.log) {
      entry.stream = new ReplicationStream(entry.log, entry.standby);
    }
    if (entry.stream != null) {
      entry.stream.tick(clock.now());
    }
  }

  /** The replica of a role, created if there is none. */
  Replica replica(RoleEntry entry) {
    if (entry.replica == null) {
      entry.replica = new Replica(entry.role, counters, clock.now());
    }
    return entry.replica;
  }
}
