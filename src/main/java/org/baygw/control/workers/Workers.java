package org.baygw.control.workers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
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
 * The owner's side of the workers: reports in, commands out, and the only writer of a machine's
 * record. A task stands in the record before its launch is sent and until it is proved gone, so any
 * later owner knows where it may be.
 */
public final class Workers {
  private static final Logger LOG = LoggerFactory.getLogger(Workers.class);

  /** How a task left its machine. */
  private enum End {
    DONE,
    BACK
  }

  private final Clock clock;
  private final Outbox out;
  private final Settings settings;
  private final Store store;
  private final View view;
  private final Membership membership;
  private final Map<String, Agent> agents = new TreeMap<>();
  private final Set<String> busyChunks = new HashSet<>();

  /** Machines the cloud has taken back: a late report must not bring one to life again. */
  private final Set<String> buried = new HashSet<>();

  private final Rounds rounds = new Rounds();
  private final Histogram launchMs =
      new Histogram(Constants.HISTOGRAM_MAX_MS, Constants.HISTOGRAM_DIGITS);

  private final Set<TaskId> placing = new HashSet<>();
  private final Map<TaskId, Long> unplacedSince = new HashMap<>();
  private final Map<String, Backoff> backoffs = new HashMap<>();
  private long nextPass;
  private long seenChanges = -1;

  /** A job whose tasks fail waits longer and longer. */
  private static final class Backoff {
    int errors;
    long until;
    final Map<String, Long> machines = new HashMap<>();
  }

  public Workers(
      Clock clock,
      Outbox out,
      Settings settings,
      Store store,
      View view,
      Membership membership) {
    this.clock = clock;
    this.out = out;
    this.settings = settings;
    this.store = store;
    this.view = view;
    this.membership = membership;
  }

  /** A worker's report. */
  public void checkin(long request, byte[] body) {
    WorkerCodec.Report r = WorkerCodec.decode(Json.parse(body));
    if (r == null) {
      out.answer(request, 400, Json.bytes(Json.object().put("error", "no report")));
      return;
    }
    if (!store.loaded()) {
      out.answer(request, 503, Json.bytes(Json.object().put("error", "not read in yet")));
      return;
    }
    Part part = Part.of(r.machine(), r.zone());
    long claim = membership.owned(part);
    if (claim == 0) {
      String owner = membership.owner(part);
      boolean other = owner != null && !owner.equals(settings.label());
      out.answer(request, 421, Json.bytes(WorkerCodec.home(other ? owner : null)));
      return;
    }
    Agent a = agent(r.machine(), claim);
    if (r.token() > a.token()) {
      // Someone with a newer claim speaks to it; a 200 of ours would only hold it here.
      store.refresh();
      out.answer(request, 421, Json.bytes(WorkerCodec.home(null)));
      return;
    }
    View.Entry<View.Drain> drain = view.drains.get(r.machine());
    if (!a.newer(r.session(), r.tick()) || drain != null && drain.value().gone()
        || buried.contains(r.machine())) {
      out.answer(request, 503, Json.bytes(Json.object().put("error", "an old report")));
      return;
    }
    take(a, r, true);
    View.Entry<Machine> m = view.machines.get(a.name);
    List<WorkerCodec.Order> orders = List.of();
    if (m == null) {
      register(a, r);
    } else {
      settleEnded(a, m);
      orders = orders(a, view.machines.get(a.name), true);
      for (WorkerCodec.Order o : orders) {
        if (o.verb() == WorkerCodec.Verb.LAUNCH) {
          a.flight(o.task()).replyTick = r.tick();
          launched(a, o.task());
        }
      }
    }
    a.lastAnswered = clock.now();
    a.leaseOver = false;
    out.answer(request, 200, Json.bytes(WorkerCodec.response(a.token(), orders)));
  }

  public void tick() {
    if (!store.loaded()) {
      return;
    }
    long now = clock.now();
    boolean whole = now >= nextPass;
    if (!whole && view.changes() == seenChanges) {
      return;
    }
    seenChanges = view.changes();
    Set<String> look = view.takeChangedMachines();
    if (whole) {
      nextPass = now + Constants.LOOK_MS;
      agents.values().removeIf(a -> !a.busy && !owns(a));
      look = Set.copyOf(view.machines.keySet());
    }
    for (String name : look) {
      View.Entry<Machine> e = view.machines.get(name);
      if (e == null) {
        continue;
      }
      Machine m = e.value();
      long claim = membership.owned(m.part());
      if (claim == 0) {
        continue;
      }
      Agent a = agent(m.name(), claim);
      if (a.addr.isEmpty()) {
        a.addr = m.addr();
      }
      // Also while its record cannot be written: in an outage of the state service a cut may end, and
      // the machine must not be taken for silent afterwards.
      ask(a);
      if (!a.busy) {
        watchOver(a, e, silent(a));
      }
    }
    place();
  }

