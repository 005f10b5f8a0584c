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
 * Makes room as the protocol allows, by stopping work of lower priority, or for a guarantee what
 * another team borrows. That is done for production jobs, for jobs that have waited long for their
 * team's guarantee, and at once where the work of a guest can be stopped without loss: nothing is
 * guaranteed to a guest, so it cannot take the room back, and teams do not take turns.
 */
final class Preemption {
  private static final Logger LOG = LoggerFactory.getLogger(Preemption.class);

  /** A task that could be stopped, and what that costs in seconds. */
  private record Victim(TaskId task, JobSpec spec, double cost) {}

  /** What would be stopped on a machine for one task, and what that costs. */
  private record Stops(List<Victim> victims, double cost) {}

  private final Settings settings;
  private final StateCache view;
  private final Membership membership;
  private final CapacityCache rooms;
  private final JobWrites writes;

  /** The teams to which nothing is guaranteed. */
  private final List<String> guests;

  /** Seconds since this scheduler granted a task; endless where a former one did. */
  private final ToDoubleFunction<TaskId> grantAgeS;

  /**
   * Tasks whose stop is being written: their room counts as coming free, or more would be stopped.
   */
  private final Set<TaskId> stopping = new HashSet<>();

  /** Where the look for what to stop begins, so that each machine has its turn. */
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
   * Stops tasks for what found no room. Demand that is covered that way leaves the list, so that
   * nothing is rented for it.
   *
   * @param guaranteed the unfinished jobs that fit into their teams' guarantees
   */
  void run(List<UnmetDemand> unmet, TeamUsage usage, Set<String> guaranteed) {
    stopping.removeIf(task -> view.grant(task) == null);
    Pass pass = new Pass(usage, guaranteed);
    ListIterator<UnmetDemand> it = unmet.listIterator();
    while (it.hasNext() && pass.stopped < Constants.PREEMPT_PER_PASS) {
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
      LOG.info("stop {} tasks of {} jobs to make room", pass.stopped, pass.byJob.size());
    }
    pass.byJob.forEach(this::stop);
  }

  private boolean mayStopOthers(UnmetDemand demand, TeamUsage usage) {
    return demand.spec().priority() == JobSpec.Priority.PRODUCTION
        || demand.standing().reclaims()
        || !demand.standing().guest() && guests.stream().anyMatch(team -> usage.cpus(team) > 0);
  }

  /** One pass: what is chosen to be stopped, with the room that this gives. */
  private final class Pass {
    private final TeamUsage usage;
    private final Set<String> guaranteed;
    private final Map<MachineCapacity, List<Victim>> victims = new HashMap<>();
    private final Map<String, List<Victim>> byJob = new LinkedHashMap<>();

    /** Live tasks of the jobs whose tasks were looked at, less those that are chosen. */
    private final Map<String, Integer> live = new HashMap<>();

    private List<MachineCapacity> machines;
    private int stopped;

    Pass(TeamUsage usage, Set<String> guaranteed) {
      this.usage = usage;
      this.guaranteed = guaranteed;
    }

    /** Chooses what to stop for a job's tasks; returns for how many nothing was found. */
    int makeRoom(UnmetDemand demand) {
      if (machines == null) {
        machines = machines();
      }
      int left = demand.count();
      Map<MachineCapacity, Stops> options = options(demand);
      while (left > 0 && stopped < Constants.PREEMPT_PER_PASS && stopCheapest(demand, options)) {
        left--;
      }
      return left;
    }

    /**
     * Where one of the tasks could come, by stopping what: on machines that have its image, and
     * where too few do on others. The cheapest of some is nearly as good as the cheapest of all.
     */
    private Map<MachineCapacity, Stops> options(UnmetDemand demand) {
      Map<MachineCapacity, Stops> found = new LinkedHashMap<>();
      int looked = 0;
      for (boolean image : new boolean[] {true, false}) {
        for (int i = 0; i < machines.size() && looked < Constants.PREEMPT_LOOKS; i++) {
          MachineCapacity room = machines.get((firstLook + i) % machines.size());
          if (room.machine().images().contains(demand.spec().image()) == image
              && (demand.zone() == null || demand.zone().equals(room.machine().zone()))
              && room.suits(demand.spec())) {
            looked++;
            put(found, room, needed(demand, room));
          }
        }
      }
      if (machines.size() > Constants.PREEMPT_LOOKS) {
        firstLook = (firstLook + looked) % machines.size();
      }
      return found;
    }

    /** Chooses what to stop for one task; false where nothing helps. */
    private boolean stopCheapest(UnmetDemand demand, Map<MachineCapacity, Stops> options) {
      for (MachineCapacity room = cheapest(options); room != null; room = cheapest(options)) {
        // What the other tasks' stops left of a team's borrowing may have changed it.
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
        room.free(victim.spec());
        victims.get(room).remove(victim);
        usage.add(victim.spec(), -1);
        byJob.computeIfAbsent(victim.task().job(), k -> new ArrayList<>()).add(victim);
        live.merge(victim.task().job(), -1, Integer::sum);
      }
      room.take(demand.spec());
      stopped += stops.victims().size();
    }

