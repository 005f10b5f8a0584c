package org.baygw.control.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.ListIterator;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Job;
import org.baygw.control.model.JobSpec;
import org.baygw.control.model.Machine;
import org.baygw.control.model.Progress;
import org.baygw.control.model.TaskId;
import org.baygw.control.placement.CapacityCache;
import org.baygw.control.placement.MachineCapacity;
import org.baygw.control.store.Keys;
import org.baygw.control.store.ProgressCodec;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Frees capacity within the rules of the protocol, by stopping tasks of lower priority or, for a
 * job within its team's guarantee, tasks by which another team exceeds its own. Tasks are stopped
 * for production jobs, for jobs that have waited long for their team's guarantee, and without
 * waiting where a task of a team without guarantee can be stopped without loss: such a team cannot
 * reclaim the capacity, so teams do not preempt each other in turns.
 */
final class Preemption {
  private static final Logger LOG = LoggerFactory.getLogger(Preemption.class);

  /** A task that could be stopped, and the cost of stopping it in seconds. */
  private record Victim(TaskId task, JobSpec spec, double cost) {}

  /**
   * The tasks to stop on a machine for one task, and the total cost in seconds, including that of a
   * missing image.
   */
  private record PreemptionOption(List<Victim> victims, double cost) {}

  private final Settings settings;
  private final StateCache cache;
  private final Membership membership;
  private final CapacityCache capacityCache;
  private final JobWrites writes;
  private final ProgressCodec codec;

  /** Names of the teams without a guarantee. */
  private final List<String> teamsWithoutGuarantee;

  /**
   * Seconds since a task was granted; infinite if a former leader granted it at an unknown time.
   */
  private final ToDoubleFunction<TaskId> grantAgeS;

  /**
   * Tasks whose stop is being written. Their capacity counts as being freed, or more tasks would be
   * stopped for the same demand.
   */
  private final Set<TaskId> stopping = new HashSet<>();

  /**
   * Index of the machine at which the next search starts, so that all machines are searched in
   * turn.
   */
  private int firstMachine;

  Preemption(
      Settings settings,
      StateCache cache,
      Membership membership,
      CapacityCache capacityCache,
      JobWrites writes,
      ProgressCodec codec,
      ToDoubleFunction<TaskId> grantAgeS) {
    this.settings = settings;
    this.cache = cache;
    this.membership = membership;
    this.capacityCache = capacityCache;
    this.writes = writes;
    this.codec = codec;
    this.grantAgeS = grantAgeS;
    this.teamsWithoutGuarantee =
        settings.teams().stream()
            .filter(team -> !team.hasGuarantee())
            .map(Settings.Team::name)
            .toList();
  }

  /**
   * Stops tasks for demand that found no capacity. Covered demand is removed from the list, so that
   * no machines are rented for it.
   *
   * @param guaranteed the unfinished jobs that fit into their teams' guarantees
   */
  void run(List<UnmetDemand> unmet, TeamUsage usage, Set<String> guaranteed) {
    stopping.removeIf(task -> cache.grant(task) == null);
    Pass pass = new Pass(usage, guaranteed);
    ListIterator<UnmetDemand> it = unmet.listIterator();
    while (it.hasNext() && pass.stoppedTasks < Constants.PREEMPT_MAX_TASKS) {
      UnmetDemand demand = it.next();
      if (mayPreempt(demand, usage)) {
        int remaining = pass.freeCapacityFor(demand);
        if (remaining == 0) {
          it.remove();
        } else {
          it.set(demand.withCount(remaining));
        }
      }
    }
    if (pass.stoppedTasks > 0) {
      LOG.info(
          "stopping {} tasks of {} jobs to free capacity",
          pass.stoppedTasks,
          pass.victimsByJob.size());
    }
    pass.victimsByJob.forEach(this::stop);
  }