  public Rounds rounds() {
    return rounds;
  }

  /** Time from a job's acceptance to each first launch of its tasks here. */
  public Histogram launchMs() {
    return launchMs;
  }

  /** The design's rounds, a few steps at a time. */
  public void round() {
    if (!store.loaded()) {
      return;
    }
    Map<TaskId, String> placed =
        rounds.tick(
            clock.now(),
            view,
            view.params,
            this::candidates,
            this::pending,
            this::ageS,
            this::pinned,
            (machine, image) -> view.machines.get(machine).value().images().contains(image));
    Map<String, Map<TaskId, Integer>> onto = new LinkedHashMap<>();
    placed.forEach(
        (t, machine) -> {
          Progress.Live l = view.grant(t);
          View.Entry<Machine> e = view.machines.get(machine);
          Agent a = agents.get(machine);
          View.Entry<Job> j = view.jobs.get(t.job());
          if (l != null && !l.stop() && e != null && a != null && j != null && j.value().open()
              && l.part().equals(e.value().part()) && !placing(t) && !a.busy
              && membership.owned(l.part()) == a.claim && placeable(a, e.value())
              && room(a, e.value()).fits(j.value().spec())) {
            onto.computeIfAbsent(machine, k -> new LinkedHashMap<>()).put(t, l.attempt());
          }
        });
    onto.forEach((machine, tasks) -> put(agents.get(machine), Map.copyOf(tasks)));
  }

  private List<Room> candidates() {
    List<Room> out = new ArrayList<>();
    for (Part p : membership.parts()) {
      long claim = membership.owned(p);
      if (claim != 0) {
        out.addAll(rooms(p, claim));
      }
    }
    return out;
  }

  /** Tasks granted to this controller's parts that are on no machine. */
  private Map<TaskId, Part> pending() {
    Map<TaskId, Part> out = new LinkedHashMap<>();
    for (Part p : membership.parts()) {
      if (membership.owned(p) != 0) {
        view.unplaced(p).stream().filter(t -> !placing(t)).forEach(t -> out.put(t, p));
      }
    }
    return out;
  }

  /**
   * Seconds of work that a move would lose at most: since this owner launched the task, and endless
   * where it did not. A replica has no work to lose, so its age never keeps it where it is.
   */
  private double ageS(String machine, TaskId t) {
    if (view.jobs.get(t.job()).value().spec().service()) {
      return 0;
    }
    Long at = agents.get(machine).launched.get(t);
    return at == null ? Double.POSITIVE_INFINITY : (clock.now() - at) / 1000.0;
  }

  private boolean pinned(String machine, TaskId t) {
    WorkerCodec.Seen s = agents.get(machine).seen.get(t);
    return s == null || s.state() != WorkerCodec.State.RUNNING;
  }

  private void launched(Agent a, TaskId t) {
    View.Entry<Job> j = view.jobs.get(t.job());
    if (a.launched.put(t, clock.now()) == null && j != null) {
      long waited = Math.max(0, clock.wall() - j.value().acceptedMs());
      launchMs.recordValue(Math.min(waited, Constants.HISTOGRAM_MAX_MS));
    }
  }

  private boolean owns(Agent a) {
    View.Entry<Machine> m = view.machines.get(a.name);
    return m != null && membership.owned(m.value().part()) == a.claim
        || clock.now() - a.since < Constants.UNREGISTERED_MS && m == null;
  }

  private Agent agent(String machine, long claim) {
    Agent a = agents.get(machine);
    if (a == null || a.claim != claim) {
      // Nothing known under another claim may count as proof under this one.
      a = new Agent(machine, claim, clock.now());
      agents.put(machine, a);
    }
    return a;
  }

  private boolean silent(Agent a) {
    double reports = Constants.LOST_REPORTS * settings.workers().reportS() * 1000;
    return a.unanswered && clock.now() - Math.max(a.lastHeard, a.since) > reports;
  }

