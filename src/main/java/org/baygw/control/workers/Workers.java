package org.baygw.control.workers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.baygw.control.Constants;
import org.baygw.control.cloud.Cloud;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
import org.baygw.control.core.Replication;
import org.baygw.control.membership.CancellationWatermark;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Machine;
import org.baygw.control.model.Partition;
import org.baygw.control.model.Records;
import org.baygw.control.model.TaskId;
import org.baygw.control.placement.MachineCapacity;
import org.baygw.control.store.Keys;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The owner's side of the workers: reports in, commands out. What is proved of a task is in {@link
 * Proofs}, what is said to workers in {@link WorkerCommands}, where tasks go in {@link
 * FirstFitPlacer} and {@link Rounds}, and a partition's durable record in {@link PartitionWriter}.
 */
public final class Workers {
  private static final Logger LOG = LoggerFactory.getLogger(Workers.class);

  private final Clock clock;
  private final Outbox out;
  private final Settings settings;
  private final Store store;
  private final StateCache view;
  private final Membership membership;
  private final CancellationWatermark watermark;
  private final Replication replication;
  private final Map<String, WorkerSession> sessions = new HashMap<>();
  private final Map<Partition, PartitionWriter> writers = new HashMap<>();

  /** Machines the cloud has taken back: a late report must not bring one to life again. */
  private final Set<String> buried = new HashSet<>();

  private final ConsolidationRound rounds = new ConsolidationRound();
  private final TerminationEvidence evidence;
  private final FirstFitPlacer placer;
  private final WorkerCommands commands;
  private final WorkerReachability reachability;
  private final CancellationDeadline deadline;
  private long nextPass;
  private long seenChanges = -1;
  private long nextAll;
  private long lastTick;

  /** The sum of the stamps of all partitions that this controller owned at the last step. */
  private long ownedStamps;

  public Workers(
      Clock clock,
      Outbox out,
      Settings settings,
      Store store,
      StateCache view,
      Membership membership,
      CancellationWatermark watermark,
      Cloud cloud,
      Replication replication) {
    this.replication = replication;
    this.watermark = watermark;
    this.clock = clock;
    this.out = out;
    this.settings = settings;
    this.store = store;
    this.view = view;
    this.membership = membership;
    this.reachability = new WorkerReachability(clock, out, settings, view, membership);
    this.evidence = new TerminationEvidence(clock, settings, view);
    this.deadline =
        new CancellationDeadline(
            clock, settings, view, membership, evidence, cloud, watermark, this::owned);
    this.placer = new FirstFitPlacer(clock, settings, view, sessions, rounds, replication);
    this.commands =
        new WorkerCommands(
            clock,
            out,
            settings,
            view,
            evidence,
            placer,
            rounds,
            watermark,
            replication,
            this::heard);
  }

  /** A worker's report. */
  public void checkin(long request, byte[] body) {
    WorkerCodec.Report r = WorkerCodec.decode(Json.parse(body));
    if (r == null) {
      out.answer(request, 400, Json.bytes(Json.object().put("error", "no report")));
      return;
    }
    if (!store.loaded() || view.partitionsPerZone() == 0) {
      String likely = membership.likelyOwner(r.machine(), r.zone());
      if (likely != null) {
        out.answer(request, 421, Json.bytes(WorkerCodec.home(likely)));
      } else {
        out.answer(request, 503, Json.bytes(Json.object().put("error", "not read in yet")));
      }
      return;
    }
    reachability.heard(r.zone());
    Partition part = partitionOf(r);
    long claim = membership.owned(part);
    if (claim == 0) {
      String owner = membership.owner(part);
      owner = owner == null ? membership.heir(part) : owner;
      boolean other = owner != null && !owner.equals(settings.label());
      out.answer(request, 421, Json.bytes(WorkerCodec.home(other ? owner : null)));
      return;
    }
    WorkerSession a = session(r.machine(), claim);
    if (r.token() > a.token()) {
      // Someone with a newer claim speaks to it; a 200 of ours would only hold it here.
      overtaken(part, a, r);
      out.answer(request, 421, Json.bytes(WorkerCodec.home(null)));
      return;
    }
    if (!a.newer(r.session(), r.tick())
        || view.drains.get(r.machine()) == StateCache.Drain.GONE
        || buried.contains(r.machine())) {
      out.answer(request, 503, Json.bytes(Json.object().put("error", "an old report")));
      return;
    }
    a.heed(r, clock.now(), evidence.leaseMs());
    take(a, r, true);
    StateCache.Entry<Machine> m = view.machines.get(a.name);
    PartitionWriter l = writer(part, claim);
    if (m == null) {
      register(a, r);
    } else {
      settle(a, m.value(), l);
    }
    if (!watermark.recent()) {
      // A 200 would let the worker keep tasks of which this controller cannot know that they were
      // cancelled; what is known to be cancelled is stopped directly all the same.
      if (m != null) {
        commands.urgent(a, m.value(), l);
      }
      out.answer(request, 503, Json.bytes(Json.object().put("error", "out of touch")));
      return;
    }
    List<WorkerCodec.Order> orders =
        m == null ? List.of() : commands.reply(a, m.value(), l, r.tick());
    a.lastAnswered = clock.now();
    a.leaseOver = false;
    a.answeredToken = a.token();
    out.answerOrders(request, Json.bytes(WorkerCodec.response(a.token(), orders)));
  }

