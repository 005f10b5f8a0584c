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
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Job;
import org.baygw.control.model.JobSpec;
import org.baygw.control.model.Machine;
import org.baygw.control.model.Progress;
import org.baygw.control.model.Records;
import org.baygw.control.model.TaskId;
import org.baygw.control.placement.CapacityCache;
import org.baygw.control.placement.MachineCapacity;
import org.baygw.control.store.Keys;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Frees capacity as the protocol allows, by stopping tasks of lower priority or, for a job within
 * its team's guarantee, tasks by which another team exceeds its own. Tasks are stopped for
 * production jobs, for jobs that have waited long for their team's guarantee, and without waiting
 * where a task of a team without guarantee can be stopped without loss: such a team cannot reclaim
 * the capacity, so teams do not preempt each other in turns.
 */
final class Preemption {
  private static final Logger LOG = LoggerFactory.getLogger(Preemption.class);

  /** A task that could be stopped, and the cost of stopping it in seconds. */
  private record Victim(TaskId task, JobSpec spec, double cost) {}

  /**
   * The tasks to stop on a machine for one task, and the total cost in seconds, with that of a
   * missing image.
   */
  private record Stops(List<Victim> victims, double cost) {}

  private final Settings settings;
  private final StateCache view;
  private final Membership membership;
  private final CapacityCache rooms;
  private final JobWrites writes;

  /** Names of the teams without a guarantee. */
  private final List<String> guests;

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
  private int firstLook;

  Preemption(
      Settings settings,
      StateCache view,
      Membership membership,
      CapacityCache rooms,
      JobWrites writes,
      ToDoubleFunction<TaskId> grantAgeS) {
    this.settings = settings;
    this.view = view;
    this.membership = membership;
    this.rooms = rooms;
    this.writes = writes;
    this.grantAgeS = grantAgeS;
    this.guests =
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
    stopping.removeIf(task -> view.grant(task) == null);
    Pass pass = new Pass(usage, guaranteed);
    ListIterator<UnmetDemand> it = unmet.listIterator();
    while (it.hasNext() && pass.stopped < Constants.PREEMPT_MAX_TASKS) {
      UnmetDemand demand = it.next();
      if (mayStopOthers(demand, usage)) {
        int left = pass.makeRoom(demand);
        if (left == 0) {
          it.remove();
        } else {
          it.set(demand.withCount(left));
        }
      }
    }
    if (pass.stopped > 0) {
      LOG.info("stopping {} tasks of {} jobs to free capacity", pass.stopped, pass.byJob.size());
    }
    pass.byJob.forEach(this::stop);
  }

  private boolean mayStopOthers(UnmetDemand demand, TeamUsage usage) {
    return demand.spec().priority() == JobSpec.Priority.PRODUCTION
        || demand.entitlement().mayReclaim()
        || !demand.entitlement().teamWithoutGuarantee()
            && guests.stream().anyMatch(team -> usage.cpus(team) > 0);
  }

  /** One pass: the tasks chosen to be stopped, and the capacity that this frees. */
  private final class Pass {
    private final TeamUsage usage;
    private final Set<String> guaranteed;
    private final Map<MachineCapacity, List<Victim>> victims = new HashMap<>();
    private final Map<String, List<Victim>> byJob = new LinkedHashMap<>();

    /** Number of live tasks of the jobs considered so far, without the chosen victims. */
    private final Map<String, Integer> live = new HashMap<>();

    private List<MachineCapacity> machines;
    private int stopped;

    Pass(TeamUsage usage, Set<String> guaranteed) {
      this.usage = usage;
      this.guaranteed = guaranteed;
    }

    /**
     * Chooses tasks to stop for the demand; returns how many of its tasks remain without capacity.
     */
    int makeRoom(UnmetDemand demand) {
      if (machines == null) {
        machines = machines();
      }
      int left = demand.count();
      Map<MachineCapacity, Stops> options = options(demand);
      while (left > 0 && stopped < Constants.PREEMPT_MAX_TASKS && stopCheapest(demand, options)) {
        left--;
      }
      return left;
    }