  /**
   * Asks a worker that has gone quiet, and one that has not seen this claim's token: after a takeover
   * it may wait seconds for its former owner, and until it has seen the token nothing here is proved.
   */
  private void ask(Agent a) {
    long now = clock.now();
    boolean quiet =
        now - Math.max(a.lastHeard, a.since)
            > Constants.ASK_REPORTS * settings.workers().reportS() * 1000;
    if (a.asking || a.directBusy || a.addr.isEmpty() || now < a.nextAsk
        || !quiet && (a.trusted() || a.lastHeard > 0)) {
      return;
    }
    a.asking = true;
    a.nextAsk = now + (long) (settings.workers().reportS() * 1000 * Constants.ASK_AGAIN_REPORTS);
    out.call(
        a.addr,
        "GET",
        "/show",
        null,
        Constants.SHOW_TIMEOUT_MS,
        (status, body) -> {
          a.asking = false;
          if (status != 200) {
            a.unanswered = true;
            return;
          }
          heard(a, body);
          if (!a.trusted() && agents.get(a.name) == a && a.session > 0) {
            direct(a, List.of());
          }
        });
  }

  /** Takes in a report, from wherever it came. */
  private void take(Agent a, WorkerCodec.Report r, boolean checkin) {
    if (r.session() > a.session) {
      a.flights.clear(); // commands of an earlier session are refused
      a.killed.clear();
      // A new session has its full lease from its own start, even if none of its reports is answered:
      // tasks launched in it directly live that long.
      a.lastAnswered = clock.now();
    }
    boolean trustedBefore = a.trusted();
    a.session = r.session();
    a.tick = r.tick();
    a.seenToken = Math.max(a.seenToken, r.token());
    a.addr = r.addr();
    a.seen = r.tasks();
    a.lastHeard = clock.now();
    a.unanswered = false;
    if (a.trusted() && !trustedBefore) {
      a.lastAnswered = clock.now(); // until now a former owner may have answered
    }
    a.noticeUntil = r.noticeS() == null ? 0 : clock.now() + (long) (r.noticeS() * 1000);
    a.endFlights(checkin);
    a.killed.keySet().retainAll(r.tasks().keySet());
    a.launched.keySet().removeIf(t -> !r.tasks().containsKey(t) && !a.flights.containsKey(t));
  }

  private void register(Agent a, WorkerCodec.Report r) {
    if (a.busy) {
      return;
    }
    Machine m =
        new Machine(
            r.machine(),
            r.type(),
            r.zone(),
            r.spot(),
            r.addr(),
            Machine.Condition.OK,
            Map.of(),
            List.of(),
            Part.of(r.machine(), r.zone()));
    write(
        a,
        Store.Urgency.LAUNCH,
        new Txn()
            .when(Keys.machine(m.name()), 0)
            .when(Keys.claim(m.part().toString()), a.claim)
            .put(Keys.machine(m.name()), Records.machine(m)));
  }

  /** One durable change of a machine's record at a time, and none is left in doubt. */
  private void write(Agent a, Store.Urgency u, Txn t) {
    write(a, u, t, Set.of(), () -> {}, () -> {});
  }

  private void write(
      Agent a, Store.Urgency u, Txn t, Set<String> chunks, Runnable always, Runnable ok) {
    a.busy = true;
    busyChunks.addAll(chunks);
    store.settle(
        u,
        t,
        Constants.STATE_TIMEOUT_MS,
        done -> {
          a.busy = false;
          busyChunks.removeAll(chunks);
          always.run();
          seenChanges = -1;
          if (done) {
            ok.run();
          } else {
            nextPass = 0;
          }
        });
  }

  /** Everything about one machine that does not wait for its report. */
  private void watchOver(Agent a, View.Entry<Machine> e, boolean lost) {
    Machine m = e.value();
    View.Entry<View.Drain> drain = view.drains.get(m.name());
    if (drain != null && drain.value().gone()) {
      bury(a, e, drain);
      return;
    }
    long lease = (long) (settings.workers().leaseS() * 1000 * (1 + Constants.DRIFT));
    if (a.trusted()
        && clock.now() > a.lastAnswered + lease + Constants.LEASE_MARGIN_MS
        && !a.leaseOver) {
      // Since it saw our token only our answers count, and the last of them is too old: the worker
      // has ended its session and all tasks with it. Direct launches need the old session.
      a.leaseOver = true;
      a.flights.clear();
      a.seen = new LinkedHashMap<>();
      a.session++;
      a.tick = -1;
    }
    Machine.Condition want = m.condition();
    if (a.sick) {
      want = Machine.Condition.SICK;
    } else if (lost) {
      want = Machine.Condition.SILENT;
    } else if (a.noticeUntil > 0 || view.cordons.contains(m.name())) {
      want = Machine.Condition.LEAVING;
    } else if (a.lastHeard > 0) {
      want = Machine.Condition.OK;
    }
    if (want != m.condition() && drain == null) {
      Machine.Condition now = want;
      write(
          a,
          Store.Urgency.LAUNCH,
          new Txn()
              .when(Keys.machine(m.name()), e.stamp())
              .when(Keys.claim(m.part().toString()), a.claim)
              .put(Keys.machine(m.name()), Records.machine(m.with(want))),
          Set.of(),
          () -> {},
          () -> LOG.info("{} is {}", m.name(), now));
      return;
    }
    if (settleEnded(a, e)) {
      return;
    }
    urgent(a, e);
  }

