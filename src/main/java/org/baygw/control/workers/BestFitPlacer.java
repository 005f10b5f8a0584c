package org.baygw.control.workers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Replication;
import org.baygw.control.model.Job;
import org.baygw.control.model.JobSpec;
import org.baygw.control.model.Machine;
import org.baygw.control.model.Partition;
import org.baygw.control.model.Progress;
import org.baygw.control.model.TaskId;
import org.baygw.control.placement.CapacityCache;
import org.baygw.control.placement.MachineCapacity;
import org.baygw.control.store.StateCache;

/**
 * Places the tasks granted to a partition on its machines: in order of priority, each on the
 * machine that suits it best.
 */
final class BestFitPlacer {
  /** Space left in a partition's record for the next write. */
  interface RecordSpace {
    /** Whether the next write can place a task on the machine. */
    boolean hasSpace(String machine);

    /**
     * Reserves the bytes of a job's task on the machine; returns true if fewer machines may have
     * space now.
     */
    boolean reserve(String machine, String job, int bytes);

    /** Adds a task that returns to the queue to the next write; false if it has no space. */
    boolean reserveReturned(TaskId task, int attempt);
  }

  /**
   * The granted tasks of a partition to be placed, by machine and with their attempts, and those
   * that return to the queue.
   */
  record Plan(Map<String, Map<TaskId, Integer>> placements, Set<TaskId> returned) {}

  private final Clock clock;
  private final Settings settings;
  private final StateCache cache;
  private final Map<String, WorkerSession> sessions;
  private final ConsolidationRound rounds;
  private final CapacityCache capacityCache;
  private final Map<TaskId, Long> unplacedSince = new HashMap<>();
  private final TaskFailures failures;

  /** Machines that a consolidation round chose for pending tasks. */
  private final Map<TaskId, String> preferredMachines = new HashMap<>();

  BestFitPlacer(
      Clock clock,
      Settings settings,
      StateCache cache,
      Map<String, WorkerSession> sessions,
      ConsolidationRound rounds,
      Replication replication) {
    this.clock = clock;
    this.settings = settings;
    this.cache = cache;
    this.sessions = sessions;
    this.rounds = rounds;
    this.capacityCache = new CapacityCache(cache);
    this.failures = new TaskFailures(clock, cache, replication);
  }

  /** The recorded failures of tasks, which placement takes into account. */
  TaskFailures failures() {
    return failures;
  }

  void preferMachines(Map<TaskId, String> placed) {
    preferredMachines.clear();
    preferredMachines.putAll(placed);
  }

  /**
   * Finds machines for a partition's granted tasks, for a limited number of jobs and within the
   * space of its record.
   */
  Plan plan(Partition partition, long claim, Set<TaskId> excluded, int maxJobs, RecordSpace space) {
    long now = clock.now();
    Map<String, Map<TaskId, Integer>> placements = new LinkedHashMap<>();
    Set<TaskId> returned = new HashSet<>();
    Set<TaskId> unplaced = cache.unplaced(partition);
    unplacedSince.keySet().removeIf(task -> !isUnplaced(task));
    if (unplaced.isEmpty()) {
      return new Plan(placements, returned);
    }
    List<TaskId> tasks = new ArrayList<>(unplaced);
    tasks.sort(Comparator.comparing((TaskId task) -> priority(task)).thenComparing(task -> task));
    List<MachineCapacity> candidates = capacities(partition, claim);
    candidates.removeIf(capacity -> !space.hasSpace(capacity.machine().name()));
    Set<String> jobs = new HashSet<>();
    MachineCapacity lastCapacity = null;
    String lastJob = null;
    String jobWithoutCapacity = null;
    for (TaskId task : tasks) {
      StateCache.Entry<Job> jobEntry = cache.jobs.get(task.job());
      Progress.LiveTask grant = cache.grant(task);
      if (excluded.contains(task) || grant == null) {
        continue;
      }
      long since = unplacedSince.computeIfAbsent(task, k -> now);
      boolean revoked = !cache.shouldRun(task.job()) || grant.stopRequested();
      JobSpec spec = revoked ? null : jobEntry.value().spec();
      MachineCapacity capacity = null;
      boolean sameMachine = false;
      if (!revoked
          && (jobs.contains(task.job()) || jobs.size() < maxJobs)
          && !task.job().equals(jobWithoutCapacity)) {
        sameMachine =
            task.job().equals(lastJob)
                && !spec.service()
                && lastCapacity.fits(spec)
                && space.hasSpace(lastCapacity.machine().name());
        capacity = sameMachine ? lastCapacity : preferred(candidates, task, spec);
        capacity = capacity == null ? bestMachine(candidates, spec) : capacity;
        if (capacity == null) {
          jobWithoutCapacity = task.job(); // its other tasks would not fit either
        }
      }
      if (capacity != null) {
        capacity.reserve(spec);
        lastCapacity = capacity;
        lastJob = task.job();
        String name = capacity.machine().name();
        jobs.add(task.job());
        Map<TaskId, Integer> machineTasks =
            placements.computeIfAbsent(name, k -> new LinkedHashMap<>());
        machineTasks.put(task, grant.attempt());
        int bytes = Constants.RECORD_TASK_BYTES + (sameMachine ? 0 : task.job().length());
        if (space.reserve(name, task.job(), bytes)) {
          candidates.removeIf(candidate -> !space.hasSpace(candidate.machine().name()));
        }
      } else if ((revoked || now - since > Constants.UNGRANT_MS)
          && space.reserveReturned(task, grant.attempt())) {
        returned.add(task);
        unplacedSince.remove(task); // if granted here again, the task waits anew
      }
    }
    return new Plan(placements, returned);
  }