    /**
     * The machines that could run one of the tasks, each with the tasks to stop there. Machines
     * that have the image come first, others only while fewer than the limit were examined. The
     * cheapest of a sample is nearly as good as the cheapest of all.
     */
    private Map<MachineCapacity, Stops> options(UnmetDemand demand) {
      Map<MachineCapacity, Stops> found = new LinkedHashMap<>();
      int looked = 0;
      for (boolean image : new boolean[] {true, false}) {
        for (int i = 0; i < machines.size() && looked < Constants.PREEMPT_MAX_MACHINES; i++) {
          MachineCapacity room = machines.get((firstLook + i) % machines.size());
          if (room.machine().images().contains(demand.spec().image()) == image
              && (demand.zone() == null || demand.zone().equals(room.machine().zone()))
              && room.meetsConstraints(demand.spec())) {
            looked++;
            put(found, room, needed(demand, room));
          }
        }
      }
      if (machines.size() > Constants.PREEMPT_MAX_MACHINES) {
        firstLook = (firstLook + looked) % machines.size();
      }
      return found;
    }

    /** Chooses the tasks to stop for one task; false if no machine can run it that way. */
    private boolean stopCheapest(UnmetDemand demand, Map<MachineCapacity, Stops> options) {
      for (MachineCapacity room = cheapest(options); room != null; room = cheapest(options)) {
        // Victims chosen since reduce what their teams borrow, which may rule out this option.
        Stops now = needed(demand, room);
        if (now != null && now.victims().equals(options.get(room).victims())) {
          choose(demand, room, now);
          put(options, room, needed(demand, room));
          return true;
        }
        put(options, room, now);
      }
      return false;
    }

    private void choose(UnmetDemand demand, MachineCapacity room, Stops stops) {
      for (Victim victim : stops.victims()) {
        room.release(victim.spec());
        victims.get(room).remove(victim);
        usage.add(victim.spec(), -1);
        byJob.computeIfAbsent(victim.task().job(), k -> new ArrayList<>()).add(victim);
        live.merge(victim.task().job(), -1, Integer::sum);
      }
      room.reserve(demand.spec());
      stopped += stops.victims().size();
    }

    /** The tasks to stop so that the task fits on the machine; null if it cannot fit. */
    private Stops needed(UnmetDemand demand, MachineCapacity room) {
      JobSpec spec = demand.spec();
      if (!room.meetsConstraints(spec)) {
        return null; // a replica of the service has been planned there meanwhile
      }
      List<Victim> candidates = victims.computeIfAbsent(room, Preemption.this::victims);
      double cpus = 0;
      double gpus = 0;
      double memoryGb = 0;
      double cost =
          room.machine().images().contains(spec.image()) ? 0 : Constants.COLD_START_COST_S;
      List<Victim> chosen = new ArrayList<>();
      boolean fits = room.hasResourcesFor(spec, cpus, gpus, memoryGb);
      for (Victim victim : candidates) {
        if (fits) {
          break;
        }
        JobSpec other = victim.spec();
        if (!mayStop(demand, victim, chosen)) {
          continue;
        }
        chosen.add(victim);
        cpus += other.cpus();
        gpus += other.gpus();
        memoryGb += other.memoryGb();
        cost += victim.cost();
        fits = room.hasResourcesFor(spec, cpus, gpus, memoryGb);
      }
      return fits ? new Stops(chosen, cost) : null;
    }

    /**
     * Whether a task may be stopped for the demand; production work may stop any task below it.
     *
     * @param chosen the victims chosen on this machine so far
     */
    private boolean mayStop(UnmetDemand demand, Victim victim, List<Victim> chosen) {
      return demand.spec().priority() == JobSpec.Priority.PRODUCTION
          || isGuestThatYields(demand, victim, chosen)
          || demand.entitlement().mayReclaim() && isBorrowed(demand, victim, chosen);
    }

    /**
     * Whether the task is of a team without guarantee, saves checkpoints, and is of lower priority
     * or takes capacity that the demand is guaranteed. Each job of such a team keeps a task, and no
     * task is stopped in its first half minute, or a started job would count as not started.
     */
    private boolean isGuestThatYields(UnmetDemand demand, Victim victim, List<Victim> chosen) {
      JobSpec other = victim.spec();
      boolean weaker =
          demand.entitlement().guaranteed()
              || demand.spec().priority().compareTo(other.priority()) < 0;
      return weaker
          && guests.contains(other.team())
          && !demand.entitlement().teamWithoutGuarantee()
          && other.checkpoints()
          && grantAgeS.applyAsDouble(victim.task()) > Constants.MIN_START_RUN_S
          && live(other.id()) - count(chosen, v -> v.spec() == other) > 1;
    }