  public void tick() {
    if (!store.loaded() || view.partitionsPerZone() == 0) {
      return;
    }
    long now = clock.now();
    if (lastTick > 0 && now - lastTick > Constants.STALL_MS) {
      commands.stalled();
      reachability.stalled();
      LOG.info("fell behind by {} ms", now - lastTick);
    }
    lastTick = now;
    reachability.tick();
    commands.step();
    boolean whole = now >= nextPass || ownershipChanged();
    if (whole || view.changeCount() != seenChanges) {
      seenChanges = view.changeCount();
      view.takeChangedMachines().forEach(m -> lookAt(m, true));
      if (whole) {
        nextPass = now + Constants.LOOK_MS;
        boolean all = now >= nextAll;
        nextAll = all ? now + Constants.LOOK_ALL_MS : nextAll;
        sessions.values().removeIf(a -> !a.busy && !owns(a));
        for (Partition p : membership.partitions()) {
          if (membership.owned(p) != 0) {
            List.copyOf(view.machinesOf(p)).forEach(m -> lookAt(m, all));
          }
        }
      }
    }
    deadline.tick();
    for (Partition p : membership.partitions()) {
      long claim = membership.owned(p);
      if (claim == 0) {
        writers.remove(p);
      } else {
        writer(p, claim).pump();
      }
    }
  }

  /** Whether partitions came or went since the last step: new ones are looked at at once. */
  private boolean ownershipChanged() {
    long sum = 0;
    for (Partition partition : membership.partitions()) {
      sum += membership.owned(partition);
    }
    boolean changed = sum != ownedStamps;
    ownedStamps = sum;
    return changed;
  }

  private void lookAt(String name, boolean all) {
    StateCache.Entry<Machine> e = view.machines.get(name);
    long claim = e == null ? 0 : membership.owned(e.value().part());
    if (claim == 0) {
      return;
    }
    Machine m = e.value();
    WorkerSession a = session(name, claim);
    if (a.addr.isEmpty()) {
      a.addr = m.addr();
    }
    PartitionWriter l = writer(m.part(), claim);
    if (view.drains.get(name) == StateCache.Drain.GONE) {
      if (buried.add(name)) {
        replication.gone(m.part(), name);
      }
      l.dirty(name);
      return;
    }
    // Also while its record cannot be written: in an outage of the state service a cut may end, and
    // the machine must not be taken for silent afterwards.
    commands.ask(a);
    if (evidence.lease(a) || all) {
      settle(a, m, l);
      commands.urgent(a, m, l);
    } else if (condition(a, m) != m.condition()) {
      settle(a, m, l);
    }
  }

