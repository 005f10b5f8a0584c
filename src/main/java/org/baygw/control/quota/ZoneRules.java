package org.baygw.control.quota;

import java.util.List;
import org.baygw.control.model.JobSpec;
import org.baygw.control.model.Progress;

/** The zones in which a job's tasks may run, given the number of its live tasks in each zone. */
final class ZoneRules {
  private final List<String> zones;

  ZoneRules(List<String> zones) {
    this.zones = zones;
  }

  /** Counts of live tasks per zone, all zero. */
  int[] emptyCounts() {
    return new int[zones.size()];
  }

  /** Index of a zone in the counts of live tasks, or -1 if the zone is unknown. */
  int indexOf(String zone) {
    return zones.indexOf(zone);
  }

  void addLive(Progress progress, int[] liveByZone) {
    for (Progress.LiveTask live : progress.live.values()) {
      int zone = indexOf(live.partition().zone());
      if (zone >= 0) {
        liveByZone[zone]++;
      }
    }
  }

  /** The only zone in which another task may run, or null if there is no such rule. */
  String requiredZone(JobSpec spec, int[] liveByZone) {
    if (spec.zone() != null) {
      return spec.zone();
    }
    if (spec.oneZone()) {
      for (int zone = 0; zone < liveByZone.length; zone++) {
        if (liveByZone[zone] > 0) {
          return zones.get(zone);
        }
      }
    }
    return null;
  }

  /** Whether the job's limit per zone allows another task in the zone; other rules do not count. */
  boolean isBelowZoneLimit(JobSpec spec, int zone, int[] liveByZone) {
    return !spec.spread() || liveByZone[zone] < spec.maxTasksPerZone();
  }

  /** The zone in which a machine for the task must be, or null for any; counts the task there. */
  String assignZone(JobSpec spec, int[] liveByZone) {
    String zone = requiredZone(spec, liveByZone);
    if (zone == null && (spec.spread() || spec.oneZone())) {
      zone = zones.get(leastUsed(liveByZone));
    }
    if (zone != null && zones.contains(zone)) {
      liveByZone[indexOf(zone)]++;
    }
    return zone;
  }

  private static int leastUsed(int[] liveByZone) {
    int least = 0;
    for (int zone = 1; zone < liveByZone.length; zone++) {
      if (liveByZone[zone] < liveByZone[least]) {
        least = zone;
      }
    }
    return least;
  }
}