  /** The cloud has taken the machine back: nothing on it is left. */
  private void bury(Agent a, View.Entry<Machine> e, View.Entry<View.Drain> drain) {
    Map<TaskId, End> ends = new LinkedHashMap<>();
    e.value().tasks().keySet().forEach(t -> ends.put(t, End.BACK));
    buried.add(a.name);
    settle(a, e, ends, drain);
  }

  /** Moves what is proved gone out of the machine's record. Returns true if a write was begun. */
  private boolean settleEnded(Agent a, View.Entry<Machine> e) {
    if (a.busy) {
      return true;
    }
    Map<TaskId, End> ends = new LinkedHashMap<>();
    for (Map.Entry<TaskId, Integer> t : e.value().tasks().entrySet()) {
      WorkerCodec.Seen s = a.seen.get(t.getKey());
      if (s != null && s.attempt() == t.getValue()) {
        if (s.state() == WorkerCodec.State.ENDED) {
          ends.put(t.getKey(), s.cause() == WorkerCodec.Cause.DONE ? End.DONE : End.BACK);
        }
      } else if (a.trusted() && (s == null || s.state() == WorkerCodec.State.ENDED)
          && !a.flights.containsKey(t.getKey())
          && (a.leaseOver || !wanted(t.getKey(), t.getValue(), e.value()))) {
        ends.put(t.getKey(), End.BACK);
      }
    }
    return !ends.isEmpty() && settle(a, e, ends, null);
  }

  /** Whether the task is to run on under this attempt. */
  private boolean wanted(TaskId t, int attempt, Machine m) {
    View.Entry<Job> j = view.jobs.get(t.job());
    if (j == null || !j.value().open()) {
      return false;
    }
    Progress.Live l = view.grant(t);
    return l != null && l.attempt() == attempt && !l.stop() && l.part().equals(m.part());
  }

