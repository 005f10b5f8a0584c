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
  record Candidate(Partition partition, MachineCapacity capacity) {}

  private final Settings settings;
  private final StateCache stateCache;
  private final ZoneRules zones;
  private final Map<Partition, List<MachineCapacity>> machinesByPartition = new TreeMap<>();

  FreeCapacity(
      Settings settings,
      StateCache stateCache,
      Membership membership,
      CapacityCache cache,
      JobWrites writes,
      ZoneRules zones) {
    this.settings = settings;
    this.stateCache = stateCache;
    this.zones = zones;
    for (Partition partition : membership.partitions()) {
      if (membership.owner(partition) != null) {
        List<MachineCapacity> capacities = usableMachines(partition, cache);
        reserveUnplaced(partition, capacities, writes);
        if (!capacities.isEmpty()) {
          machinesByPartition.put(partition, capacities);
        }
      }
    }
  }

  private List<MachineCapacity> usableMachines(Partition partition, CapacityCache cache) {
    int pageCount = stateCache.pages().count(partition);
    Set<Integer> fullPages = fullPages(partition, pageCount);
    List<MachineCapacity> capacities = new ArrayList<>();
    for (String name : stateCache.machinesOf(partition)) {
      Machine machine = stateCache.machines.get(name).value();
      boolean usable =
          machine.condition() == Machine.Condition.OK
              && !stateCache.drains.containsKey(name)
              && (fullPages.isEmpty()
                  || !fullPages.contains(PartitionRecord.pageOf(name, pageCount)));
      MachineCapacity capacity = usable ? cache.of(machine) : null;
      if (capacity != null) {
        capacities.add(capacity);
      }
    }
    return capacities;
  }

  /** The pages of a partition's record that have no space for more tasks. */
  private Set<Integer> fullPages(Partition partition, int pageCount) {
    int limitBytes = (int) (settings.state().maxValueBytes() * Constants.RECORD_FULL_SHARE);
    Set<Integer> full = new HashSet<>();
    for (int i = 0; i < pageCount; i++) {
      if (stateCache.pages().bytes(partition, i) > limitBytes) {
        full.add(i);
      }
    }
    return full;
  }

  /**
   * Reserves capacity for granted tasks that are on no machine yet. Tasks are counted by job, since
   * otherwise the machines would be searched once for each task.
   */
  private void reserveUnplaced(
      Partition partition, List<MachineCapacity> capacities, JobWrites writes) {
    Map<String, Integer> unplaced = new TreeMap<>();
    stateCache.unplaced(partition).forEach(task -> unplaced.merge(task.job(), 1, Integer::sum));
    writes.addGrantsTo(partition, unplaced);
    unplaced.forEach(
        (jobId, count) -> {
          StateCache.Entry<Job> job = stateCache.jobs.get(jobId);
          int remaining = job == null ? 0 : count;
          for (MachineCapacity capacity : capacities) {
            if (remaining == 0) {
              break;
            }
            remaining = capacity.fill(job.value().spec(), remaining);
          }
        });
  }

  /**
   * The best machine for the task, from the partition whose best machine ranks highest, and among
   * equals from the one with the most free CPUs on machines that fit and have tasks already; null
   * if no machine fits. Avoided partitions come last.
   */
  Candidate findCandidate(JobSpec spec, int[] liveByZone, Set<Partition> avoided) {
    String requiredZone = zones.requiredZone(spec, liveByZone);
    Candidate best = null;
    double mostFreeCpus = -1;
    int bestRank = -1;
    for (Map.Entry<Partition, List<MachineCapacity>> entry : machinesByPartition.entrySet()) {
      Partition partition = entry.getKey();
      int zoneIndex = zones.indexOf(partition.zone());
      if (zoneIndex < 0
          || requiredZone != null && !requiredZone.equals(partition.zone())
          || !zones.isBelowZoneLimit(spec, zoneIndex, liveByZone)) {
        continue;
      }
      double freeCpus = 0;
      MachineCapacity bestFit = null;
      for (MachineCapacity capacity : entry.getValue()) {
        if (capacity.fits(spec)) {
          freeCpus += capacity.tasks() > 0 ? capacity.freeCpus() : 0;
          bestFit = bestFit == null || capacity.isBetterThan(bestFit, spec) ? capacity : bestFit;
        }
      }
      int rank = bestFit == null ? -1 : avoided.contains(partition) ? 0 : bestFit.rank(spec) + 1;
      if (bestFit != null && (rank > bestRank || rank == bestRank && freeCpus > mostFreeCpus)) {
        best = new Candidate(partition, bestFit);
        mostFreeCpus = freeCpus;
        bestRank = rank;
      }
    }
    return best;
  }
}