  private boolean isUnplaced(TaskId task) {
    Progress.LiveTask grant = cache.grant(task);
    return grant != null && cache.unplaced(grant.partition()).contains(task);
  }

  private JobSpec.Priority priority(TaskId task) {
    StateCache.Entry<Job> jobEntry = cache.jobs.get(task.job());
    return jobEntry == null ? JobSpec.Priority.LOW : jobEntry.value().spec().priority();
  }

  List<MachineCapacity> capacities(Partition partition, long claim) {
    List<MachineCapacity> capacities = new ArrayList<>();
    Map<String, List<TaskId>> incoming = rounds.incomingTasks();
    for (String name : cache.machinesOf(partition)) {
      WorkerSession worker = sessions.get(name);
      StateCache.Entry<Machine> entry = cache.machines.get(name);
      if (worker == null || worker.claim != claim || !placeable(worker, entry.value())) {
        continue;
      }
      MachineCapacity capacity = freeCapacity(worker, entry.value());
      if (capacity != null) {
        for (TaskId task : incoming.getOrDefault(name, List.of())) {
          capacity.reserve(cache.jobs.get(task.job()).value().spec());
        }
        capacities.add(capacity);
      }
    }
    return capacities;
  }

  boolean placeable(WorkerSession worker, Machine machine) {
    return worker.claimConfirmed()
        && !worker.leaseExpired
        && !worker.missesResponses()
        && worker.noticeUntil == 0
        && machine.condition() == Machine.Condition.OK
        && !cache.drains.containsKey(machine.name())
        && recentlyHeard(worker);
  }

  boolean recentlyHeard(WorkerSession worker) {
    return clock.now() - worker.lastHeard
        <= settings.workers().reportS() * 1000 * Constants.RECENTLY_HEARD_REPORTS;
  }

  MachineCapacity freeCapacity(WorkerSession worker, Machine machine) {
    MachineCapacity capacity = capacityCache.of(machine);
    if (capacity != null) {
      for (Map.Entry<TaskId, WorkerCodec.ReportedTask> reported : worker.reported.entrySet()) {
        if (reported.getValue().state() != WorkerCodec.State.ENDED
            && !machine.tasks().containsKey(reported.getKey())) {
          StateCache.Entry<Job> jobEntry = cache.jobs.get(reported.getKey().job());
          if (jobEntry != null) {
            capacity.reserve(
                jobEntry.value().spec()); // not in the record, but running until killed
          }
        }
      }
    }
    return capacity;
  }

  /**
   * The machine that a round chose for the task; null if there is none or the task no longer fits.
   */
  private MachineCapacity preferred(List<MachineCapacity> candidates, TaskId task, JobSpec spec) {
    String name = preferredMachines.remove(task);
    if (name != null) {
      for (MachineCapacity candidate : candidates) {
        if (candidate.machine().name().equals(name) && candidate.fits(spec)) {
          return candidate;
        }
      }
    }
    return null;
  }

  /** The machine that suits best; null if none fits or the job waits for its retry. */
  private MachineCapacity bestMachine(List<MachineCapacity> candidates, JobSpec spec) {
    if (failures.inBackoff(spec.id())) {
      return null;
    }
    MachineCapacity best = null;
    for (MachineCapacity candidate : candidates) {
      if (!candidate.fits(spec) || failures.avoidsMachine(spec.id(), candidate.machine().name())) {
        continue;
      }
      if (best == null || candidate.isBetterThan(best, spec)) {
        best = candidate;
      }
    }
    return best;
  }
}
