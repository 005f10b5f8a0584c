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
 * Who is active and who is standby of each role, as far as this controller sees it. The standby is
 * the controller that the rules of membership make the successor, so there is never another one to
 * agree on.
 */
final class RoleTable {
  private static final Logger LOG = LoggerFactory.getLogger(RoleTable.class);

  /** Periods of silence after which what a former active controller sent is dropped. */
  private static final int KEPT_SUSPECT_PERIODS = 4;

  private final Clock clock;
  private final Settings settings;
  private final Features.Standby features;
  private final Membership membership;
  private final StateCache view;
  private final Replica.Counters counters = new Replica.Counters();
  private final Map<Role, RoleEntry> entries = new TreeMap<>();
  private final Map<Partition, RoleEntry> byPartition = new HashMap<>();
  private long nextLook;

  /** Changes of claims and members when standbys were last chosen. */
  private long ownershipChanges = -1;

  private long takeovers;
  private long differences;

  RoleTable(
      Clock clock,
      Settings settings,
      Features.Standby features,
      Membership membership,
      StateCache view) {
    this.clock = clock;
    this.settings = settings;
    this.features = features;
    this.membership = membership;
    this.view = view;
  }

  Collection<RoleEntry> entries() {
    return entries.values();
  }

  /** The entry of a role; null where there is no such role. */
  RoleEntry entry(Role role) {
    if (entries.isEmpty()) {
      makeEntries();
    }
    return entries.get(role);
  }

  Replica.Counters counters() {
    return counters;
  }

  /** How often this controller has become active for a role. */
  long takeovers() {
    return takeovers;
  }

  /** Differences between replicas and the durable record, found at takeovers. */
  long differences() {
    return differences;
  }

  /** The log of a partition's role, if this controller is active for it, else null. */
  DecisionLog log(Partition partition) {
    if (entries.isEmpty()) {
      makeEntries();
    }
    return log(byPartition.get(partition));
  }

  /** The log of the leader's role, if this controller leads, else null. */
  DecisionLog leaderLog() {
    return log(entry(Role.LEADER));
  }

  private DecisionLog log(RoleEntry entry) {
    if (entry == null) {
      return null;
    }
    long epoch = membership.owned(entry.role.name());
    if (epoch == 0) {
      return null;
    }
    if (!entry.active() || entry.log.epoch() != epoch) {
      look(entry); // the role has just become this controller's
    }
    return entry.log;
  }

  void tick() {
    if (view.partitionsPerZone() == 0 || clock.now() < nextLook) {
      return;
    }
    nextLook = clock.now() + Constants.ROLE_LOOK_MS;
    if (entries.isEmpty()) {
      makeEntries();
    }
    chooseStandbys();
    entries.values().forEach(this::look);
  }

  /** The number of partitions is durable and never changes, so entries are made once. */
  private void makeEntries() {
    if (view.partitionsPerZone() == 0) {
      return;
    }
    entries.put(Role.LEADER, new RoleEntry(Role.LEADER, null, features.suspectMs()));
    for (Partition partition : membership.partitions()) {
      RoleEntry entry = new RoleEntry(Role.of(partition), partition, features.suspectMs());
      entries.put(entry.role, entry);
      byPartition.put(partition, entry);
    }
  }

  /** Only claims and members decide, so without a change of them there is nothing to choose. */
  private void chooseStandbys() {
    if (ownershipChanges != view.ownershipChangeCount()) {
      ownershipChanges = view.ownershipChangeCount();
      for (RoleEntry entry : entries.values()) {
        entry.standby = membership.successor(entry.role.name());
      }
    }
  }

  private void look(RoleEntry entry) {
    String role = entry.role.name();
    StateCache.Entry<StateCache.Claim> claim = membership.claim(role);
    long epoch = membership.owned(role);
    Takeover.Transition change =
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
      follow(entry);
    }
    if (change != null) {
      tell(entry, change);
    }
  }

  private void tell(RoleEntry entry, Takeover.Transition change) {
    String text = "role {}: {} after {}: {}";
    if (change.to() == Takeover.State.FOLLOWING || change.to() == Takeover.State.UNINVOLVED) {
      LOG.debug(text, entry.role, change.to(), change.from(), change.reason());
    } else {
      LOG.info(text, entry.role, change.to(), change.from(), change.reason());
    }
  }

  private long silentMs(RoleEntry entry) {
    return entry.replica == null ? 0 : clock.now() - entry.replica.heardAt();
  }

  private void dropOutdated(RoleEntry entry) {
    boolean successor = settings.label().equals(entry.standby);
    if (!successor && silentMs(entry) > KEPT_SUSPECT_PERIODS * features.suspectMs()) {
      entry.replica = null;
    }
  }

  /** Begins the log of a new epoch with what the replica has, as far as the record has it too. */
  private void activate(RoleEntry entry, long epoch) {
    if (entry.active() && entry.log.epoch() == epoch) {
      return;
    }
    RoleState inherited = entry.replica == null ? RoleState.EMPTY : entry.replica.state();
    Reconciliation.Result result =
        entry.partition == null
            ? Reconciliation.ofLeader(inherited, view)
            : Reconciliation.ofPartition(entry.partition, inherited, view);
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

  /** Sees to it that the log goes to the present standby, and to no other. */
  private void follow(RoleEntry entry) {
    boolean same = entry.stream != null && entry.stream.standby().equals(entry.standby);
    if (entry.standby == null) {
      entry.stream = null;
    } else if (!same || entry.stream.log() != entry.log) {
      entry.stream = new ReplicationStream(entry.log, entry.standby);
    }
    if (entry.stream != null) {
      entry.stream.tick(clock.now());
    }
  }

  /** The replica of a role, made if need be. */
  Replica replica(RoleEntry entry) {
    if (entry.replica == null) {
      entry.replica = new Replica(entry.role, counters, clock.now());
    }
    return entry.replica;
  }
}