  private boolean mayPreempt(UnmetDemand demand, TeamUsage usage) {
    return demand.spec().priority() == JobSpec.Priority.PRODUCTION
        || demand.entitlement().mayReclaim()
        || !demand.entitlement().teamWithoutGuarantee()
            && teamsWithoutGuarantee.stream().anyMatch(team -> usage.cpus(team) > 0);
  }

  /** One pass: the tasks chosen to be stopped, and the capacity that this frees. */
  private final class Pass {
    private final TeamUsage usage;
    private final Set<String> guaranteed;
    private final Map<MachineCapacity, List<Victim>> candidatesByMachine = new HashMap<>();
    private final Map<String, List<Victim>> victimsByJob = new LinkedHashMap<>();

    /** Number of live tasks of the jobs considered so far, without the chosen victims. */
    private final Map<String, Integer> liveByJob = new HashMap<>();

    private List<MachineCapacity> machines;
    private int stoppedTasks;

    Pass(TeamUsage usage, Set<String> guaranteed) {
      this.usage = usage;
      this.guaranteed = guaranteed;
    }

    /**
     * Chooses tasks to stop for the demand; returns how many of its tasks remain without capacity.
     */
    int freeCapacityFor(UnmetDemand demand) {
      if (machines == null) {
        machines = usableMachines();
      }
      int remaining = demand.count();
      Map<MachineCapacity, PreemptionOption> options = options(demand);
      while (remaining > 0
          && stoppedTasks < Constants.PREEMPT_MAX_TASKS
          && selectCheapest(demand, options)) {
        remaining--;
      }
      return remaining;
    }

    /**
     * The machines that could run one of the tasks, each with the tasks to stop there. Machines
     * that have the image come first, others only while fewer than the limit were examined. The
     * cheapest of a sample is nearly as good as the cheapest of all.
     */
    private Map<MachineCapacity, PreemptionOption> options(UnmetDemand demand) {
      Map<MachineCapacity, PreemptionOption> found = new LinkedHashMap<>();
      int examined = 0;
      for (boolean hasImage : new boolean[] {true, false}) {
        for (int i = 0; i < machines.size() && examined < Constants.PREEMPT_MAX_MACHINES; i++) {
          MachineCapacity capacity = machines.get((firstMachine + i) % machines.size());
          if (capacity.machine().images().contains(demand.spec().image()) == hasImage
              && (demand.zone() == null || demand.zone().equals(capacity.machine().zone()))
              && capacity.meetsConstraints(demand.spec())) {
            examined++;
            putOrRemove(found, capacity, optionFor(demand, capacity));
          }
        }
      }
      if (machines.size() > Constants.PREEMPT_MAX_MACHINES) {
        firstMachine = (firstMachine + examined) % machines.size();
      }
      return found;
    }

    /** Chooses the tasks to stop for one task; false if no machine can run it that way. */
    private boolean selectCheapest(
        UnmetDemand demand, Map<MachineCapacity, PreemptionOption> options) {
      for (MachineCapacity capacity = cheapest(options);
          capacity != null;
          capacity = cheapest(options)) {
        // Victims chosen since reduce what their teams borrow, which may rule out this option.
        PreemptionOption current = optionFor(demand, capacity);
        if (current != null && current.victims().equals(options.get(capacity).victims())) {
          select(demand, capacity, current);
          putOrRemove(options, capacity, optionFor(demand, capacity));
          return true;
        }
        putOrRemove(options, capacity, current);
      }
      return false;
    }

    private void select(UnmetDemand demand, MachineCapacity capacity, PreemptionOption option) {
      for (Victim victim : option.victims()) {
        capacity.release(victim.spec());
        candidatesByMachine.get(capacity).remove(victim);
        usage.add(victim.spec(), -1);
        victimsByJob.computeIfAbsent(victim.task().job(), k -> new ArrayList<>()).add(victim);
        liveByJob.merge(victim.task().job(), -1, Integer::sum);
      }
      capacity.reserve(demand.spec());
      stoppedTasks += option.victims().size();
    }

