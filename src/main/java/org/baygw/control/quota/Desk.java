package org.baygw.control.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
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
import org.baygw.control.model.Roster;
import org.baygw.control.model.TaskId;
import org.baygw.control.placement.Room;
import org.baygw.control.placement.Rooms;
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
  /**
   * Tasks of a job that found no room now; zone is null where any will do, and waitedMs how long the
   * job has had such tasks.
   */
  public record Unmet(JobSpec spec, String zone, boolean reclaims, int count, long waitedMs) {
    private Unmet left(int count) {
      return new Unmet(spec, zone, reclaims, count, waitedMs);
    }
  }

  private static final Logger LOG = LoggerFactory.getLogger(Desk.class);

  private final Clock clock;
  private final Settings settings;
  private final Store store;
  private final View view;
  private final Membership membership;

  /** Jobs with a write under way, and the grants it would make: they count until it is certain. */
  private final Map<String, Integer> busy = new HashMap<>();

  /**
   * The parts of these grants. Their room is taken as well: a pass comes with every write that ends, and
   * would give the same room away again, to tasks that then wait there in vain.
   */
  private final Map<String, Map<Part, Integer>> underWay = new HashMap<>();

  /** Unfinished jobs that fit into their team's guarantee together with its earlier ones. */
  private final Set<String> guaranteed = new HashSet<>();

  /** Tasks whose stop is being written: their room counts as coming free, or more would be stopped. */
  private final Set<TaskId> stopping = new HashSet<>();

  /** When this desk granted what is live; a former desk's grants count as old. */
  private final Map<TaskId, Long> grantedAt = new HashMap<>();

  private final Rooms rooms;

  /** Shapes of tasks that found no room in this pass. */
  private final Set<String> full = new HashSet<>();

  /** Tasks granted and on no machine yet, and the parts that gave a job's tasks back, until when. */
  private final Map<TaskId, Part> waiting = new HashMap<>();

  private final Map<String, Map<Part, Long>> avoid = new HashMap<>();

  private final Map<String, Long> unmetSince = new HashMap<>();
  private List<Unmet> unmet = List.of();
  private long nextPass;
  private long nextClean;

  /** Where the look for what to stop begins, so that each machine has its turn. */
  private int preemptFrom;

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

  /** A job with tasks that wait; idleMs is its age if nothing of it has started. */
  private record Queued(
      String id,
      JobSpec spec,
      long acceptedMs,
      long stamp,
      boolean guaranteed,
      long idleMs,
      int late,
      double work,
      int pending,
      int[] zoneLive) {

    /**
     * Whether it waited long enough with nothing started to go before the others: soon within a
     * guarantee, and later in any case, or large jobs would never begin while small ones come.
     */
    boolean first() {
      return idleMs > (guaranteed ? Constants.FIRST_MS : Constants.STARVED_MS);
    }

    boolean reclaims() {
      return guaranteed && idleMs > Constants.RECLAIM_MS;
    }
  }

  public Desk(Clock clock, Settings settings, Store store, View view, Membership membership) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.view = view;
    this.membership = membership;
    this.rooms = new Rooms(view);
  }

  /** Tasks that need machines which are not there. */
  public List<Unmet> unmet() {
    return unmet;
  }

  /**
   * Whether nothing has changed since the pass that found them. Between a change and the next pass a
   * machine that has just come up would count neither as on its way nor as one that has room.
   */
  public boolean unmetIsCurrent() {
    return seenChanges == view.changes();
  }

  public int unmetTasks() {
    return unmet.stream().mapToInt(Unmet::count).sum();
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
    // A pass looks at all machines, so what passes cost a second must not grow with them.
    long large = (long) (view.machines.size() * Constants.DESK_PASS_MS_A_MACHINE);
    nextPass = now + large + (store.scarce() ? Constants.DESK_SCARCE_MS : Constants.DESK_PASS_MS);
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
    List<View.Entry<Job>> jobs = new ArrayList<>(view.active.values());
    jobs.sort(
        Comparator.comparing((View.Entry<Job> e) -> e.value().acceptedMs())
            .thenComparing(e -> e.value().spec().id()));
    for (View.Entry<Job> e : jobs) {
      Job job = e.value();
      JobSpec s = job.spec();
      String id = s.id();
      TreeMap<Integer, View.Entry<Progress>> chunks = view.progress.get(id);
      Use u = use.get(s.team());
      int live = 0;
      int done = 0;
      int[] zoneLive = new int[settings.zones().size()];
      if (chunks != null) {
        for (View.Entry<Progress> p : chunks.values()) {
          live += p.value().live.size();
          done += p.value().done.cardinality();
          if (s.spread() || s.oneZone()) {
            count(p.value(), zoneLive);
          }
        }
      }
      if (u != null) {
        u.add(s, live + busy.getOrDefault(id, 0));
      }
      if (!job.open()) {
        if (live == 0 && chunks != null && !busy.containsKey(id)) {
          clean(id, chunks);
        }
        continue;
      }
      if (done == s.tasks()) {
        if (!busy.containsKey(id)) {
          finish(id, e);
        }
        continue;
      }
      Settings.Team team = settings.team(s.team());
      if (team == null) {
        continue;
      }
      double sum = demand.merge(team.name(), (s.tasks() - done) * s.cpus(), Double::sum);
      if (sum <= team.cpus() + Constants.EPS) {
        guaranteed.add(id);
      }
      int pending = s.tasks() - done - live;
      if (pending > 0 && !busy.containsKey(id)) {
        long idle = live + done == 0 ? clock.wall() - job.acceptedMs() : 0;
        queue.add(
            new Queued(
                id,
                s,
                job.acceptedMs(),
                e.stamp(),
                guaranteed.contains(id),
                idle,
                late(job),
                (s.tasks() - done) * s.cpus() * s.estimateS(),
                pending,
                zoneLive));
      }
    }
    fold();
    noteUngranted();
    queue.sort(
        Comparator.comparing(
                (Queued q) -> q.spec().priority() == JobSpec.Priority.PRODUCTION ? 0 : 1)
            // First what may stop others, or the room would go to the next in line and be taken again.
            .thenComparing(q -> q.first() ? 0 : 1)
            .thenComparing(q -> q.guaranteed() ? 0 : 1)
            // More jobs are in time if those that can no longer be, and the long ones, let others pass.
            .thenComparing(Queued::late)
            .thenComparing(q -> q.spec().priority())
            .thenComparing(Queued::work)
            .thenComparing(Queued::acceptedMs)
            .thenComparing(Queued::id));
    Map<Part, List<Room>> free = rooms();
    List<Unmet> left = new ArrayList<>();
    full.clear();
    for (Queued q : queue) {
      serve(q, free, use.get(q.spec().team()), left);
    }
    if (clock.now() >= nextClean) {
      nextClean = clock.now() + Constants.DESK_CLEAN_MS;
      grantedAt.keySet().removeIf(t -> !live(t) && !busy.containsKey(t.job()));
    }
    stopping.removeIf(t -> !live(t));
    if (left.isEmpty()) {
      unmetSince.clear();
    } else {
      Set<String> ids = new HashSet<>();
      left.forEach(u -> ids.add(u.spec().id()));
      unmetSince.keySet().retainAll(ids);
    }
    preempt(left, use);
    unmet = left;
  }

  /**
   * Notes which parts gave a job's tasks back without having placed them. Only the part's owner knows
   * why, such as a machine that fails them all, and its room would draw them there for ever.
   */
  private void noteUngranted() {
    long now = clock.now();
    for (var it = waiting.entrySet().iterator(); it.hasNext(); ) {
      Map.Entry<TaskId, Part> e = it.next();
      TaskId t = e.getKey();
      if (view.unplaced(e.getValue()).contains(t)) {
        continue;
      }
      it.remove();
      View.Entry<Job> j = view.jobs.get(t.job());
      Progress p = view.progress(t.job(), t.index() / Constants.CHUNK_TASKS);
      if (j != null && j.value().open() && p != null && !p.done.get(t.index())
          && !view.places.containsKey(t)) {
        avoid
            .computeIfAbsent(t.job(), k -> new HashMap<>())
            .put(e.getValue(), now + Constants.AVOID_MS);
      }
    }
    for (Part part : membership.parts()) {
      view.unplaced(part).forEach(t -> waiting.put(t, part));
    }
    avoid.values().forEach(m -> m.values().removeIf(until -> now >= until));
    avoid.values().removeIf(Map::isEmpty);
  }

  private void count(Progress p, int[] zoneLive) {
    for (Progress.Live l : p.live.values()) {
      int z = settings.zones().indexOf(l.part().zone());
      if (z >= 0) {
        zoneLive[z]++;
      }
    }
  }

  /**
   * Takes ended tasks over into their jobs' progress where a part's record grows large. Elsewhere
   * that costs no write: it comes with the job's next grant, or the job is done first.
   */
  private void fold() {
    int limit = (int) (settings.state().valueKb() * 1024 * Constants.ROSTER_ENDED);
    Set<String> jobs = new LinkedHashSet<>();
    for (Part part : membership.parts()) {
      for (int i = 0; i < view.pages(part); i++) {
        Roster r = view.roster(part, i);
        if (r.endedSize() > limit) {
          jobs.addAll(r.done().keySet());
          jobs.addAll(r.back().keySet());
        }
      }
    }
    for (String id : jobs) {
      View.Entry<Job> j = view.jobs.get(id);
      TreeMap<Integer, View.Entry<Progress>> chunks = view.progress.get(id);
      if (j == null || chunks == null || busy.containsKey(id) || busy.size() > Constants.FOLDS) {
        continue;
      }
      Txn txn = new Txn().when(Keys.claim(Keys.DESK), membership.desk());
      chunks.forEach(
          (c, p) -> {
            Progress written = view.written(id, c);
            boolean more =
                written != null
                    && (written.live.size() != p.value().live.size()
                        || !written.done.equals(p.value().done));
            if (more && txn.writes() < settings.state().txnOps()) {
              String key = Keys.progress(id, c);
              txn.when(key, view.stamp(key)).put(key, Records.progress(p.value()));
            }
          });
      if (txn.writes() > 0) {
        write(id, 0, Store.Urgency.GRANT, txn);
      }
    }
  }

  /** A task that could be stopped to make room. */
  private record Victim(TaskId task, JobSpec spec, double cost) {}

  /**
   * Makes room for production jobs and for jobs within their team's guarantee, as the protocol
   * allows: by stopping work of lower priority, or for a guarantee what another team borrows. What
   * is covered that way leaves the list, so that nothing is rented for it.
   */
  private void preempt(List<Unmet> left, Map<String, Use> use) {
    List<Room> rooms = null;
    Map<Room, List<Victim>> victims = new HashMap<>();
    Map<String, List<Victim>> stops = new LinkedHashMap<>();
    int stopped = 0;
    for (var it = left.listIterator(); it.hasNext() && stopped < Constants.PREEMPT_PER_PASS; ) {
      Unmet u = it.next();
      if (u.spec().priority() != JobSpec.Priority.PRODUCTION && !u.reclaims()) {
        continue;
      }
      if (rooms == null) {
        rooms = stoppable();
      }
      int count = u.count();
      Map<Room, Stops> options = options(u, rooms, victims, use);
      while (count > 0 && stopped < Constants.PREEMPT_PER_PASS) {
        int n = makeRoom(u, victims, options, use, stops);
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
    stops.forEach(this::stop);
  }

  /** What would be stopped on a machine for one task, and what that costs. */
  private record Stops(List<Victim> victims, double cost) {}

  /**
   * Where one of the tasks could come, by stopping what: on machines that have its image, and where
   * too few do on others. The cheapest of some is nearly as good as the cheapest of all.
   */
  private Map<Room, Stops> options(
      Unmet u, List<Room> rooms, Map<Room, List<Victim>> victims, Map<String, Use> use) {
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
  private int makeRoom(
      Unmet u,
      Map<Room, List<Victim>> victims,
      Map<Room, Stops> options,
      Map<String, Use> use,
      Map<String, List<Victim>> stops) {
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
        stops.computeIfAbsent(v.task().job(), k -> new ArrayList<>()).add(v);
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

  private boolean live(TaskId t) {
    return view.grant(t) != null;
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
      } else if (!busy.containsKey(t.job())
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
  private Stops needed(Unmet u, Room r, List<Victim> list, Map<String, Use> use) {
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
    Map<Part, List<Room>> free = new TreeMap<>();
    for (Part part : membership.parts()) {
      if (membership.owner(part) == null) {
        continue;
      }
      int pages = view.pages(part);
      Set<Integer> fullPages = new HashSet<>();
      for (int i = 0; i < pages; i++) {
        if (view.roster(part, i).size() > rosterFull()) {
          fullPages.add(i);
        }
      }
      List<Room> list = new ArrayList<>();
      for (String name : view.machinesOf(part)) {
        Machine m = view.machines.get(name).value();
        Room r =
            m.condition() == Machine.Condition.OK && !view.drains.containsKey(name)
                    && (fullPages.isEmpty() || !fullPages.contains(Roster.pageOf(name, pages)))
                ? rooms.of(m)
                : null;
        if (r != null) {
          list.add(r);
        }
      }
      // Like tasks together, or every one of them would look through all machines.
      Map<String, Integer> unplaced = new TreeMap<>();
      view.unplaced(part).forEach(t -> unplaced.merge(t.job(), 1, Integer::sum));
      underWay.forEach((id, m) -> unplaced.merge(id, m.getOrDefault(part, 0), Integer::sum));
      unplaced.forEach(
          (id, count) -> {
            View.Entry<Job> j = view.jobs.get(id);
            int waiting = j == null ? 0 : count;
            for (Room r : list) {
              if (waiting == 0) {
                break;
              }
              waiting = r.fill(j.value().spec(), waiting);
            }
          });
      if (!list.isEmpty()) {
        free.put(part, list);
      }
    }
    return free;
  }

  private int rosterFull() {
    return (int) (settings.state().valueKb() * 1024 * Constants.ROSTER_FULL);
  }

  /** What a job asks for of a machine: where one found no room, its like need not look in this pass. */
  private static String shape(JobSpec s, String only) {
    return s.cpus() + " " + s.gpus() + " " + s.memoryGb() + " " + s.spot() + " " + s.types() + " "
        + only;
  }

  private void serve(Queued q, Map<Part, List<Room>> rooms, Use use, List<Unmet> left) {
    JobSpec s = q.spec();
    Settings.Team team = settings.team(s.team());
    int[] zoneLive = q.zoneLive().clone();
    int allowed = q.pending();
    allowed = least(allowed, team.cpusMax() - use.cpus, s.cpus());
    allowed = least(allowed, team.gpusMax() - use.gpus, s.gpus());
    if (allowed <= 0) {
      return;
    }
    Map<Integer, Progress> next = new LinkedHashMap<>();
    Map<Part, Integer> parts = new HashMap<>();
    int granted = 0;
    String shape = shape(s, onlyZone(s, zoneLive));
    boolean none = full.contains(shape);
    int chunks = (s.tasks() + Constants.CHUNK_TASKS - 1) / Constants.CHUNK_TASKS;
    Place place = null;
    outer:
    for (int c = 0; c < chunks && !none; c++) {
      if (next.size() >= settings.state().txnOps() / 2) {
        break;
      }
      Progress now = view.progress(q.id(), c);
      int to = Math.min(s.tasks(), (c + 1) * Constants.CHUNK_TASKS);
      for (int i = c * Constants.CHUNK_TASKS; i < to; i++) {
        if (now != null && (now.done.get(i) || now.live.containsKey(i))) {
          continue;
        }
        if (granted >= allowed) {
          break outer;
        }
        boolean again = place != null && !s.service() && !s.spread() && place.room().fits(s);
        place = again ? place : roomiest(rooms, s, zoneLive);
        if (place == null) {
          none = true;
          if (!s.service() && !s.spread() && !s.oneZone()) {
            full.add(shape);
          }
          break outer;
        }
        place.room().take(s);
        Progress p = next.computeIfAbsent(c, k -> now == null ? new Progress() : now.copy());
        p.grant(i, place.part());
        parts.merge(place.part(), 1, Integer::sum);
        grantedAt.put(new TaskId(q.id(), i), clock.now());
        zoneLive[settings.zones().indexOf(place.part().zone())]++;
        granted++;
      }
    }
    use.add(s, granted);
    if (none && granted < allowed) {
      long waitedMs = unmet(q, allowed - granted, zoneLive, left);
      if (waitedMs < Constants.LIMIT_RESERVED_MS) {
        use.add(s, allowed - granted); // what is rented for must also be allowed to run
      }
    }
    if (granted > 0) {
      underWay.put(q.id(), parts);
      grant(q, next, granted);
    }
  }

  /** Notes tasks that found no room; returns for how long the job has had such tasks. */
  private long unmet(Queued q, int count, int[] zoneLive, List<Unmet> left) {
    JobSpec s = q.spec();
    long waited = clock.now() - unmetSince.computeIfAbsent(q.id(), k -> clock.now());
    if (!s.spread() && !s.oneZone()) {
      left.add(new Unmet(s, s.zone(), q.reclaims(), count, waited));
      return waited;
    }
    Map<String, Integer> zones = new LinkedHashMap<>();
    for (int i = 0; i < count; i++) {
      zones.merge(zoneFor(s, zoneLive), 1, Integer::sum);
    }
    zones.forEach((zone, n) -> left.add(new Unmet(s, zone, q.reclaims(), n, waited)));
    return waited;
  }

  private static int least(int n, double free, double each) {
    return each <= 0 ? n : (int) Math.min(n, Math.floor((free + Constants.EPS) / each));
  }

  private record Place(Part part, Room room) {}

  /** The part with the most free room among those that have a machine for the task. */
  private Place roomiest(Map<Part, List<Room>> rooms, JobSpec s, int[] zoneLive) {
    String only = onlyZone(s, zoneLive);
    Place best = null;
    double most = -1;
    int bestRank = -1;
    Map<Part, Long> avoided = avoid.getOrDefault(s.id(), Map.of());
    for (Map.Entry<Part, List<Room>> e : rooms.entrySet()) {
      int z = settings.zones().indexOf(e.getKey().zone());
      if (z < 0 || only != null && !only.equals(e.getKey().zone())
          || s.spread() && zoneLive[z] >= s.zoneCap()) {
        continue;
      }
      double free = 0;
      Room fit = null;
      for (Room r : e.getValue()) {
        if (r.fits(s)) {
          free += r.tasks() > 0 ? r.freeCpus() : 0;
          if (fit == null || r.better(fit, s)) {
            fit = r;
          }
        }
      }
      int rank = fit == null ? -1 : avoided.containsKey(e.getKey()) ? 0 : fit.rank(s) + 1;
      if (fit != null && (rank > bestRank || rank == bestRank && free > most)) {
        best = new Place(e.getKey(), fit);
        most = free;
        bestRank = rank;
      }
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
          underWay.remove(job);
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
            .put(Keys.job(id), Records.job(job.value().done())));
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
