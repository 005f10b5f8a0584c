package org.baygw.control.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Job;
import org.baygw.control.model.JobSpec;
import org.baygw.control.model.Machine;
import org.baygw.control.model.Part;
import org.baygw.control.model.Progress;
import org.baygw.control.model.Records;
import org.baygw.control.model.TaskId;
import org.baygw.control.placement.Room;
import org.baygw.control.store.Keys;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;
import org.baygw.control.store.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The queue, held by one controller. It grants tasks to parts by durable writes; a granted task counts
 * against its team until its part's owner has proved it gone.
 */
public final class Desk {
  /** A task that found no room now; zone is null where any will do. */
  public record Unmet(JobSpec spec, String zone, boolean reclaims) {}

  private static final Logger LOG = LoggerFactory.getLogger(Desk.class);

  private final Clock clock;
  private final Settings settings;
  private final Store store;
  private final View view;
  private final Membership membership;

  /** Jobs with a write under way, and the grants it would make: they count until it is certain. */
  private final Map<String, Integer> busy = new HashMap<>();

  /** Unfinished jobs that fit into their team's guarantee together with its earlier ones. */
  private final Set<String> guaranteed = new HashSet<>();

  /** Tasks whose stop is being written: their room counts as coming free, or more would be stopped. */
  private final Set<TaskId> stopping = new HashSet<>();

  /** When this desk granted what is live; a former desk's grants count as old. */
  private final Map<TaskId, Long> grantedAt = new HashMap<>();

  private List<Unmet> unmet = List.of();
  private long nextPass;
  private long seenChanges = -1;

  /** What a team's live tasks take. */
  private static final class Use {
    double cpus;
    double gpus;

    void add(JobSpec s, int n) {
      cpus += s.cpus() * n;
      gpus += s.gpus() * n;
    }
  }

  /** A job with tasks that wait; idleMs is its age if it is within a guarantee and nothing has started. */
  private record Queued(
      String id,
      JobSpec spec,
      long stamp,
      boolean guaranteed,
      long idleMs,
      int late,
      double work,
      int pending,
      int[] zoneLive) {}