    /** What to stop so that the task fits on the machine; null if nothing would do. */
    private Stops needed(UnmetDemand demand, MachineCapacity room) {
      JobSpec spec = demand.spec();
      if (!room.suits(spec)) {
        return null; // a copy of the service has come there in thought
      }
      List<Victim> candidates = victims.computeIfAbsent(room, Preemption.this::victims);
      double cpus = 0;
      double gpus = 0;
      double memoryGb = 0;
      double cost = room.machine().images().contains(spec.image()) ? 0 : Constants.COLD_COST_S;
      List<Victim> chosen = new ArrayList<>();
      boolean fits = room.fitsWith(spec, cpus, gpus, memoryGb);
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
        fits = room.fitsWith(spec, cpus, gpus, memoryGb);
      }
      return fits ? new Stops(chosen, cost) : null;
    }

    /**
     * Whether a task may be stopped for the demand: production work stops anything below it.
     *
     * @param chosen what is chosen on this machine already
     */
    private boolean mayStop(UnmetDemand demand, Victim victim, List<Victim> chosen) {
      return demand.spec().priority() == JobSpec.Priority.PRODUCTION
          || isGuestThatYields(demand, victim, chosen)
          || demand.standing().reclaims() && isBorrowed(demand, victim, chosen);
    }

    /**
     * Whether the task is a guest's, saves its work, and is of lower priority or in the way of a
     * guarantee. Each of a guest's jobs keeps a task, and each start its first half minute, or a
     * job that has begun would count as one that has not.
     */
    private boolean isGuestThatYields(UnmetDemand demand, Victim victim, List<Victim> chosen) {
      JobSpec other = victim.spec();
      boolean weaker =
          demand.standing().guaranteed()
              || demand.spec().priority().compareTo(other.priority()) < 0;
      return weaker
          && guests.contains(other.team())
          && !demand.standing().guest()
          && other.checkpoints()
          && grantAgeS.applyAsDouble(victim.task()) > Constants.START_COUNTS_S
          && live(other.id()) - count(chosen, v -> v.spec() == other) > 1;
    }

    private int live(String job) {
      return live.computeIfAbsent(job, Preemption.this::liveTasks);
    }

    /**
     * Whether the task is beyond its team's guarantee, which may be taken back for a job that
     * reclaims its own; no more of it than is beyond.
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

  /** The machines on which something could be stopped. */
  private List<MachineCapacity> machines() {
    List<MachineCapacity> found = new ArrayList<>();
    for (StateCache.Entry<Machine> entry : view.machines.values()) {
      Machine machine = entry.value();
      boolean usable =
          machine.condition() == Machine.Condition.OK
              && !view.drains.containsKey(machine.name())
              && membership.owner(machine.partition()) != null;
      MachineCapacity room = usable ? rooms.of(machine) : null;
      if (room != null) {
        found.add(room);
      }
    }
    return found;
  }

  /**
   * What could be stopped on a machine, cheapest first; what stops already is taken off its room.
   */
  private List<Victim> victims(MachineCapacity room) {
    List<Victim> found = new ArrayList<>();
    for (TaskId task : room.machine().tasks().keySet()) {
      StateCache.Entry<Job> job = view.jobs.get(task.job());
      Progress.LiveTask live = view.grant(task);
      if (job == null || live == null) {
        continue;
      }
      JobSpec spec = job.value().spec();
      if (live.stopRequested() || stopping.contains(task) || !job.value().open()) {
        room.free(spec);
      } else if (!writes.busy(task.job()) && spec.priority() != JobSpec.Priority.PRODUCTION) {
        found.add(new Victim(task, spec, cost(task, spec)));
      }
    }
    found.sort(Comparator.comparingDouble(Victim::cost).thenComparing(Victim::task));
    return found;
  }

  /**
   * What stopping a task costs, in seconds: the work it loses, or the time it takes to save, in
   * which the one that needs the room waits.
   */
  private double cost(TaskId task, JobSpec spec) {
    return spec.checkpoints()
        ? Constants.SAVE_COST * spec.saveS()
        : Math.min(spec.estimateS(), grantAgeS.applyAsDouble(task));
  }

  private void stop(String job, List<Victim> victims) {
    Txn txn = new Txn().when(Keys.claim(Keys.LEADER), membership.leaderClaimStamp());
    Map<Integer, Progress> next = new LinkedHashMap<>();
    for (Victim victim : victims) {
      int index = victim.task().index();
      int chunk = index / Constants.CHUNK_TASKS;
      if (next.containsKey(chunk) || next.size() < settings.state().txnOps()) {
        Progress progress = next.computeIfAbsent(chunk, c -> view.progress(job, c).copy());
        Progress.LiveTask live = progress.live.get(index);
        progress.live.put(index, new Progress.LiveTask(live.attempt(), live.partition(), true));
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
