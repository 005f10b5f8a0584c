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
 * Records when claims end and are taken, and when orders of a new epoch first take effect. An order
 * of the leader takes effect as a durable grant, an order of a partition's owner as a message with
 * its token that a worker accepts.
 */
final class FailoverProbe {
  static final String LEADER = "leader";

  /** Times of one change of a role's owner, in ms; -1 for steps that have not happened yet. */
  static final class Failover {
    final String formerOwner;
    final long claimEndedAt;

    /** Workers of the partition when its claim ended; the leader's role has none. */
    final int workers;

    long claimedAt = -1;
    long firstOrderAt = -1;
    long firstLaunchAt = -1;

    Failover(String formerOwner, long claimEndedAt, int workers) {
      this.formerOwner = formerOwner;
      this.workers = workers;
      this.claimEndedAt = claimEndedAt;
    }
  }

  private final SimulatedCluster cluster;
  private final Map<String, String> ownersByRole = new HashMap<>();
  private final Map<Long, String> claimantsByEpoch = new HashMap<>();
  private final Map<Long, Set<String>> rolesByEpoch = new HashMap<>();
  final Map<String, Failover> latest = new TreeMap<>();
  private final Map<String, List<Failover>> failoversByRole = new TreeMap<>();

  FailoverProbe(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void claimed(String role, JsonNode claim, long epoch) {
    ownersByRole.put(role, claim.path("owner").asText());
    claimantsByEpoch.put(epoch, claim.path("owner").asText());
    rolesByEpoch.computeIfAbsent(epoch, k -> new HashSet<>()).add(role);
    Failover failover = latest.get(role);
    if (failover != null && failover.claimedAt < 0) {
      failover.claimedAt = cluster.now();
    }
  }

  void claimEnded(String role) {
    int workers = 0;
    for (WorkerStub worker : cluster.workers.values()) {
      workers += cluster.partitionOf(worker).equals(role) ? 1 : 0;
    }
    Failover failover = new Failover(ownersByRole.remove(role), cluster.now(), workers);
    latest.put(role, failover);
    failoversByRole.computeIfAbsent(role, k -> new ArrayList<>()).add(failover);
  }

  /** The leader of this epoch made a grant durable. */
  void granted(long epoch) {
    Failover failover = latest.get(LEADER);
    if (failover != null
        && failover.firstOrderAt < 0
        && rolesByEpoch.getOrDefault(epoch, Set.of()).contains(LEADER)) {
      failover.firstOrderAt = cluster.now();
    }
  }

  /** A worker of the partition accepted a message with this token. */
  void accepted(String partition, long token, boolean launches) {
    Failover failover = latest.get(partition);
    long epoch = token >> Constants.TOKEN_BITS;
    if (failover == null
        || failover.claimedAt < 0
        || !rolesByEpoch.getOrDefault(epoch, Set.of()).contains(partition)) {
      return;
    }
    if (failover.firstOrderAt < 0) {
      failover.firstOrderAt = cluster.now();
    }
    if (launches && failover.firstLaunchAt < 0) {
      failover.firstLaunchAt = cluster.now();
    }
  }

  /** The controller that made the claims of an epoch; null if there were none. */
  String claimant(long epoch) {
    return claimantsByEpoch.get(epoch);
  }

  /** Each role's first change of owner since the given time. */
  Map<String, Failover> firstSince(long since) {
    Map<String, Failover> found = new TreeMap<>();
    failoversByRole.forEach(
        (role, failovers) ->
            failovers.stream()
                .filter(failover -> failover.claimEndedAt >= since)
                .findFirst()
                .ifPresent(failover -> found.put(role, failover)));
    return found;
  }

  /** Time at which a claim of the controller last ended; far in the past if none has. */
  long lastClaimEndOf(String label) {
    return failoversByRole.values().stream()
        .flatMap(List::stream)
        .filter(failover -> label.equals(failover.formerOwner))
        .mapToLong(failover -> failover.claimEndedAt)
        .max()
        .orElse(Long.MIN_VALUE / 2);
  }

  /** The owner of a role according to the state service; null if there is none. */
  String owner(String role) {
    return ownersByRole.get(role);
  }
}