  public Desk(Clock clock, Settings settings, Store store, View view, Membership membership) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.view = view;
    this.membership = membership;
  }

  /** Tasks that need machines which are not there. */
  public List<Unmet> unmet() {
    return unmet;
  }

  public void tick() {
    long now = clock.now();
    if (!store.loaded() || membership.desk() == 0) {
      unmet = List.of();
      return;
    }
    if (now < nextPass || view.changes() == seenChanges && now < nextPass + 1000) {
      return;
    }
    nextPass = now + Constants.DESK_PASS_MS;
    seenChanges = view.changes();
    pass();
  }

  private void pass() {
    Map<String, Use> use = new HashMap<>();
    for (Settings.Team t : settings.teams()) {
      use.put(t.name(), new Use());
    }
    Map<String, Double> demand = new HashMap<>();
    guaranteed.clear();
    List<Queued> queue = new ArrayList<>();
    for (Map.Entry<String, View.Entry<Job>> e : view.jobs.entrySet()) {
      String id = e.getKey();
      Job job = e.getValue().value();
      TreeMap<Integer, View.Entry<Progress>> chunks = view.progress.get(id);
      if (chunks == null && !job.open()) {
        continue;
      }
      Use u = use.get(job.spec().team());
      int live = 0;
      int done = 0;
      int[] zoneLive = new int[settings.zones().size()];
      if (chunks != null) {
        for (View.Entry<Progress> p : chunks.values()) {
          live += p.value().live.size();
          done += p.value().done.cardinality();
          for (Progress.Live l : p.value().live.values()) {
            int z = settings.zones().indexOf(l.part().zone());
            if (z >= 0) {
              zoneLive[z]++;
            }
          }
        }
      }
      if (u != null) {
        u.add(job.spec(), live + busy.getOrDefault(id, 0));
      }
      if (!job.open()) {
        if (live == 0 && !busy.containsKey(id)) {
          clean(id, chunks);
        }
        continue;
      }
      if (done == job.spec().tasks()) {
        if (!busy.containsKey(id)) {
          finish(id, e.getValue());
        }
        continue;
      }
      Settings.Team team = settings.team(job.spec().team());
      if (team == null) {
        continue;
      }
      double sum =
          demand.merge(
              team.name(), (job.spec().tasks() - done) * job.spec().cpus(), Double::sum);
      if (sum <= team.cpus() + Constants.EPS) {
        guaranteed.add(id);
      }
      int pending = job.spec().tasks() - done - live;
      if (pending > 0 && !busy.containsKey(id)) {
        queue.add(
            new Queued(
                id,
                job.spec(),
                e.getValue().stamp(),
                guaranteed.contains(id),
                guaranteed.contains(id) && live + done == 0
                    ? clock.wall() - job.acceptedMs()
                    : 0,
                late(job),
                (job.spec().tasks() - done) * job.spec().cpus() * job.spec().estimateS(),
                pending,
                zoneLive));
      }
    }
    queue.sort(
        Comparator.comparing(
                (Queued q) -> q.spec().priority() == JobSpec.Priority.PRODUCTION ? 0 : 1)
            // First what may stop others, or the room would go to the next in line and be taken again.
            .thenComparing(q -> q.idleMs() > Constants.FIRST_MS ? 0 : 1)
            .thenComparing(q -> q.guaranteed() ? 0 : 1)
            // More jobs are in time if those that can no longer be, and the long ones, let others pass.
            .thenComparing(Queued::late)
            .thenComparing(q -> q.spec().priority())
            .thenComparing(Queued::work)
            .thenComparing(Queued::stamp));
    Map<Part, List<Room>> rooms = rooms();
    List<Unmet> left = new ArrayList<>();
    for (Queued q : queue) {
      serve(q, rooms, use.get(q.spec().team()), left);
    }
    grantedAt.keySet().removeIf(t -> !live(t) && !busy.containsKey(t.job()));
    stopping.removeIf(t -> !live(t));
    preempt(left, use);
    unmet = left;
  }

  /** A task that could be stopped to make room. */
  private record Victim(TaskId task, JobSpec spec, double cost) {}

  /**
   * Makes room for production jobs and for jobs within their team's guarantee, as the protocol
   * allows: by stopping work of lower priority, or for a guarantee what another team borrows. What
   * is covered that way leaves the list, so that nothing is rented for it.
   */
  private void preempt(List<Unmet> left, Map<String, Use> use) {
    Map<Room, List<Victim>> rooms = null;
    Map<String, List<Victim>> stops = new LinkedHashMap<>();
    int stopped = 0;
    for (var it = left.iterator(); it.hasNext() && stopped < Constants.PREEMPT_PER_PASS; ) {
      Unmet u = it.next();
      if (u.spec().priority() != JobSpec.Priority.PRODUCTION && !u.reclaims()) {
        continue;
      }
      if (rooms == null) {
        rooms = victims();
      }
      List<Victim> chosen = null;
      Room at = null;
      double least = Double.POSITIVE_INFINITY;
      for (Map.Entry<Room, List<Victim>> e : rooms.entrySet()) {
        Room r = e.getKey();
        if (u.zone() != null && !u.zone().equals(r.machine().zone())) {
          continue;
        }
        List<Victim> need = needed(u, r, e.getValue(), use);
        if (need != null) {
          double cost =
              r.machine().images().contains(u.spec().image()) ? 0 : Constants.COLD_COST_S;
          for (Victim v : need) {
            cost += v.cost();
          }
          if (cost < least) {
            least = cost;
            chosen = need;
            at = r;
          }
        }
      }
      if (chosen == null) {
        continue;
      }
      it.remove();
      for (Victim v : chosen) {
        at.free(v.spec());
        rooms.get(at).remove(v);
        use.get(v.spec().team()).add(v.spec(), -1);
        stops.computeIfAbsent(v.task().job(), k -> new ArrayList<>()).add(v);
        stopped++;
      }
      at.take(u.spec());
    }
    stops.forEach(this::stop);
  }

  private boolean live(TaskId t) {
    return view.grant(t) != null;
  }

  /** The room that stopping tasks will leave, and what else could be stopped, cheapest first. */
  private Map<Room, List<Victim>> victims() {
    Map<Room, List<Victim>> out = new LinkedHashMap<>();
    for (View.Entry<Machine> e : view.machines.values()) {
      Machine m = e.value();
      Room r = Room.of(view, m);
      if (r == null || m.condition() != Machine.Condition.OK
          || view.drains.containsKey(m.name()) || membership.owner(m.part()) == null) {
        continue;
      }
      List<Victim> list = new ArrayList<>();
      for (TaskId t : m.tasks().keySet()) {
        View.Entry<Job> j = view.jobs.get(t.job());
        Progress.Live l = view.grant(t);
        if (j == null || l == null) {
          continue;
        }
        if (l.stop() || stopping.contains(t) || !j.value().open()) {
          r.free(j.value().spec());
        } else if (!busy.containsKey(t.job())) {
          list.add(new Victim(t, j.value().spec(), cost(t, j.value().spec())));
        }
      }
      list.sort(
          Comparator.comparing(Victim::cost)
              .thenComparing(Victim::task));
      out.put(r, list);
    }
    return out;
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

  /** The victims that would make the task fit on the machine; null if none would. */
  private List<Victim> needed(Unmet u, Room r, List<Victim> list, Map<String, Use> use) {
    JobSpec s = u.spec();
    List<Victim> need = new ArrayList<>();
    Map<String, Double> taken = new HashMap<>();
    boolean fits = r.fits(s);
    for (int i = 0; i < list.size() && !fits; i++) {
      Victim v = list.get(i);
      String team = v.spec().team();
      double over =
          use.get(team).cpus - taken.getOrDefault(team, 0.0) - settings.team(team).cpus();
      boolean lower =
          s.priority() == JobSpec.Priority.PRODUCTION
              && v.spec().priority() != JobSpec.Priority.PRODUCTION;
      boolean borrowed =
          u.reclaims() && !guaranteed.contains(v.task().job()) && !team.equals(s.team()) && over >= v.spec().cpus() - Constants.EPS;
      if (lower || borrowed && v.spec().priority() != JobSpec.Priority.PRODUCTION) {
        need.add(v);
        taken.merge(team, v.spec().cpus(), Double::sum);
        r.free(v.spec());
        fits = r.fits(s);
      }
    }
    need.forEach(v -> r.take(v.spec()));
    return fits ? need : null;
  }

  private void stop(String job, List<Victim> victims) {
    Txn txn = new Txn().when(Keys.claim(Keys.DESK), membership.desk());
    Map<Integer, Progress> next = new LinkedHashMap<>();
    for (Victim v : victims) {
      int chunk = v.task().index() / Constants.CHUNK_TASKS;
      if (next.containsKey(chunk) || next.size() < settings.state().txnOps()) {
        Progress p = next.computeIfAbsent(chunk, c -> view.progress(job, c).copy());
        Progress.Live l = p.live.get(v.task().index());
        p.live.put(v.task().index(), new Progress.Live(l.attempt(), l.part(), true));
      }
    }
    next.forEach(
        (c, p) -> {
          String key = Keys.progress(job, c);
          txn.when(key, view.stamp(key)).put(key, Records.progress(p));
        });
    LOG.info("stop {} tasks of {} to make room", victims.size(), job);
    List<TaskId> tasks = victims.stream().map(Victim::task).toList();
    stopping.addAll(tasks);
    write(
        job,
        0,
        Store.Urgency.GRANT,
        txn,
        ok -> {
          if (!ok) {
            stopping.removeAll(tasks);
          }
        });
  }

  /** How many of its class's aims the job would miss even if it started now. */
  private int late(Job job) {
    double age = (clock.wall() - job.acceptedMs()) / 1000.0;
    int late = 0;
    for (Settings.Objective o : settings.objectives()) {
      if (o.jobClass().equals(job.spec().jobClass())) {
        Double due = job.spec().deadlineS();
        double within = o.times() > 0 ? due == null ? 0 : due * o.times() : o.withinS();
        late += within > 0 && age + job.spec().estimateS() > within ? 1 : 0;
      }
    }
    return late;
  }

  /** What the parts have free, less the tasks granted to them that are on no machine yet. */
  private Map<Part, List<Room>> rooms() {
    Map<Part, List<Room>> rooms = new TreeMap<>();
    for (View.Entry<Machine> e : view.machines.values()) {
      Machine m = e.value();
      if (m.condition() == Machine.Condition.OK && !view.drains.containsKey(m.name())
          && membership.owner(m.part()) != null) {
        Room r = Room.of(view, m);
        if (r != null) {
          rooms.computeIfAbsent(m.part(), k -> new ArrayList<>()).add(r);
        }
      }
    }
    rooms.forEach(
        (part, list) -> {
          for (TaskId t : view.unplaced(part)) {
            View.Entry<Job> j = view.jobs.get(t.job());
            if (j != null) {
              for (Room r : list) {
                if (r.fits(j.value().spec())) {
                  r.take(j.value().spec());
                  break;
                }
              }
            }
          }
        });
    return rooms;
  }

  private void serve(Queued q, Map<Part, List<Room>> rooms, Use use, List<Unmet> left) {
    JobSpec s = q.spec();
    Settings.Team team = settings.team(s.team());
    Map<Integer, Progress> next = new LinkedHashMap<>();
    int[] zoneLive = q.zoneLive().clone();
    int granted = 0;
    int wanting = q.pending();
    int chunks = (s.tasks() + Constants.CHUNK_TASKS - 1) / Constants.CHUNK_TASKS;
    boolean full = false;
    outer:
    for (int c = 0; c < chunks && wanting > 0; c++) {
      Progress now = view.progress(q.id(), c);
      int to = Math.min(s.tasks(), (c + 1) * Constants.CHUNK_TASKS);
      for (int i = c * Constants.CHUNK_TASKS; i < to && wanting > 0; i++) {
        if (now != null && (now.done.get(i) || now.live.containsKey(i))) {
          continue;
        }
        if (use.cpus + s.cpus() > team.cpusMax() + Constants.EPS
            || use.gpus + s.gpus() > team.gpusMax() + Constants.EPS) {
          break outer;
        }
        Part part = full ? null : roomiest(rooms, s, zoneLive);
        if (part == null) {
          full = true;
          if (left.size() > 2_000) {
            break outer;
          }
          use.add(s, 1); // in thought: what is rented for must also be allowed to run
          left.add(new Unmet(s, zoneFor(s, zoneLive), q.idleMs() > Constants.RECLAIM_MS));
        } else if (next.containsKey(c) || next.size() < settings.state().txnOps() / 2) {
          use.add(s, 1);
          Progress p =
              next.computeIfAbsent(c, k -> now == null ? new Progress() : now.copy());
          p.grant(i, part);
          grantedAt.put(new TaskId(q.id(), i), clock.now());
          zoneLive[settings.zones().indexOf(part.zone())]++;
          granted++;
        }
        wanting--;
      }
    }
    if (granted > 0) {
      grant(q, next, granted);
    }
  }

  /** The part with the most free room among those that have a machine for the task. */
  private Part roomiest(Map<Part, List<Room>> rooms, JobSpec s, int[] zoneLive) {
    String only = onlyZone(s, zoneLive);
    Part best = null;
    Room bestRoom = null;
    double most = -1;
    int bestRank = -1;
    for (Map.Entry<Part, List<Room>> e : rooms.entrySet()) {
      int z = settings.zones().indexOf(e.getKey().zone());
      if (z < 0 || only != null && !only.equals(e.getKey().zone())
          || s.spread() && zoneLive[z] >= s.zoneCap()) {
        continue;
      }
      double free = 0;
      Room fit = null;
      int rank = -1;
      for (Room r : e.getValue()) {
        if (r.fits(s)) {
          free += r.tasks() > 0 ? r.freeCpus() : 0;
          if (r.rank(s) > rank || r.rank(s) == rank && !s.service()) {
            fit = r;
            rank = r.rank(s);
          }
        }
      }
      if (fit != null && (rank > bestRank || rank == bestRank && free > most)) {
        best = e.getKey();
        bestRoom = fit;
        most = free;
        bestRank = rank;
      }
    }
    if (bestRoom != null) {
      bestRoom.take(s);
    }
    return best;
  }

  private String onlyZone(JobSpec s, int[] zoneLive) {
    if (s.zone() != null) {
      return s.zone();
    }
    if (s.oneZone()) {
      for (int z = 0; z < zoneLive.length; z++) {
        if (zoneLive[z] > 0) {
          return settings.zones().get(z);
        }
      }
    }
    return null;
  }

  /** Where a machine for the task would have to be; counts the task there. */
  private String zoneFor(JobSpec s, int[] zoneLive) {
    String only = onlyZone(s, zoneLive);
    if (only == null && (s.spread() || s.oneZone())) {
      int least = 0;
      for (int z = 1; z < zoneLive.length; z++) {
        if (zoneLive[z] < zoneLive[least]) {
          least = z;
        }
      }
      only = settings.zones().get(least);
    }
    if (only != null && settings.zones().contains(only)) {
      zoneLive[settings.zones().indexOf(only)]++;
    }
    return only;
  }

  private void grant(Queued q, Map<Integer, Progress> next, int count) {
    Txn txn =
        new Txn()
            .when(Keys.claim(Keys.DESK), membership.desk())
            .when(Keys.job(q.id()), q.stamp());
    next.forEach(
        (c, p) -> {
          String key = Keys.progress(q.id(), c);
          txn.when(key, view.stamp(key)).put(key, Records.progress(p));
        });
    LOG.debug("grant {} tasks of {}", count, q.id());
    write(q.id(), count, Store.Urgency.GRANT, txn);
  }

  /** Grants count against the team until it is certain whether they were made. */
  private void write(String job, int grants, Store.Urgency u, Txn txn) {
    write(job, grants, u, txn, ok -> {});
  }

  private void write(
      String job, int grants, Store.Urgency u, Txn txn, Consumer<Boolean> then) {
    busy.put(job, grants);
    store.settle(
        u,
        txn,
        Constants.STATE_TIMEOUT_MS,
        ok -> {
          busy.remove(job);
          then.accept(ok);
          nextPass = 0;
          seenChanges = -1;
        });
  }

  private void finish(String id, View.Entry<Job> job) {
    write(
        id,
        0,
        Store.Urgency.LAUNCH,
        new Txn()
            .when(Keys.claim(Keys.DESK), membership.desk())
            .when(Keys.job(id), job.stamp())
            .put(Keys.job(id), Records.job(job.value().with(Job.State.DONE))));
  }

  /** A job that is over and has no task left needs no progress. */
  private void clean(String id, TreeMap<Integer, View.Entry<Progress>> chunks) {
    Txn txn = new Txn().when(Keys.claim(Keys.DESK), membership.desk());
    for (Integer c : chunks.keySet()) {
      if (txn.writes() < settings.state().txnOps()) {
        String key = Keys.progress(id, c);
        txn.when(key, view.stamp(key)).delete(key);
      }
    }
    write(id, 0, Store.Urgency.MOVE, txn);
  }
}
