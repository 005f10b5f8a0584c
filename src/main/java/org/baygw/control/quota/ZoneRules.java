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

  /** Live tasks per zone, all zero. */
  int[] none() {
    return new int[zones.size()];
  }

  /** Index of a zone in the counts of live tasks, or -1 if the zone is unknown. */
  int index(String zone) {
    return zones.indexOf(zone);
  }

  void count(Progress progress, int[] zoneLive) {
    for (Progress.Live live : progress.live.values()) {
      int zone = index(live.part().zone());
      if (zone >= 0) {
        zoneLive[zone]++;
      }
    }
  }

  /** The only zone in which another task may run, or null if there is no such rule. */
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

  /** Whether the job's limit per zone allows another task in the zone, if its other rules do. */
  boolean hasShareLeft(JobSpec spec, int zone, int[] zoneLive) {
    return !spec.spread() || zoneLive[zone] < spec.zoneCap();
  }

  /** The zone in which a machine for the task must be, or null for any; counts the task there. */
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