  private Machine.Condition condition(WorkerSession a, Machine m) {
    if (view.drains.containsKey(m.name())) {
      return m.condition();
    } else if (a.sick) {
      return Machine.Condition.SICK;
    } else if (commands.silent(a)) {
      // Where nobody else was heard lately that says nothing new; but what is silent stays so until
      // it is
      // heard, or the leader would count its silence from the start again and again.
      return a.deaf() || reachability.sure() ? Machine.Condition.SILENT : m.condition();
    } else if (a.noticeUntil > 0 || view.cordons.contains(m.name())) {
      return Machine.Condition.LEAVING;
    }
    return a.lastHeard > 0 ? Machine.Condition.OK : m.condition();
  }

  /** Has it written what is proved gone from the machine, and its condition. */
  private void settle(WorkerSession a, Machine m, PartitionWriter l) {
    a.condition = condition(a, m);
    if (a.condition != m.condition() || !evidence.ends(a, m).isEmpty()) {
      l.dirty(m.name());
    }
  }

  public ConsolidationRound rounds() {
    return rounds;
  }

  /** Time from a job's acceptance to each first launch of its tasks here. */
  public Histogram launchMs() {
    return commands.launchMs();
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
    if (!placed.isEmpty()) {
      placer.choose(placed);
    }
  }

  private List<MachineCapacity> candidates() {
    List<MachineCapacity> found = new ArrayList<>();
    for (Partition p : membership.partitions()) {
      long claim = membership.owned(p);
      if (claim != 0) {
        found.addAll(placer.rooms(p, claim));
      }
    }
    return found;
  }

  /** Tasks granted to this controller's partitions that are on no machine. */
  private Map<TaskId, Partition> pending() {
    Map<TaskId, Partition> found = new LinkedHashMap<>();
    for (Partition p : membership.partitions()) {
      long claim = membership.owned(p);
      if (claim != 0) {
        PartitionWriter l = writer(p, claim);
        view.unplaced(p).stream().filter(t -> !l.moving(t)).forEach(t -> found.put(t, p));
      }
    }
    return found;
  }

  /**
   * Seconds of work that a move would lose at most: since this owner launched the task, and endless
   * where it did not. A replica has no work to lose, so its age never keeps it where it is.
   */
  private double ageS(String machine, TaskId t) {
    if (view.jobs.get(t.job()).value().spec().service()) {
      return 0;
    }
    Long at = sessions.get(machine).launched.get(t);
    return at == null ? Double.POSITIVE_INFINITY : (clock.now() - at) / 1000.0;
  }

  private boolean pinned(String machine, TaskId t) {
    WorkerCodec.Seen s = sessions.get(machine).seen.get(t);
    return s == null || s.state() != WorkerCodec.State.RUNNING;
  }

  private boolean owns(WorkerSession a) {
    StateCache.Entry<Machine> m = view.machines.get(a.name);
    return m != null && membership.owned(m.value().part()) == a.claim
        || clock.now() - a.since < Constants.UNREGISTERED_MS && m == null;
  }

  /** What this controller knows of a machine's worker; null where it does not own the machine. */
  private WorkerSession owned(Machine m) {
    long claim = membership.owned(m.part());
    return claim == 0 ? null : session(m.name(), claim);
  }

  private WorkerSession session(String machine, long claim) {
    WorkerSession a = sessions.get(machine);
    if (a == null || a.claim != claim) {
      // Nothing known under another claim may count as proof under this one.
      a = new WorkerSession(machine, claim, clock.now());
      sessions.put(machine, a);
      inherit(a);
    }
    return a;
  }

  /**
   * Takes over what the partition's former owner knew of a worker, as far as that proves nothing:
   * how to reach it, since when its tasks run, and what failed there.
   */
  private void inherit(WorkerSession a) {
    StateCache.Entry<Machine> machine = view.machines.get(a.name);
    Replication.InheritedWorker known =
        machine == null ? null : replication.inherited(machine.value().part(), a.name);
    if (known == null) {
      return;
    }
    a.addr = known.address();
    a.expectedSession = known.session();
    known.launchedAgoMs().forEach((task, ago) -> a.launched.put(task, clock.now() - ago));
    a.failures.putAll(known.failures());
    a.sick = known.sick();
  }

