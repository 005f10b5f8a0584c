package org.baygw.control.quota;

import java.util.List;
import org.baygw.control.model.JobSpec;
import org.baygw.control.model.Progress;

/** Where a job's tasks may be, given how many of them are live in each zone. */
final class ZoneRules {
  private final List<String> zones;

  ZoneRules(List<String> zones) {
    this.zones = zones;
  }

  /** No live task in any zone yet. */
  int[] none() {
    return new int[zones.size()];
  }

  /** A zone's place in such a count, or -1 where the zone is unknown. */
  int index(String zone) {
    return zones.indexOf(zone);
  }

  void count(Progress progress, int[] zoneLive) {
    for (Progress.LiveTask live : progress.live.values()) {
      int zone = index(live.partition().zone());
      if (zone >= 0) {
        zoneLive[zone]++;
      }
    }
  }

  /** The only zone in which another task may be, or null. */
  String only(JobSpec spec, int[] zoneLive) {
    if (spec.zone() != null) {
      return spec.zone();
    }
    if (spec.oneZone()) {
      for (int zone = 0; zone < zoneLive.length; zone++) {
        if (zoneLive[zone] > 0) {
          return zones.get(zone);
        }
      }
    }
    return null;
  }

  /** Whether another task may be in the zone, which is not the wrong one. */
  boolean hasShareLeft(JobSpec spec, int zone, int[] zoneLive) {
    return !spec.spread() || zoneLive[zone] < spec.maxTasksPerZone();
  }

  /** Where a machine for the task would have to be, or null; counts the task there. */
  String zoneFor(JobSpec spec, int[] zoneLive) {
    String zone = only(spec, zoneLive);
    if (zone == null && (spec.spread() || spec.oneZone())) {
      zone = zones.get(leastUsed(zoneLive));
    }
    if (zone != null && zones.contains(zone)) {
      zoneLive[index(zone)]++;
    }
    return zone;
  }

  private static int leastUsed(int[] zoneLive) {
    int least = 0;
    for (int zone = 1; zone < zoneLive.length; zone++) {
      if (zoneLive[zone] < zoneLive[least]) {
        least = zone;
      }
    }
    return least;
  }
}