    /** The tasks to stop so that the task fits on the machine; null if it cannot fit. */
    private PreemptionOption optionFor(UnmetDemand demand, MachineCapacity capacity) {
      JobSpec spec = demand.spec();
      if (!capacity.meetsConstraints(spec)) {
        return null; // a replica of the service has been planned there meanwhile
      }
      List<Victim> candidates =
          candidatesByMachine.computeIfAbsent(capacity, Preemption.this::candidates);
      double cpus = 0;
      double gpus = 0;
      double memoryGb = 0;
      double cost =
          capacity.machine().images().contains(spec.image()) ? 0 : Constants.COLD_START_COST_S;
      List<Victim> chosen = new ArrayList<>();
      boolean fits = capacity.hasResourcesFor(spec, cpus, gpus, memoryGb);
      for (Victim victim : candidates) {
        if (fits) {
          break;
        }
        JobSpec victimSpec = victim.spec();
        if (!mayStop(demand, victim, chosen)) {
          continue;
        }
        chosen.add(victim);
        cpus += victimSpec.cpus();
        gpus += victimSpec.gpus();
        memoryGb += victimSpec.memoryGb();
        cost += victim.cost();
        fits = capacity.hasResourcesFor(spec, cpus, gpus, memoryGb);
      }
      return fits ? new PreemptionOption(chosen, cost) : null;
    }

    /**
     * Whether a task may be stopped for the demand; production work may stop any task below it.
     *
     * @param chosen the victims chosen on this machine so far
     */
    private boolean mayStop(UnmetDemand demand, Victim victim, List<Victim> chosen) {
      return demand.spec().priority() == JobSpec.Priority.PRODUCTION
          || isPreemptibleWithoutGuarantee(demand, victim, chosen)
          || demand.entitlement().mayReclaim() && exceedsGuarantee(demand, victim, chosen);
    }

    /**
     * Whether the task is of a team without guarantee, saves checkpoints, and is of lower priority
     * or takes capacity that the demand is guaranteed. Each job of such a team keeps a task, and no
     * task is stopped within MIN_START_RUN_S of its grant: otherwise a started job would count as
     * not started.
     */
    private boolean isPreemptibleWithoutGuarantee(
        UnmetDemand demand, Victim victim, List<Victim> chosen) {
      JobSpec victimSpec = victim.spec();
      boolean outranked =
          demand.entitlement().guaranteed()
              || demand.spec().priority().compareTo(victimSpec.priority()) < 0;
      return outranked
          && teamsWithoutGuarantee.contains(victimSpec.team())
          && !demand.entitlement().teamWithoutGuarantee()
          && victimSpec.checkpoints()
          && grantAgeS.applyAsDouble(victim.task()) > Constants.MIN_START_RUN_S
          && remainingLiveTasks(victimSpec.id()) - count(chosen, v -> v.spec() == victimSpec) > 1;
    }

    private int remainingLiveTasks(String job) {
      return liveByJob.computeIfAbsent(job, Preemption.this::liveTasks);
    }

    /**
     * Whether the task exceeds its team's guarantee, so that it may be stopped for a job of another
     * team that reclaims its own guarantee. No more is taken than what exceeds the guarantee.
     */
    private boolean exceedsGuarantee(UnmetDemand demand, Victim victim, List<Victim> chosen) {
      JobSpec victimSpec = victim.spec();
      String team = victimSpec.team();
      double chosenCpus = 0;
      for (Victim earlier : chosen) {
        chosenCpus += earlier.spec().team().equals(team) ? earlier.spec().cpus() : 0;
      }
      double borrowedCpus = usage.cpus(team) - chosenCpus - settings.team(team).cpus();
      return !guaranteed.contains(victimSpec.id())
          && !team.equals(demand.spec().team())
          && borrowedCpus >= victimSpec.cpus() - Constants.EPS;
    }
  }

  private static int count(List<Victim> victims, Predicate<Victim> predicate) {
    return (int) victims.stream().filter(predicate).count();
  }

  private int liveTasks(String job) {
    Map<Integer, StateCache.Entry<Progress>> chunks = cache.progress.get(job);
    return chunks == null
        ? 0
        : chunks.values().stream().mapToInt(chunk -> chunk.value().live.size()).sum();
  }