  private PartitionWriter writer(Partition p, long claim) {
    PartitionWriter l = writers.get(p);
    if (l == null || l.claim != claim) {
      l =
          new PartitionWriter(
              p, claim, clock, settings, store, view, evidence, placer, rounds, new Ground(claim));
      writers.put(p, l);
    }
    return l;
  }

  /** What a writer sees of the rest. */
  private final class Ground implements PartitionWriter.Owner {
    private final long claim;

    Ground(long claim) {
      this.claim = claim;
    }

    @Override
    public WorkerSession session(String machine) {
      return Workers.this.session(machine, claim);
    }

    @Override
    public PartitionWriter writer(Partition part) {
      long held = membership.owned(part);
      return held == 0 ? null : Workers.this.writer(part, held);
    }

    @Override
    public void placed(Set<String> machines) {
      machines.forEach(m -> lookAt(m, true));
    }
  }

  private void overtaken(Partition part, WorkerSession a, WorkerCodec.Report r) {
    if (r.token() >> Constants.TOKEN_BITS > a.claim) {
      membership.overtaken(part, a.claim);
    }
    store.refresh();
  }

  private Partition partitionOf(WorkerCodec.Report r) {
    return Partition.of(r.machine(), r.zone(), view.partitionsPerZone());
  }

  /** Takes in a report, from wherever it came. */
  private void take(WorkerSession a, WorkerCodec.Report r, boolean checkin) {
    boolean moved = r.session() != a.session || !r.addr().equals(a.addr);
    if (r.session() > a.session) {
      a.flights.clear(); // commands of an earlier session are refused
      a.killed.clear();
      // A new session has its full lease from its own start, even if none of its reports is
      // answered:
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
    reachability.heard(r.zone());
    a.unanswered = false;
    if (a.trusted() && !trustedBefore) {
      a.lastAnswered = clock.now(); // until now a former owner may have answered
    }
    a.noticeUntil = r.noticeS() == null ? 0 : clock.now() + (long) (r.noticeS() * 1000);
    a.endFlights(checkin);
    a.killed.keySet().retainAll(r.tasks().keySet());
    if (moved) {
      replication.sessionKnown(partitionOf(r), a.name, a.addr, a.session);
    }
    for (Iterator<TaskId> it = a.launched.keySet().iterator(); it.hasNext(); ) {
      TaskId task = it.next();
      if (!r.tasks().containsKey(task) && !a.flights.containsKey(task)) {
        it.remove();
        replication.ended(partitionOf(r), a.name, task);
      }
    }
  }

  /**
   * Puts a machine on record once its worker has shown this claim's token: a copy of an old report
   * of a machine that was returned, even by a controller that has since crashed, cannot show it.
   */
  private void register(WorkerSession a, WorkerCodec.Report r) {
    if (a.busy || !a.trusted()) {
      return;
    }
    Partition part = partitionOf(r);
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
            part);
    a.busy = true;
    store.txnWithRetry(
        Store.Urgency.LAUNCH,
        new Txn()
            .when(Keys.machine(m.name()), 0)
            .when(Keys.claim(part.toString()), a.claim)
            .put(Keys.machine(m.name()), Records.machine(m)),
        Constants.STATE_TIMEOUT_MS,
        ok -> a.busy = false);
  }

  /** A report that came as the answer to a call of ours. */
  private void heard(WorkerSession a, byte[] body) {
    WorkerCodec.Report r = WorkerCodec.decode(Json.parse(body));
    if (r == null || !r.machine().equals(a.name) || sessions.get(a.name) != a) {
      return;
    }
    if (r.token() > a.token()) {
      overtaken(partitionOf(r), a, r);
    } else if (a.newer(r.session(), r.tick()) && !a.leaseOver) {
      a.unheeded = 0; // it answered us, so it hears us
      take(a, r, false);
      StateCache.Entry<Machine> e = view.machines.get(a.name);
      long claim = e == null ? 0 : membership.owned(e.value().part());
      if (claim == a.claim && claim != 0) {
        PartitionWriter l = writer(e.value().part(), claim);
        settle(a, e.value(), l);
        commands.urgent(a, e.value(), l);
      }
    }
  }
}