  private boolean settle(
      Agent a, View.Entry<Machine> e, Map<TaskId, End> ends, View.Entry<View.Drain> drain) {
    Machine m = e.value();
    Map<String, Progress> next = new LinkedHashMap<>();
    Map<TaskId, Integer> left = new LinkedHashMap<>(m.tasks());
    Txn txn =
        new Txn()
            .when(Keys.machine(m.name()), e.stamp())
            .when(Keys.claim(m.part().toString()), a.claim);
    List<Runnable> after = new ArrayList<>();
    Map.Entry<Agent, View.Entry<Machine>> target = null;
    for (Map.Entry<TaskId, End> end : ends.entrySet()) {
      TaskId t = end.getKey();
      int chunk = t.index() / Constants.CHUNK_TASKS;
      String key = Keys.progress(t.job(), chunk);
      if (busyChunks.contains(key)) {
        continue;
      }
      // One write for the machine, one for its drain or a move, and up to two for each chunk of a job.
      if (!next.containsKey(key) && 2 * (next.size() + 1) + 3 > settings.state().txnOps()) {
        continue;
      }
      Progress now = view.progress(t.job(), chunk);
      Integer attempt = left.remove(t);
      Progress.Live l = now == null ? null : now.live.get(t.index());
      if (l == null || l.attempt() != attempt) {
        continue; // the job is over, or its record moved on
      }
      Progress p = next.computeIfAbsent(key, k -> now.copy());
      if (end.getValue() == End.DONE) {
        p.complete(t.index());
      } else if (target == null) {
        target = moveTo(a, t, drain);
        if (target != null) {
          // A move: off this machine and onto the other in one write, under the next attempt.
          p.back(t.index());
          Machine to = target.getValue().value();
          Map<TaskId, Integer> there = new LinkedHashMap<>(to.tasks());
          there.put(t, p.grant(t.index(), to.part()));
          txn.when(Keys.machine(to.name()), target.getValue().stamp())
              .when(Keys.claim(to.part().toString()), target.getKey().claim)
              .when(Keys.drain(to.name()), 0)
              .when(Keys.job(t.job()), view.stamp(Keys.job(t.job())))
              .put(Keys.machine(to.name()), Records.machine(to.withTasks(there)));
        } else {
          p.back(t.index());
        }
      } else {
        p.back(t.index());
      }
      rounds.drop(t);
      after.add(() -> learn(a, t, end.getValue()));
    }
    if (left.size() == m.tasks().size() && drain == null) {
      return false;
    }
    Set<String> chunks = new HashSet<>(next.keySet());
    for (Map.Entry<String, Progress> n : next.entrySet()) {
      String[] path = n.getKey().split("/");
      String job = path[2];
      int chunk = Integer.parseInt(path[3]);
      txn.when(n.getKey(), view.stamp(n.getKey()));
      View.Entry<Job> j = view.jobs.get(job);
      if (j != null && j.value().open() && j.value().chunks() == 1
          && n.getValue().done.cardinality() == j.value().spec().tasks()) {
        LOG.debug(
            "{} ({}) is done after {} ms, {} tasks of {} s estimated",
            job,
            j.value().spec().jobClass(),
            clock.wall() - j.value().acceptedMs(),
            j.value().spec().tasks(),
            j.value().spec().estimateS());
        // The last task: the job is done in the same write, and needs no progress any more.
        txn.when(Keys.job(job), j.stamp())
            .put(Keys.job(job), Records.job(j.value().with(Job.State.DONE)))
            .delete(n.getKey());
      } else {
        txn.put(n.getKey(), Records.progress(n.getValue()));
      }
    }
    if (drain != null && left.isEmpty()) {
      txn.delete(Keys.machine(m.name()))
          .when(Keys.drain(m.name()), drain.stamp())
          .delete(Keys.drain(m.name()));
    } else if (left.size() == m.tasks().size()) {
      return false;
    } else {
      txn.put(Keys.machine(m.name()), Records.machine(m.withTasks(left)));
    }
    Agent to = target == null ? null : target.getKey();
    if (to != null) {
      to.busy = true;
    }
    write(
        a,
        to == null ? Store.Urgency.LAUNCH : Store.Urgency.MOVE,
        txn,
        chunks,
        () -> {
          if (to != null) {
            to.busy = false;
          }
        },
        () -> after.forEach(Runnable::run));
    return true;
  }

  /** The machine that a round chose for the task, if it can still take it; else null. */
  private Map.Entry<Agent, View.Entry<Machine>> moveTo(
      Agent from, TaskId t, View.Entry<View.Drain> drain) {
    String name = drain == null ? rounds.target(t, from.name) : null;
    View.Entry<Machine> e = name == null ? null : view.machines.get(name);
    Agent a = name == null ? null : agents.get(name);
    View.Entry<Job> j = view.jobs.get(t.job());
    if (e == null || a == null || a.busy || j == null || !j.value().open()
        || !placeable(a, e.value()) || view.grant(t).stop()) {
      return null;
    }
    Room r = room(a, e.value());
    return r != null && r.fits(j.value().spec()) ? Map.entry(a, e) : null;
  }

  /** Tells a machine that fails everything from a job that fails everywhere. */
  private void learn(Agent a, TaskId t, End end) {
    WorkerCodec.Seen s = a.seen.get(t);
    if (end == End.DONE) {
      a.errors = 0;
      a.failedJobs.clear();
      backoffs.remove(t.job());
      return;
    }
    if (s == null || s.state() != WorkerCodec.State.ENDED
        || s.cause() != WorkerCodec.Cause.ERROR) {
      return;
    }
    a.errors++;
    a.failedJobs.add(t.job());
    Backoff b = backoffs.computeIfAbsent(t.job(), k -> new Backoff());
    boolean elsewhere = !b.machines.isEmpty() && !b.machines.containsKey(a.name);
    b.machines.put(a.name, clock.now() + Constants.ERROR_BACKOFF_MAX_MS);
    if (elsewhere) {
      b.errors++;
      b.until =
          clock.now()
              + Math.min(
                  Constants.ERROR_BACKOFF_MAX_MS,
                  Constants.ERROR_BACKOFF_MS << Math.min(b.errors, 6));
    }
    if (a.errors >= Constants.SICK_ERRORS && a.failedJobs.size() > 1) {
      a.sick = true;
    }
  }

