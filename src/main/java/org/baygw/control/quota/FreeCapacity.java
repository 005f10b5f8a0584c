package org.baygw.control.quota;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Job;
import org.baygw.control.model.JobSpec;
import org.baygw.control.model.Machine;
import org.baygw.control.model.Partition;
import org.baygw.control.model.PartitionRecord;
import org.baygw.control.placement.CapacityCache;
import org.baygw.control.placement.MachineCapacity;
import org.baygw.control.store.StateCache;

/**
 * Free capacity of the partitions in one pass, without the capacity of tasks that were granted to
 * them and are on no machine yet.
 */
final class FreeCapacity {
  /** A machine that has capacity for a task, and its partition. */
  record Place(Partition part, MachineCapacity room) {}

  private final Settings settings;
  private final StateCache view;
  private final ZoneRules zones;
  private final Map<Partition, List<MachineCapacity>> rooms = new TreeMap<>();

  FreeCapacity(
      Settings settings,
      StateCache view,
      Membership membership,
      CapacityCache cache,
      JobWrites writes,
      ZoneRules zones) {
    this.settings = settings;
    this.view = view;
    this.zones = zones;
    for (Partition part : membership.partitions()) {
      if (membership.owner(part) != null) {
        List<MachineCapacity> list = machines(part, cache);
        takeUnplaced(part, list, writes);
        if (!list.isEmpty()) {
          rooms.put(part, list);
        }
      }
    }
  }

  private List<MachineCapacity> machines(Partition part, CapacityCache cache) {
    int pages = view.pages().count(part);
    Set<Integer> fullPages = fullPages(part, pages);
    List<MachineCapacity> list = new ArrayList<>();
    for (String name : view.machinesOf(part)) {
      Machine machine = view.machines.get(name).value();
      boolean usable =
          machine.condition() == Machine.Condition.OK
              && !view.drains.containsKey(name)
              && (fullPages.isEmpty() || !fullPages.contains(PartitionRecord.pageOf(name, pages)));
      MachineCapacity room = usable ? cache.of(machine) : null;
      if (room != null) {
        list.add(room);
      }
    }
    return list;
  }

  /** The pages of a partition's record that have no space for more tasks. */
  private Set<Integer> fullPages(Partition part, int pages) {
    int limitBytes = (int) (settings.state().valueKb() * 1024 * Constants.RECORD_FULL);
    Set<Integer> full = new HashSet<>();
    for (int i = 0; i < pages; i++) {
      if (view.pages().bytes(part, i) > limitBytes) {
        full.add(i);
      }
    }
    return full;
  }

  /**
   * Reserves capacity for granted tasks that are on no machine yet. Tasks are counted by job, since
   * otherwise the machines would be searched once for each task.
   */
  private void takeUnplaced(Partition part, List<MachineCapacity> list, JobWrites writes) {
    Map<String, Integer> unplaced = new TreeMap<>();
    view.unplaced(part).forEach(task -> unplaced.merge(task.job(), 1, Integer::sum));
    writes.addGrantsTo(part, unplaced);
    unplaced.forEach(
        (id, count) -> {
          StateCache.Entry<Job> job = view.jobs.get(id);
          int left = job == null ? 0 : count;
          for (MachineCapacity room : list) {
            if (left == 0) {
              break;
            }
            left = room.fill(job.value().spec(), left);
          }
        });
  }

  /**
   * The partition whose machine for the task ranks highest, and among equals the one with the most
   * free CPUs; null if no machine fits. Avoided partitions come last.
   */
  Place roomiest(JobSpec spec, int[] zoneLive, Set<Partition> avoided) {
    String only = zones.only(spec, zoneLive);
    Place best = null;
    double mostFree = -1;
    int bestRank = -1;
    for (Map.Entry<Partition, List<MachineCapacity>> entry : rooms.entrySet()) {
      Partition part = entry.getKey();
      int zone = zones.index(part.zone());
      if (zone < 0
          || only != null && !only.equals(part.zone())
          || !zones.hasShareLeft(spec, zone, zoneLive)) {
        continue;
      }
      double free = 0;
      MachineCapacity fit = null;
      for (MachineCapacity room : entry.getValue()) {
        if (room.fits(spec)) {
          free += room.tasks() > 0 ? room.freeCpus() : 0;
          fit = fit == null || room.isBetterThan(fit, spec) ? room : fit;
        }
      }
      int rank = fit == null ? -1 : avoided.contains(part) ? 0 : fit.rank(spec) + 1;
      if (fit != null && (rank > bestRank || rank == bestRank && free > mostFree)) {
        best = new Place(part, fit);
        mostFree = free;
        bestRank = rank;
      }
    }
    return best;
  }
}