  private static MachineCapacity cheapest(Map<MachineCapacity, PreemptionOption> options) {
    MachineCapacity best = null;
    for (Map.Entry<MachineCapacity, PreemptionOption> entry : options.entrySet()) {
      if (best == null || entry.getValue().cost() < options.get(best).cost()) {
        best = entry.getKey();
      }
    }
    return best;
  }

  private static void putOrRemove(
      Map<MachineCapacity, PreemptionOption> options,
      MachineCapacity capacity,
      PreemptionOption option) {
    if (option == null) {
      options.remove(capacity);
    } else {
      options.put(capacity, option);
    }
  }

  /** The machines on which tasks could be stopped. */
  private List<MachineCapacity> usableMachines() {
    List<MachineCapacity> found = new ArrayList<>();
    for (StateCache.Entry<Machine> entry : cache.machines.values()) {
      Machine machine = entry.value();
      boolean usable =
          machine.condition() == Machine.Condition.OK
              && !cache.drains.containsKey(machine.name())
              && membership.owner(machine.partition()) != null;
      MachineCapacity capacity = usable ? capacityCache.of(machine) : null;
      if (capacity != null) {
        found.add(capacity);
      }
    }
    return found;
  }

  /**
   * The tasks that could be stopped on a machine, cheapest first. Releases the capacity of tasks
   * that are being stopped already.
   */
  private List<Victim> candidates(MachineCapacity capacity) {
    List<Victim> found = new ArrayList<>();
    for (TaskId task : capacity.machine().tasks().keySet()) {
      StateCache.Entry<Job> job = cache.jobs.get(task.job());
      Progress.LiveTask live = cache.grant(task);
      if (job == null || live == null) {
        continue;
      }
      JobSpec spec = job.value().spec();
      if (live.stopRequested() || stopping.contains(task) || !job.value().open()) {
        capacity.release(spec);
      } else if (!writes.hasWriteInFlight(task.job())
          && spec.priority() != JobSpec.Priority.PRODUCTION) {
        found.add(new Victim(task, spec, cost(task, spec)));
      }
    }
    found.sort(Comparator.comparingDouble(Victim::cost).thenComparing(Victim::task));
    return found;
  }

  /**
   * Cost of stopping a task in seconds: the work it loses or, if it saves checkpoints, the weighted
   * time of a save, during which the task that needs the capacity waits.
   */
  private double cost(TaskId task, JobSpec spec) {
    return spec.checkpoints()
        ? Constants.SAVE_COST_FACTOR * spec.saveS()
        : Math.min(spec.estimateS(), grantAgeS.applyAsDouble(task));
  }

  /** Writes the requests to stop a job's tasks; those beyond the limits of a write are left out. */
  private void stop(String job, List<Victim> victims) {
    Map<Integer, List<TaskId>> tasksByChunk = new TreeMap<>();
    for (Victim victim : victims) {
      int chunk = Progress.chunkOf(victim.task().index());
      tasksByChunk.computeIfAbsent(chunk, c -> new ArrayList<>()).add(victim.task());
    }
    Txn txn = new Txn().when(Keys.claim(Keys.LEADER), membership.leaderClaimStamp());
    List<TaskId> written = new ArrayList<>();
    tasksByChunk.forEach(
        (chunk, tasks) -> {
          String key = Keys.progress(job, chunk);
          if (txn.hasSpaceFor(key, codec.maxBytes(chunk), settings.state())) {
            Progress progress = cache.progress(job, chunk).copy();
            tasks.forEach(task -> progress.requestStop(task.index()));
            txn.when(key, cache.stamp(key)).put(key, codec.encode(chunk, progress));
            written.addAll(tasks);
          }
        });
    stopping.addAll(written);
    writes.write(
        job,
        Store.Urgency.GRANT,
        txn,
        succeeded -> {
          if (!succeeded) {
            stopping.removeAll(written);
          }
        });
  }
}