  /** What the worker is to do now, by what it last reported. */
  private List<WorkerCodec.Order> orders(Agent a, View.Entry<Machine> e, boolean reply) {
    List<WorkerCodec.Order> out = new ArrayList<>();
    if (e == null) {
      return out;
    }
    Machine m = e.value();
    for (Map.Entry<TaskId, WorkerCodec.Seen> t : a.seen.entrySet()) {
      WorkerCodec.Seen s = t.getValue();
      boolean ours = Integer.valueOf(s.attempt()).equals(m.tasks().get(t.getKey()));
      if (s.state() == WorkerCodec.State.ENDED) {
        // Only what is durable is forgotten: until then the report is the only record of the end.
        if (reply && !ours && !a.busy) {
          out.add(
              new WorkerCodec.Order(WorkerCodec.Verb.FORGET, t.getKey(), s.attempt(), 0));
        }
        continue;
      }
      Double grace = grace(a, t.getKey(), s, m, ours);
      Long before = a.killed.get(t.getKey());
      if (grace != null
          && (before == null
              || clock.now() - before > settings.workers().reportS() * 1000 && grace == 0)) {
        a.killed.put(t.getKey(), clock.now());
        out.add(new WorkerCodec.Order(WorkerCodec.Verb.KILL, t.getKey(), s.attempt(), grace));
      }
    }
    if (a.busy || !a.trusted() || a.leaseOver || view.drains.containsKey(m.name())) {
      return out;
    }
    for (Map.Entry<TaskId, Integer> t : m.tasks().entrySet()) {
      Agent.Flight f = a.flights.get(t.getKey());
      boolean open = f == null || reply && f.replyTick == 0 && !a.directBusy;
      if (open && !a.seen.containsKey(t.getKey()) && wanted(t.getKey(), t.getValue(), m)) {
        out.add(
            new WorkerCodec.Order(WorkerCodec.Verb.LAUNCH, t.getKey(), t.getValue(), 0));
      }
    }
    return out;
  }

  /** Seconds a task gets to save when it is to stop; null if it is to run on. */
  private Double grace(Agent a, TaskId t, WorkerCodec.Seen s, Machine m, boolean ours) {
    View.Entry<Job> j = view.jobs.get(t.job());
    if (!ours || j == null || !j.value().open()) {
      return a.busy && j != null && j.value().open() ? null : Double.valueOf(0);
    }
    JobSpec spec = j.value().spec();
    if (!wanted(t, s.attempt(), m)) {
      return spec.checkpoints() ? spec.graceS() : 0;
    }
    if (rounds.target(t, m.name()) != null && s.state() == WorkerCodec.State.RUNNING) {
      return spec.checkpoints() ? spec.graceS() : 0;
    }
    if (view.cordons.contains(m.name()) && spec.service()) {
      return 0.0; // an operator's drain: replicas go elsewhere at once, other tasks may finish
    }
    boolean leaving = a.noticeUntil > 0 || view.cordons.contains(m.name());
    if (leaving && spec.checkpoints() && s.state() != WorkerCodec.State.SAVING) {
      return spec.graceS(); // the notice: save while there is time
    }
    return null;
  }

  /** Sends at once what should not wait for the next report. */
  private void urgent(Agent a, View.Entry<Machine> e) {
    if (a.directBusy || a.busy || a.addr.isEmpty() || !a.trusted() || a.leaseOver
        || !heardLately(a)) {
      return;
    }
    List<WorkerCodec.Order> orders = orders(a, e, false);
    if (!orders.isEmpty()) {
      direct(a, orders);
    }
  }

  private void direct(Agent a, List<WorkerCodec.Order> orders) {
    long token = a.token();
    List<TaskId> launched = new ArrayList<>();
    for (WorkerCodec.Order o : orders) {
      if (o.verb() == WorkerCodec.Verb.LAUNCH) {
        a.flight(o.task()).directToken = token;
        launched.add(o.task());
      }
    }
    a.directBusy = true;
    long session = a.session;
    out.call(
        a.addr,
        "POST",
        "/orders",
        Json.bytes(WorkerCodec.direct(token, session, orders)),
        Constants.ORDERS_TIMEOUT_MS,
        (status, body) -> answered(a, launched, status, body));
  }

