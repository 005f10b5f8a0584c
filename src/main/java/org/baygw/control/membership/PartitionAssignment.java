package org.baygw.control.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.model.Partition;
import org.baygw.control.store.StateCache;

/**
 * Assigns partitions to a set of controllers by rendezvous hashing. Controllers of a partition's
 * zone are preferred, and each gets at most its even share of a zone's partitions. All controllers
 * that see the same members compute the same assignment.
 */
final class PartitionAssignment {
  private final Settings settings;
  private final StateCache stateCache;

  /**
   * Cached assignments, by the controllers with their zones and the number of partitions per zone.
   */
  private final Map<Set<String>, Map<Partition, String>> assignments = new HashMap<>();

  PartitionAssignment(Settings settings, StateCache stateCache) {
    this.settings = settings;
    this.stateCache = stateCache;
  }

  /** The owner of each partition when the partitions are divided among these controllers. */
  Map<Partition, String> ownersAmong(Set<String> controllers) {
    if (assignments.size() > Constants.CACHED_ASSIGNMENTS) {
      assignments.clear();
    }
    Set<String> key = new HashSet<>();
    controllers.forEach(label -> key.add(label + "|" + zoneOf(label)));
    key.add(String.valueOf(stateCache.partitionsPerZone()));
    return assignments.computeIfAbsent(
        key, k -> assign(controllers, stateCache.partitionsPerZone()));
  }

  /**
   * The likely owner of a machine's partition according to the settings, for workers that report
   * before the state has been read. Null if it is this controller.
   */
  String likelyOwner(String machine, String zone) {
    Set<String> all = new HashSet<>();
    settings.peers().forEach(peer -> all.add(peer.label()));
    all.add(settings.label());
    int perZone =
        stateCache.partitionsPerZone() > 0 ? stateCache.partitionsPerZone() : initialPerZone();
    String owner = assign(all, perZone).get(Partition.of(machine, zone, perZone));
    return settings.label().equals(owner) ? null : owner;
  }

  /** The number of partitions per zone in a new deployment. */
  int initialPerZone() {
    int controllers = settings.peers().size() + 1;
    return (int)
        Math.ceil(controllers * Constants.PARTITIONS_PER_CONTROLLER / settings.zones().size());
  }

  /** The zone of a controller from its member key, or else the settings; empty if unknown. */
  String zoneOf(String label) {
    StateCache.Entry<StateCache.Member> member = stateCache.members.get(label);
    if (member != null) {
      return member.value().zone();
    }
    if (label.equals(settings.label())) {
      return settings.zone();
    }
    for (Settings.Peer peer : settings.peers()) {
      if (peer.label().equals(label)) {
        return peer.zone();
      }
    }
    return "";
  }

  private Map<Partition, String> assign(Set<String> controllers, int perZone) {
    Map<Partition, String> owners = new HashMap<>();
    for (String zone : settings.zones()) {
      assignZone(zone, controllers, perZone, owners);
    }
    return owners;
  }

  private void assignZone(
      String zone, Set<String> controllers, int perZone, Map<Partition, String> owners) {
    Set<String> local = new HashSet<>(controllers);
    local.removeIf(label -> !zoneOf(label).equals(zone));
    Set<String> eligible = local.isEmpty() ? controllers : local;
    int maxPerController = (perZone + eligible.size() - 1) / Math.max(1, eligible.size());
    Map<String, Integer> counts = new HashMap<>();
    for (int index = 0; index < perZone; index++) {
      Partition partition = new Partition(zone, index);
      Set<String> available = new HashSet<>(eligible);
      available.removeIf(label -> counts.getOrDefault(label, 0) >= maxPerController);
      String best = best(partition.toString(), zone, available);
      if (best != null) {
        owners.put(partition, best);
        counts.merge(best, 1, Integer::sum);
      }
    }
  }

  /**
   * The controller with the highest score for a role, preferring those of the zone; null if there
   * are none.
   */
  String best(String role, String zone, Set<String> controllers) {
    String best = null;
    for (String label : controllers) {
      if (best == null || precedes(label, best, role, zone)) {
        best = label;
      }
    }
    return best;
  }

  private boolean precedes(String label, String other, String role, String zone) {
    boolean local = zoneOf(label).equals(zone);
    if (local != zoneOf(other).equals(zone)) {
      return local;
    }
    int score = score(role, label);
    int otherScore = score(role, other);
    return score != otherScore ? score > otherScore : label.compareTo(other) < 0;
  }

  private static int score(String role, String label) {
    return Hashing.murmur3_32_fixed()
        .hashString(role + "|" + label, StandardCharsets.UTF_8)
        .asInt();
  }
}
