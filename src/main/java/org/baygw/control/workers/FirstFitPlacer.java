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

/** First fit for the tasks granted to a partition. */
final class FirstFitPlacer {
  /** What a partition's record can still take. */
  interface Space {
    /** Whether a task on the machine can go into the next write. */
    boolean open(String machine);

    /** A task that takes so many bytes goes there; true if fewer machines may be open now. */
    boolean take(String machine, int bytes);
  }

  /** What to do with the granted tasks of a partition. */
  record Plan(Map<String, Map<TaskId, Integer>> onto, Map<TaskId, Integer> back) {}

  private final Clock clock;
  private final Settings settings;
  private final StateCache view;
  private final Map<String, WorkerSession> sessions;
  private final ConsolidationRound rounds;
  private final CapacityCache rooms;
  private final Map<TaskId, Long> unplacedSince = new HashMap<>();
  private final TaskFailures failures;

  /** Where a round wants pending tasks. */
  private final Map<TaskId, String> chosen = new HashMap<>();

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
    this.rooms = new CapacityCache(view);
    this.failures = new TaskFailures(clock, view, replication);
  }

  /** What is learnt from tasks that fail. */
  TaskFailures failures() {
    return failures;
  }

  void choose(Map<TaskId, String> placed) {
    chosen.clear();
    chosen.putAll(placed);
  }

  /**
   * Finds machines for a partition's granted tasks, up to so many jobs and what its record can
   * take.
   */
  Plan plan(Partition part, long claim, Set<TaskId> leaving, int mostJobs, Space space) {
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
    List<MachineCapacity> free = rooms(part, claim);
    free.removeIf(r -> !space.open(r.machine().name()));
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
      boolean over = !view.shouldRun(t.job()) || l.stop();
      JobSpec s = over ? null : j.value().spec();
      MachineCapacity r = null;
      boolean again = false;
      if (!over && (jobs.contains(t.job()) || jobs.size() < mostJobs) && !t.job().equals(fullFor)) {
        again =
            t.job().equals(lastJob)
                && !s.service()
                && last.fits(s)
                && space.open(last.machine().name());
        r = again ? last : wanted(free, t, s);
        r = r == null ? firstFit(free, s) : r;
        if (r == null) {
          fullFor = t.job(); // nor would its other tasks find any
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
        if (space.take(name, bytes)) {
          free.removeIf(x -> !space.open(x.machine().name()));
        }
      } else if (over || now - since > Constants.UNGRANT_MS) {
        back.put(t, l.attempt());
        unplacedSince.remove(t); // if it is granted here again it waits anew
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

  List<MachineCapacity> rooms(Partition part, long claim) {
    List<MachineCapacity> out = new ArrayList<>();
    Map<String, List<TaskId>> coming = rounds.coming();
    for (String name : view.machinesOf(part)) {
      WorkerSession a = sessions.get(name);
      StateCache.Entry<Machine> e = view.machines.get(name);
      if (a == null || a.claim != claim || !placeable(a, e.value())) {
        continue;
      }
      MachineCapacity r = room(a, e.value());
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
    return a.trusted()
        && !a.leaseOver
        && !a.deaf()
        && a.noticeUntil == 0
        && m.condition() == Machine.Condition.OK
        && !view.drains.containsKey(m.name())
        && heardLately(a);
  }

  boolean heardLately(WorkerSession a) {
    return clock.now() - a.lastHeard
        <= settings.workers().reportS() * 1000 * Constants.HEARD_REPORTS;
  }

  MachineCapacity room(WorkerSession a, Machine m) {
    MachineCapacity r = rooms.of(m);
    if (r != null) {
      for (Map.Entry<TaskId, WorkerCodec.Seen> s : a.seen.entrySet()) {
        if (s.getValue().state() != WorkerCodec.State.ENDED && !m.tasks().containsKey(s.getKey())) {
          StateCache.Entry<Job> j = view.jobs.get(s.getKey().job());
          if (j != null) {
            r.take(j.value().spec()); // not in the record, but there until it is killed
          }
        }
      }
    }
    return r;
  }

  /** The machine that a round wants the task on, if it still fits there. */
  private MachineCapacity wanted(List<MachineCapacity> free, TaskId t, JobSpec s) {
    String name = chosen.remove(t);
    if (name != null) {
      for (MachineCapacity r : free) {
        if (r.machine().name().equals(name) && r.fits(s)) {
          return r;
        }
      }
    }
    return null;
  }

  /** The best suited machine. */
  private MachineCapacity firstFit(List<MachineCapacity> free, JobSpec s) {
    if (failures.waits(s.id())) {
      return null;
    }
    MachineCapacity best = null;
    for (MachineCapacity r : free) {
      if (!r.fits(s) || failures.avoids(s.id(), r.machine().name())) {
        continue;
      }
      if (best == null || r.better(best, s)) {
        best = r;
      }
    }
    return best;
  }
}
