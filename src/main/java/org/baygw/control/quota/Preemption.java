package org.baygw.control.quota;

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
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Job;
import org.baygw.control.model.JobSpec;
import org.baygw.control.model.Machine;
import org.baygw.control.model.Progress;
import org.baygw.control.model.TaskId;
import org.baygw.control.placement.Room;
import org.baygw.control.placement.Rooms;
import org.baygw.control.store.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Chooses the tasks that are stopped so that others get room; the desk writes what is chosen. */
final class Preemption {
  private static final Logger LOG = LoggerFactory.getLogger(Preemption.class);

  private final Clock clock;
  private final Settings settings;
  private final View view;
  private final Membership membership;
  private final Rooms rooms;

  /** Jobs with a write under way, and those within their team's guarantee, as the desk knows them. */
  private final Set<String> busy;

  private final Set<String> guaranteed;

  /** When the desk granted what is live. */
  private final Map<TaskId, Long> grantedAt;

  /** Tasks whose stop is being written: their room counts as coming free, or more would be stopped. */
  private final Set<TaskId> stopping = new HashSet<>();

  /** Where the look for what to stop begins, so that each machine has its turn. */
  private int preemptFrom;

  Preemption(
      Clock clock,
      Settings settings,
      View view,
      Membership membership,
      Rooms rooms,
      Set<String> busy,
      Set<String> guaranteed,
      Map<TaskId, Long> grantedAt) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.membership = membership;
    this.rooms = rooms;
    this.busy = busy;
    this.guaranteed = guaranteed;
    this.grantedAt = grantedAt;
  }

  /** A task that could be stopped to make room. */
  private record Victim(TaskId task, JobSpec spec, double cost) {}

  /**
   * Makes room for production jobs and for jobs within their team's guarantee, as the protocol
   * allows: by stopping work of lower priority, or for a guarantee what another team borrows. What
   * is covered that way leaves the list, so that nothing is rented for it. Returns what to stop, by job.
   */
  Map<String, List<TaskId>> makeRoom(List<Desk.Unmet> left, Map<String, Desk.Use> use) {
    stopping.removeIf(t -> view.grant(t) == null);
    // As many a second, however long the passes take that look at so many machines.
    double most =
        Constants.PREEMPT_PER_PASS
            * (1 + view.machines.size() * Constants.DESK_PASS_MS_A_MACHINE / Constants.DESK_PASS_MS);
    List<Room> found = null;
    Map<Room, List<Victim>> victims = new HashMap<>();
    Map<String, List<TaskId>> stops = new LinkedHashMap<>();
    int stopped = 0;
    for (var it = left.listIterator(); it.hasNext() && stopped < most; ) {
      Desk.Unmet u = it.next();
      if (u.spec().priority() != JobSpec.Priority.PRODUCTION && !u.reclaims()) {
        continue;
      }
      if (found == null) {
        found = stoppable();
      }
      int count = u.count();
      Map<Room, Stops> options = options(u, found, victims, use);
      while (count > 0 && stopped < most) {
        int n = makeRoomForOne(u, victims, options, use, stops);
        if (n < 0) {
          break;
        }
        stopped += n;
        count--;
      }
      if (count == 0) {
        it.remove();
      } else {
        it.set(u.left(count));
      }
    }
    if (!stops.isEmpty()) {
      LOG.info("stop {} tasks of {} jobs to make room", stopped, stops.size());
    }
    stops.values().forEach(stopping::addAll);
    return stops;
  }

  /** The stop of these tasks was not written. */
  void notStopped(List<TaskId> tasks) {
    stopping.removeAll(tasks);
  }

  /** What would be stopped on a machine for one task, and what that costs. */
  private record Stops(List<Victim> victims, double cost) {}

  /**
   * Where one of the tasks could come, by stopping what: on machines that have its image, and where
   * too few do on others. The cheapest of some is nearly as good as the cheapest of all.
   */
  private Map<Room, Stops> options(
      Desk.Unmet u, List<Room> rooms, Map<Room, List<Victim>> victims, Map<String, Desk.Use> use) {
    Map<Room, Stops> out = new LinkedHashMap<>();
    int looked = 0;
    for (boolean image : new boolean[] {true, false}) {
      for (int i = 0; i < rooms.size() && looked < Constants.PREEMPT_LOOKS; i++) {
        Room r = rooms.get((preemptFrom + i) % rooms.size());
        if (r.machine().images().contains(u.spec().image()) != image
            || u.zone() != null && !u.zone().equals(r.machine().zone())
            || !r.suits(u.spec())) {
          continue;
        }
        looked++;
        Stops s = needed(u, r, victims.computeIfAbsent(r, this::victims), use);
        if (s != null) {
          out.put(r, s);
        }
      }
    }
    if (rooms.size() > Constants.PREEMPT_LOOKS) {
      preemptFrom = (preemptFrom + looked) % rooms.size();
    }
    return out;
  }

  /** Chooses what to stop for one task; returns how many that are, or -1 where nothing helps. */
  private int makeRoomForOne(
      Desk.Unmet u,
      Map<Room, List<Victim>> victims,
      Map<Room, Stops> options,
      Map<String, Desk.Use> use,
      Map<String, List<TaskId>> stops) {
    while (true) {
      Room at = null;
      for (Map.Entry<Room, Stops> e : options.entrySet()) {
        if (at == null || e.getValue().cost() < options.get(at).cost()) {
          at = e.getKey();
        }
      }
      if (at == null) {
        return -1;
      }
      List<Victim> all = victims.get(at);
      // What the other tasks' stops left of a team's borrowing may have changed it.
      Stops s = needed(u, at, all, use);
      if (s == null || !s.victims().equals(options.get(at).victims())) {
        replace(options, at, s);
        continue;
      }
      for (Victim v : s.victims()) {
        at.free(v.spec());
        all.remove(v);
        use.get(v.spec().team()).add(v.spec(), -1);
        stops.computeIfAbsent(v.task().job(), k -> new ArrayList<>()).add(v.task());
      }
      at.take(u.spec());
      replace(options, at, needed(u, at, all, use));
      return s.victims().size();
    }
  }

  private static void replace(Map<Room, Stops> options, Room at, Stops s) {
    if (s == null) {
      options.remove(at);
    } else {
      options.put(at, s);
    }
  }

  /** The machines on which something could be stopped. */
  private List<Room> stoppable() {
    List<Room> out = new ArrayList<>();
    for (View.Entry<Machine> e : view.machines.values()) {
      Machine m = e.value();
      Room r =
          m.condition() == Machine.Condition.OK && !view.drains.containsKey(m.name())
                  && membership.owner(m.part()) != null
              ? rooms.of(m)
              : null;
      if (r != null) {
        out.add(r);
      }
    }
    return out;
  }

  /** What could be stopped on a machine, cheapest first; what stops already leaves its room. */
  private List<Victim> victims(Room r) {
    List<Victim> list = new ArrayList<>();
    for (TaskId t : r.machine().tasks().keySet()) {
      View.Entry<Job> j = view.jobs.get(t.job());
      Progress.Live l = view.grant(t);
      if (j == null || l == null) {
        continue;
      }
      if (l.stop() || stopping.contains(t) || !j.value().open()) {
        r.free(j.value().spec());
      } else if (!busy.contains(t.job())
          && j.value().spec().priority() != JobSpec.Priority.PRODUCTION) {
        list.add(new Victim(t, j.value().spec(), cost(t, j.value().spec())));
      }
    }
    list.sort(Comparator.comparingDouble(Victim::cost).thenComparing(Victim::task));
    return list;
  }

  /**
   * What stopping a task costs, in seconds: the work it loses, or the time it takes to save, in which
   * the one that needs the room waits.
   */
  private double cost(TaskId t, JobSpec s) {
    if (s.checkpoints()) {
      return Constants.SAVE_COST * s.saveS();
    }
    Long at = grantedAt.get(t);
    return at == null ? s.estimateS() : Math.min(s.estimateS(), (clock.now() - at) / 1000.0);
  }

  /** What to stop so that the task fits on the machine; null if nothing would do. */
  private Stops needed(Desk.Unmet u, Room r, List<Victim> list, Map<String, Desk.Use> use) {
    JobSpec s = u.spec();
    if (!r.suits(s)) {
      return null; // a copy of the service has come there in thought
    }
    double cpus = 0;
    double gpus = 0;
    double memoryGb = 0;
    double cost = r.machine().images().contains(s.image()) ? 0 : Constants.COLD_COST_S;
    List<Victim> need = new ArrayList<>();
    Map<String, Double> taken = u.reclaims() ? new HashMap<>() : Map.of();
    boolean fits = r.fitsWith(s, cpus, gpus, memoryGb);
    for (int i = 0; i < list.size() && !fits; i++) {
      Victim v = list.get(i);
      JobSpec other = v.spec();
      if (s.priority() != JobSpec.Priority.PRODUCTION) {
        // Only a job that reclaims its guarantee comes here: it may stop what others borrow.
        String team = other.team();
        double over =
            use.get(team).cpus - taken.getOrDefault(team, 0.0) - settings.team(team).cpus();
        if (guaranteed.contains(v.task().job()) || team.equals(s.team())
            || over < other.cpus() - Constants.EPS) {
          continue;
        }
        taken.merge(team, other.cpus(), Double::sum);
      }
      need.add(v);
      cpus += other.cpus();
      gpus += other.gpus();
      memoryGb += other.memoryGb();
      cost += v.cost();
      fits = r.fitsWith(s, cpus, gpus, memoryGb);
    }
    return fits ? new Stops(need, cost) : null;
  }
}