  private void answered(Agent a, List<TaskId> launched, int status, byte[] body) {
    a.directBusy = false;
    boolean certain =
        status == 200 || status == 409 || status == 400 || status == Outbox.NOT_SENT;
    if (certain) {
      for (TaskId t : launched) {
        Agent.Flight f = a.flights.get(t);
        launched(a, t);
        if (f != null) {
          f.directToken = 0;
          if (f.over()) {
            a.flights.remove(t);
          }
        }
      }
    } else {
      // It may be carried out minutes later. A higher token, once seen there, rules that out.
      a.raises++;
    }
    if (status == 200 || status == 409) {
      heard(a, body);
    }
  }

  /** A report that came as the answer to a call of ours. */
  private void heard(Agent a, byte[] body) {
    WorkerCodec.Report r = WorkerCodec.decode(Json.parse(body));
    if (r != null && r.machine().equals(a.name) && agents.get(a.name) == a) {
      if (r.token() > a.token()) {
        store.refresh();
      } else if (a.newer(r.session(), r.tick()) && !a.leaseOver) {
        take(a, r, false);
        View.Entry<Machine> e = view.machines.get(a.name);
        if (e != null && membership.owned(e.value().part()) == a.claim) {
          settleEnded(a, e);
        }
      }
    }
  }

  /** First fit for the tasks granted to this controller's parts, in the machines of that part. */
  private void place() {
    long now = clock.now();
    Set<TaskId> waiting = new HashSet<>();
    Map<String, List<TaskId>> back = new LinkedHashMap<>();
    for (Part part : membership.parts()) {
      long claim = membership.owned(part);
      if (claim == 0 || view.unplaced(part).isEmpty()) {
        continue;
      }
      List<TaskId> todo = new ArrayList<>();
      for (TaskId t : view.unplaced(part)) {
        if (!placing(t)
            && !busyChunks.contains(
                Keys.progress(t.job(), t.index() / Constants.CHUNK_TASKS))) {
          todo.add(t);
        }
      }
      if (todo.isEmpty()) {
        continue;
      }
      todo.sort(Comparator.comparing((TaskId t) -> priority(t)).thenComparing(t -> t));
      List<Room> rooms = rooms(part, claim);
      Map<String, Map<TaskId, Integer>> onto = new LinkedHashMap<>();
      for (TaskId t : todo) {
        View.Entry<Job> j = view.jobs.get(t.job());
        Progress.Live l = view.grant(t);
        waiting.add(t);
        long since = unplacedSince.computeIfAbsent(t, k -> now);
        boolean over = j == null || !j.value().open() || l.stop();
        Room r = over ? null : firstFit(rooms, j.value().spec());
        if (r != null) {
          r.take(j.value().spec());
          onto.computeIfAbsent(r.machine().name(), k -> new LinkedHashMap<>())
              .put(t, l.attempt());
        } else if (over || now - since > Constants.UNGRANT_MS) {
          back.computeIfAbsent(part.toString(), k -> new ArrayList<>()).add(t);
        }
      }
      onto.forEach((machine, tasks) -> put(agents.get(machine), tasks));
    }
    unplacedSince.keySet().retainAll(waiting);
    back.forEach(this::ungrant);
  }

  private JobSpec.Priority priority(TaskId t) {
    View.Entry<Job> j = view.jobs.get(t.job());
    return j == null ? JobSpec.Priority.LOW : j.value().spec().priority();
  }

  private List<Room> rooms(Part part, long claim) {
    List<Room> out = new ArrayList<>();
    for (View.Entry<Machine> e : view.machines.values()) {
      Machine m = e.value();
      Agent a = agents.get(m.name());
      if (!m.part().equals(part) || a == null || a.claim != claim || a.busy
          || !placeable(a, m)) {
        continue;
      }
      Room r = room(a, m);
      if (r != null) {
        for (TaskId t : rounds.movingTo(m.name())) {
          r.take(view.jobs.get(t.job()).value().spec());
        }
        out.add(r);
      }
    }
    return out;
  }

  private boolean placeable(Agent a, Machine m) {
    return a.trusted()
        && !a.leaseOver
        && a.noticeUntil == 0
        && m.condition() == Machine.Condition.OK
        && !view.drains.containsKey(m.name())
        && heardLately(a);
  }

  private boolean heardLately(Agent a) {
    return clock.now() - a.lastHeard
        <= settings.workers().reportS() * 1000 * Constants.HEARD_REPORTS;
  }

