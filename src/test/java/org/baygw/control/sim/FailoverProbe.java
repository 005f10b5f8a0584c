package org.baygw.control.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.baygw.control.Constants;

/**
 * Notes when claims end and are taken, and when the orders of a new epoch first take effect. An
 * order of the leader is a durable grant; one of a partition's owner is any message with its token
 * that a worker accepts.
 */
final class FailoverProbe {
  static final String LEADER = "leader";

  /** Times of one role's latest change of owner, in ms; -1 where something has not come yet. */
  static final class Failover {
    final String formerOwner;
    final long freedAt;

    /** Workers of the partition when its claim ended; the leader's role has none. */
    final int workers;

    long claimedAt = -1;
    long firstOrderAt = -1;
    long firstLaunchAt = -1;

    Failover(String formerOwner, long freedAt, int workers) {
      this.formerOwner = formerOwner;
      this.workers = workers;
      this.freedAt = freedAt;
    }
  }

  private final SimulatedCluster world;
  private final Map<String, String> owners = new HashMap<>();
  private final Map<Long, String> claimants = new HashMap<>();
  private final Map<Long, Set<String>> rolesOfEpoch = new HashMap<>();
  final Map<String, Failover> latest = new TreeMap<>();
  private final Map<String, List<Failover>> all = new TreeMap<>();

  FailoverProbe(SimulatedCluster world) {
    this.world = world;
  }

  void claimed(String role, JsonNode claim, long stamp) {
    owners.put(role, claim.path("owner").asText());
    claimants.put(stamp, claim.path("owner").asText());
    rolesOfEpoch.computeIfAbsent(stamp, k -> new HashSet<>()).add(role);
    Failover failover = latest.get(role);
    if (failover != null && failover.claimedAt < 0) {
      failover.claimedAt = world.now();
    }
  }

  void freed(String role) {
    int workers = 0;
    for (WorkerStub worker : world.workers.values()) {
      workers += world.partitionOf(worker).equals(role) ? 1 : 0;
    }
    Failover failover = new Failover(owners.remove(role), world.now(), workers);
    latest.put(role, failover);
    all.computeIfAbsent(role, k -> new ArrayList<>()).add(failover);
  }

  /** The leader under this epoch made a grant durable. */
  void granted(long epoch) {
    Failover failover = latest.get(LEADER);
    if (failover != null
        && failover.firstOrderAt < 0
        && rolesOfEpoch.getOrDefault(epoch, Set.of()).contains(LEADER)) {
      failover.firstOrderAt = world.now();
    }
  }

  /** A worker of the partition accepted a message with this token. */
  void accepted(String partition, long token, boolean launches) {
    Failover failover = latest.get(partition);
    long epoch = token >> Constants.TOKEN_BITS;
    if (failover == null
        || failover.claimedAt < 0
        || !rolesOfEpoch.getOrDefault(epoch, Set.of()).contains(partition)) {
      return;
    }
    if (failover.firstOrderAt < 0) {
      failover.firstOrderAt = world.now();
    }
    if (launches && failover.firstLaunchAt < 0) {
      failover.firstLaunchAt = world.now();
    }
  }

  /** Who made the claims of an epoch; null where there were none. */
  String claimant(long epoch) {
    return claimants.get(epoch);
  }

  /** Each role's first change of owner since then. */
  Map<String, Failover> firstSince(long since) {
    Map<String, Failover> found = new TreeMap<>();
    all.forEach(
        (role, failovers) ->
            failovers.stream()
                .filter(failover -> failover.freedAt >= since)
                .findFirst()
                .ifPresent(failover -> found.put(role, failover)));
    return found;
  }

  /** When a claim of the controller last ended. */
  long lastFreedOf(String label) {
    return all.values().stream()
        .flatMap(List::stream)
        .filter(failover -> label.equals(failover.formerOwner))
        .mapToLong(failover -> failover.freedAt)
        .max()
        .orElse(Long.MIN_VALUE / 2);
  }

  /** Who holds a role, as the state service has it; null where nobody does. */
  String owner(String role) {
    return owners.get(role);
  }
}