    private int live(String job) {
      return live.computeIfAbsent(job, Preemption.this::liveTasks);
    }

    /**
     * Whether the task exceeds its team's guarantee, so that it may be stopped for a job of another
     * team that reclaims its own guarantee. No more is taken than what exceeds the guarantee.
     */
    private boolean isBorrowed(UnmetDemand demand, Victim victim, List<Victim> chosen) {
      JobSpec other = victim.spec();
      String team = other.team();
      double taken = 0;
      for (Victim before : chosen) {
        taken += before.spec().team().equals(team) ? before.spec().cpus() : 0;
      }
      double borrowed = usage.cpus(team) - taken - settings.team(team).cpus();
      return !guaranteed.contains(other.id())
          && !team.equals(demand.spec().team())
          && borrowed >= other.cpus() - Constants.EPS;
    }
  }

  private static int count(List<Victim> victims, Predicate<Victim> which) {
    return (int) victims.stream().filter(which).count();
  }

  private int liveTasks(String job) {
    Map<Integer, StateCache.Entry<Progress>> chunks = view.progress.get(job);
    return chunks == null
        ? 0
        : chunks.values().stream().mapToInt(chunk -> chunk.value().live.size()).sum();
  }

  private static MachineCapacity cheapest(Map<MachineCapacity, Stops> options) {
    MachineCapacity best = null;
    for (Map.Entry<MachineCapacity, Stops> entry : options.entrySet()) {
      if (best == null || entry.getValue().cost() < options.get(best).cost()) {
        best = entry.getKey();
      }
    }
    return best;
  }

  private static void put(Map<MachineCapacity, Stops> options, MachineCapacity room, Stops stops) {
    if (stops == null) {
      options.remove(room);
    } else {
      options.put(room, stops);
    }
  }

  /** The machines on which tasks could be stopped. */
  private List<MachineCapacity> machines() {
    List<MachineCapacity> found = new ArrayList<>();
    for (StateCache.Entry<Machine> entry : view.machines.values()) {
      Machine machine = entry.value();
      boolean usable =
          machine.condition() == Machine.Condition.OK
              && !view.drains.containsKey(machine.name())
              && membership.owner(machine.part()) != null;
      MachineCapacity room = usable ? rooms.of(machine) : null;
      if (room != null) {
        found.add(room);
      }
    }
    return found;
  }

  /**
   * The tasks that could be stopped on a machine, cheapest first. Releases the capacity of tasks
   * that are being stopped already.
   */
  private List<Victim> victims(MachineCapacity room) {
    List<Victim> found = new ArrayList<>();
    for (TaskId task : room.machine().tasks().keySet()) {
      StateCache.Entry<Job> job = view.jobs.get(task.job());
      Progress.Live live = view.grant(task);
      if (job == null || live == null) {
        continue;
      }
      JobSpec spec = job.value().spec();
      if (live.stop() || stopping.contains(task) || !job.value().open()) {
        room.release(spec);
      } else if (!writes.busy(task.job()) && spec.priority() != JobSpec.Priority.PRODUCTION) {
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

  private void stop(String job, List<Victim> victims) {
    Txn txn = new Txn().when(Keys.claim(Keys.LEADER), membership.leadership());
    Map<Integer, Progress> next = new LinkedHashMap<>();
    for (Victim victim : victims) {
      int index = victim.task().index();
      int chunk = index / Constants.CHUNK_TASKS;
      if (next.containsKey(chunk) || next.size() < settings.state().txnOps()) {
        Progress progress = next.computeIfAbsent(chunk, c -> view.progress(job, c).copy());
        Progress.Live live = progress.live.get(index);
        progress.live.put(index, new Progress.Live(live.attempt(), live.part(), true));
      }
    }
    next.forEach(
        (chunk, progress) -> {
          String key = Keys.progress(job, chunk);
          txn.when(key, view.stamp(key)).put(key, Records.progress(progress));
        });
    List<TaskId> tasks = victims.stream().map(Victim::task).toList();
    stopping.addAll(tasks);
    writes.write(
        job,
        Store.Urgency.GRANT,
        txn,
        ok -> {
          if (!ok) {
            stopping.removeAll(tasks);
          }
        });
  }
}