  private Room room(Agent a, Machine m) {
    Room r = Room.of(view, m);
    if (r != null) {
      for (Map.Entry<TaskId, WorkerCodec.Seen> s : a.seen.entrySet()) {
        View.Entry<Job> j = view.jobs.get(s.getKey().job());
        if (j != null && s.getValue().state() != WorkerCodec.State.ENDED
            && !m.tasks().containsKey(s.getKey())) {
          r.take(j.value().spec()); // not in the record, but there until it is killed
        }
      }
    }
    return r;
  }

  /**
   * The best suited machine; among equals the oldest for services, which stay, and the newest for
   * arrays, which soon leave.
   */
  private Room firstFit(List<Room> rooms, JobSpec s) {
    Backoff b = backoffs.get(s.id());
    if (b != null && clock.now() < b.until) {
      return null;
    }
    Room best = null;
    int bestScore = -1;
    for (Room r : rooms) {
      if (!r.fits(s)) {
        continue;
      }
      Agent a = agents.get(r.machine().name());
      if (b != null && b.machines.getOrDefault(a.name, 0L) > clock.now()) {
        continue;
      }
      int score = r.rank(s);
      if (score > bestScore || score == bestScore && !s.service()) {
        best = r;
        bestScore = score;
      }
    }
    return best;
  }

  /** Writes the tasks into the machine's record, and launches them once that is durable. */
  private void put(Agent a, Map<TaskId, Integer> tasks) {
    View.Entry<Machine> e = view.machines.get(a.name);
    Machine m = e.value();
    Map<TaskId, Integer> all = new LinkedHashMap<>(m.tasks());
    all.putAll(tasks);
    Txn txn =
        new Txn()
            .when(Keys.machine(m.name()), e.stamp())
            .when(Keys.claim(m.part().toString()), a.claim)
            .when(Keys.drain(m.name()), 0);
    Set<String> jobs = new HashSet<>();
    for (TaskId t : tasks.keySet()) {
      jobs.add(t.job());
    }
    if (jobs.size() + 3 > settings.state().txnOps() * 4) {
      return;
    }
    // The jobs must not have been cancelled. The grants need no condition: while the job is open only
    // this owner takes one back, and not while it is being placed; the desk, which adds grants to the
    // same keys all the time, would make most placements fail.
    jobs.forEach(j -> txn.when(Keys.job(j), view.stamp(Keys.job(j))));
    Machine next = m.withTasks(all);
    for (TaskId t : tasks.keySet()) {
      Job j = view.jobs.get(t.job()).value();
      LOG.debug(
          "place {} ({}) on {} after {} ms, image there: {}",
          t,
          j.spec().jobClass(),
          m.name(),
          clock.wall() - j.acceptedMs(),
          m.images().contains(j.spec().image()));
      next = next.withImage(j.spec().image());
    }
    txn.put(Keys.machine(m.name()), Records.machine(next));
    placing.addAll(tasks.keySet());
    write(
        a,
        Store.Urgency.LAUNCH,
        txn,
        Set.of(),
        () -> placing.removeAll(tasks.keySet()),
        () -> {
          View.Entry<Machine> now = view.machines.get(a.name);
          if (now != null && agents.get(a.name) == a && owns(a)) {
            urgent(a, now);
          }
        });
  }

  /** Gives tasks back to the queue that were never written to a machine. */
  private void ungrant(String part, List<TaskId> tasks) {
    TaskId first = tasks.get(0);
    int chunk = first.index() / Constants.CHUNK_TASKS;
    String key = Keys.progress(first.job(), chunk);
    Progress next = view.progress(first.job(), chunk).copy();
    for (TaskId t : tasks) {
      if (t.job().equals(first.job()) && t.index() / Constants.CHUNK_TASKS == chunk
          && !placing(t)) {
        next.back(t.index());
      }
    }
    if (!busyChunks.add(key)) {
      return;
    }
    store.settle(
        Store.Urgency.GRANT,
        new Txn()
            .when(key, view.stamp(key))
            .when(Keys.claim(part), membership.owned(part))
            .put(key, Records.progress(next)),
        Constants.STATE_TIMEOUT_MS,
        ok -> {
          busyChunks.remove(key);
          nextPass = 0;
        });
  }

  /** A placement under way must not be ungranted: its write does not change the progress key. */
  private boolean placing(TaskId t) {
    return view.places.containsKey(t) || placing.contains(t);
  }
}
