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

/** Places the tasks granted to a partition on its machines, in order of priority. */
final class FirstFitPlacer {
  /** Space left in a partition's record for the next write. */
  interface RecordSpace {
    /** Whether the next write can place a task on the machine. */
    boolean hasSpace(String machine);

    /**
     * Reserves the bytes of a task on the machine; returns true if fewer machines may have space
     * now.
     */
    boolean reserve(String machine, int bytes);
  }

  /**
   * The granted tasks of a partition to be placed, by machine, and those to be returned to the
   * queue, each with its attempt.
   */
  record Plan(Map<String, Map<TaskId, Integer>> placements, Map<TaskId, Integer> returned) {}

  private final Clock clock;
  private final Settings settings;
  private final StateCache view;
  private final Map<String, WorkerSession> sessions;
  private final ConsolidationRound rounds;
  private final CapacityCache capacityCache;
  private final Map<TaskId, Long> unplacedSince = new HashMap<>();
  private final TaskFailures failures;

  /** Machines that a consolidation round chose for pending tasks. */
  private final Map<TaskId, String> preferredMachines = new HashMap<>();

  FirstFitPlacer(
      Clock clock,
      Settings settings,
      StateCache view,
      Map<String, WorkerSession> sessions,
      ConsolidationRound rounds,
      Replication replication) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.sessions = sessions;
    this.rounds = rounds;
    this.capacityCache = new CapacityCache(view);
    this.failures = new TaskFailures(clock, view, replication);
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
  Plan plan(Partition part, long claim, Set<TaskId> leaving, int mostJobs, RecordSpace space) {
    long now = clock.now();
    Map<String, Map<TaskId, Integer>> onto = new LinkedHashMap<>();
    Map<TaskId, Integer> back = new LinkedHashMap<>();
    Set<TaskId> unplaced = view.unplaced(part);
    unplacedSince.keySet().removeIf(t -> !isUnplaced(t));
    if (unplaced.isEmpty()) {
      return new Plan(onto, back);
    }
    List<TaskId> todo = new ArrayList<>(unplaced);
    todo.sort(Comparator.comparing((TaskId t) -> priority(t)).thenComparing(t -> t));
    List<MachineCapacity> free = capacities(part, claim);
    free.removeIf(r -> !space.hasSpace(r.machine().name()));
    Set<String> jobs = new HashSet<>();
    MachineCapacity last = null;
    String lastJob = null;
    String fullFor = null;
    for (TaskId t : todo) {
      StateCache.Entry<Job> j = view.jobs.get(t.job());
      Progress.Live l = view.grant(t);
      if (leaving.contains(t) || l == null) {
        continue;
      }
      long since = unplacedSince.computeIfAbsent(t, k -> now);
      boolean over = !view.runs(t.job()) || l.stop();
      JobSpec s = over ? null : j.value().spec();
      MachineCapacity r = null;
      boolean again = false;
      if (!over && (jobs.contains(t.job()) || jobs.size() < mostJobs) && !t.job().equals(fullFor)) {
        again =
            t.job().equals(lastJob)
                && !s.service()
                && last.fits(s)
                && space.hasSpace(last.machine().name());
        r = again ? last : preferred(free, t, s);
        r = r == null ? bestMachine(free, s) : r;
        if (r == null) {
          fullFor = t.job(); // its other tasks would not fit either
        }
      }
      if (r != null) {
        r.take(s);
        last = r;
        lastJob = t.job();
        String name = r.machine().name();
        jobs.add(t.job());
        Map<TaskId, Integer> there = onto.computeIfAbsent(name, k -> new LinkedHashMap<>());
        there.put(t, l.attempt());
        int bytes = Constants.RECORD_TASK_BYTES + (again ? 0 : t.job().length());
        if (space.reserve(name, bytes)) {
          free.removeIf(x -> !space.hasSpace(x.machine().name()));
        }
      } else if (over || now - since > Constants.UNGRANT_MS) {
        back.put(t, l.attempt());
        unplacedSince.remove(t); // if granted here again, the task waits anew
      }
    }
    return new Plan(onto, back);
  }

  private boolean isUnplaced(TaskId t) {
    Progress.Live l = view.grant(t);
    return l != null && view.unplaced(l.part()).contains(t);
  }

  private JobSpec.Priority priority(TaskId t) {
    StateCache.Entry<Job> j = view.jobs.get(t.job());
    return j == null ? JobSpec.Priority.LOW : j.value().spec().priority();
  }

  List<MachineCapacity> capacities(Partition part, long claim) {
    List<MachineCapacity> out = new ArrayList<>();
    Map<String, List<TaskId>> coming = rounds.incomingTasks();
    for (String name : view.machinesOf(part)) {
      WorkerSession a = sessions.get(name);
      StateCache.Entry<Machine> e = view.machines.get(name);
      if (a == null || a.claim != claim || !placeable(a, e.value())) {
        continue;
      }
      MachineCapacity r = freeCapacity(a, e.value());
      if (r != null) {
        for (TaskId t : coming.getOrDefault(name, List.of())) {
          r.take(view.jobs.get(t.job()).value().spec());
        }
        out.add(r);
      }
    }
    return out;
  }

  boolean placeable(WorkerSession a, Machine m) {
    return a.claimConfirmed()
        && !a.leaseExpired
        && !a.missesResponses()
        && a.noticeUntil == 0
        && m.condition() == Machine.Condition.OK
        && !view.drains.containsKey(m.name())
        && recentlyHeard(a);
  }

  boolean recentlyHeard(WorkerSession a) {
    return clock.now() - a.lastHeard
        <= settings.workers().reportS() * 1000 * Constants.RECENTLY_HEARD_REPORTS;
  }

  MachineCapacity freeCapacity(WorkerSession a, Machine m) {
    MachineCapacity r = capacityCache.of(m);
    if (r != null) {
      for (Map.Entry<TaskId, WorkerCodec.ReportedTask> s : a.reported.entrySet()) {
        if (s.getValue().state() != WorkerCodec.State.ENDED && !m.tasks().containsKey(s.getKey())) {
          StateCache.Entry<Job> j = view.jobs.get(s.getKey().job());
          if (j != null) {
            r.take(j.value().spec()); // not in the record, but running until killed
          }
        }
      }
    }
    return r;
  }

  /**
   * The machine that a round chose for the task; null if there is none or the task no longer fits.
   */
  private MachineCapacity preferred(List<MachineCapacity> free, TaskId t, JobSpec s) {
    String name = preferredMachines.remove(t);
    if (name != null) {
      for (MachineCapacity r : free) {
        if (r.machine().name().equals(name) && r.fits(s)) {
          return r;
        }
      }
    }
    return null;
  }

  /** The machine that suits best; null if none fits or the job waits for its retry. */
  private MachineCapacity bestMachine(List<MachineCapacity> free, JobSpec s) {
    if (failures.inBackoff(s.id())) {
      return null;
    }
    MachineCapacity best = null;
    for (MachineCapacity r : free) {
      if (!r.fits(s) || failures.avoidsMachine(s.id(), r.machine().name())) {
        continue;
      }
      if (best == null || r.better(best, s)) {
        best = r;
      }
    }
    return best;
  }
}
