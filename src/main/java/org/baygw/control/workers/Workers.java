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
 * Handles the workers of the partitions that this controller owns: processes their reports and
 * sends them orders. {@link TerminationEvidence} proves that tasks have ended, {@link
 * WorkerCommands} composes and sends orders, {@link FirstFitPlacer} and {@link ConsolidationRound}
 * choose machines for tasks, and {@link PartitionWriter} writes a partition's durable record.
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

  /** Machines that the cloud has taken back; a late report must not register one again. */
  private final Set<String> goneMachines = new HashSet<>();

  private final ConsolidationRound rounds = new ConsolidationRound();
  private final TerminationEvidence evidence;
  private final FirstFitPlacer placer;
  private final WorkerCommands commands;
  private final WorkerReachability reachability;
  private final CancellationDeadline deadline;
  private long nextCheck;
  private long checkedChanges = -1;
  private long nextFullCheck;
  private long lastTick;

  /** Sum of the claim stamps of all partitions that this controller owned at the last tick. */
  private long ownedStampSum;

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
            clock, settings, view, membership, evidence, cloud, watermark, this::ownedSession);
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
            this::acceptPolledReport);
  }

  /** Handles a worker's report. */
  public void checkin(long request, byte[] body) {
    WorkerCodec.Report r = WorkerCodec.decode(Json.parse(body));
    if (r == null) {
      out.answer(
          request,
          400,
          Json.bytes(
              Json.object()
                  .put(
                      "error",
                      "malformed report: host, yard, stint or tick is missing or invalid")));
      return;
    }
    if (!store.loaded() || view.partitionsPerZone() == 0) {
      String likely = membership.likelyOwner(r.machine(), r.zone());
      if (likely != null) {
        out.answer(request, 421, Json.bytes(WorkerCodec.redirect(likely)));
      } else {
        out.answer(request, 503, Json.bytes(Json.object().put("error", "state not loaded yet")));
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
      out.answer(request, 421, Json.bytes(WorkerCodec.redirect(other ? owner : null)));
      return;
    }
    WorkerSession a = session(r.machine(), claim);
    if (r.token() > a.token()) {
      // The worker has seen the token of a newer claim; a 200 response would only keep it reporting
      // here.
      onNewerToken(part, a, r);
      out.answer(request, 421, Json.bytes(WorkerCodec.redirect(null)));
      return;
    }
    if (!a.newer(r.session(), r.tick())
        || view.drains.get(r.machine()) == StateCache.Drain.GONE
        || goneMachines.contains(r.machine())) {
      out.answer(
          request,
          503,
          Json.bytes(Json.object().put("error", "outdated report or returned machine")));
      return;
    }
    a.countMissedResponses(r, clock.now(), evidence.leaseMs());
    acceptReport(a, r, true);
    StateCache.Entry<Machine> m = view.machines.get(a.name);
    PartitionWriter l = writer(part, claim);
    if (m == null) {
      register(a, r);
    } else {
      markIfChanged(a, m.value(), l);
    }
    if (!watermark.recent()) {
      // A 200 response would renew the worker's lease, also for tasks whose cancellation this
      // controller may not know of. Tasks known to be cancelled are still stopped directly.
      if (m != null) {
        commands.sendUrgent(a, m.value(), l);
      }
      out.answer(
          request,
          503,
          Json.bytes(Json.object().put("error", "knowledge of cancellations is out of date")));
      return;
    }
    List<WorkerCodec.Order> orders =
        m == null ? List.of() : commands.ordersForReport(a, m.value(), l, r.tick());
    a.lastAnswered = clock.now();
    a.leaseExpired = false;
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
      LOG.info("tick delayed: {} ms since the previous one", now - lastTick);
    }
    lastTick = now;
    reachability.tick();
    commands.beginStep();
    boolean whole = now >= nextCheck || ownershipChanged();
    if (whole || view.changes() != checkedChanges) {
      checkedChanges = view.changes();
      view.takeChangedMachines().forEach(m -> checkMachine(m, true));
      if (whole) {
        nextCheck = now + Constants.MACHINE_CHECK_MS;
        boolean all = now >= nextFullCheck;
        nextFullCheck = all ? now + Constants.MACHINE_FULL_CHECK_MS : nextFullCheck;
        sessions.values().removeIf(a -> !a.recordWriteInProgress && !owns(a));
        for (Partition p : membership.partitions()) {
          if (membership.owned(p) != 0) {
            List.copyOf(view.machinesOf(p)).forEach(m -> checkMachine(m, all));
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
        writer(p, claim).writeIfDue();
      }
    }
  }

  /**
   * Whether the owned partitions have changed since the last tick: machines of new ones are checked
   * at once.
   */
  private boolean ownershipChanged() {
    long sum = 0;
    for (Partition partition : membership.partitions()) {
      sum += membership.owned(partition);
    }
    boolean changed = sum != ownedStampSum;
    ownedStampSum = sum;
    return changed;
  }

  private void checkMachine(String name, boolean all) {
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
      if (goneMachines.add(name)) {
        replication.gone(m.part(), name);
      }
      l.dirty(name);
      return;
    }
    // Probe the worker even while its record cannot be written: a network partition may end during
    // an outage of the state service, and the machine must not count as silent afterwards.
    commands.probe(a);
    if (evidence.expireLease(a) || all) {
      markIfChanged(a, m, l);
      commands.sendUrgent(a, m, l);
    } else if (condition(a, m) != m.condition()) {
      markIfChanged(a, m, l);
    }
  }

  private Machine.Condition condition(WorkerSession a, Machine m) {
    if (view.drains.containsKey(m.name())) {
      return m.condition();
    } else if (a.sick) {
      return Machine.Condition.SICK;
    } else if (commands.silent(a)) {
      // If no other worker was heard recently, this one's silence proves nothing and its recorded
      // condition stays. A machine recorded as SILENT stays so until its worker is heard, or the
      // leader would restart its count of the silence again and again.
      return a.missesResponses() || reachability.silenceIsConclusive()
          ? Machine.Condition.SILENT
          : m.condition();
    } else if (a.noticeUntil > 0 || view.cordons.contains(m.name())) {
      return Machine.Condition.LEAVING;
    }
    return a.lastHeard > 0 ? Machine.Condition.OK : m.condition();
  }

  /**
   * Marks the machine for the next write if tasks on it are proved to have ended or its condition
   * has changed.
   */
  private void markIfChanged(WorkerSession a, Machine m, PartitionWriter l) {
    a.condition = condition(a, m);
    if (a.condition != m.condition() || !evidence.endedTasks(a, m).isEmpty()) {
      l.dirty(m.name());
    }
  }

  public ConsolidationRound rounds() {
    return rounds;
  }

  /** Time in ms from a job's acceptance to the first launch of each of its tasks on a machine. */
  public Histogram launchMs() {
    return commands.launchMs();
  }

  /**
   * Advances the consolidation round by a few search nodes and passes its placements to the placer.
   */
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
            this::pendingTasks,
            this::ageS,
            this::pinned,
            (machine, image) -> view.machines.get(machine).value().images().contains(image));
    if (!placed.isEmpty()) {
      placer.preferMachines(placed);
    }
  }

  private List<MachineCapacity> candidates() {
    List<MachineCapacity> found = new ArrayList<>();
    for (Partition p : membership.partitions()) {
      long claim = membership.owned(p);
      if (claim != 0) {
        found.addAll(placer.capacities(p, claim));
      }
    }
    return found;
  }

  /**
   * Tasks granted to this controller's partitions that are on no machine and in no write in
   * progress.
   */
  private Map<TaskId, Partition> pendingTasks() {
    Map<TaskId, Partition> found = new LinkedHashMap<>();
    for (Partition p : membership.partitions()) {
      long claim = membership.owned(p);
      if (claim != 0) {
        PartitionWriter l = writer(p, claim);
        view.unplaced(p).stream().filter(t -> !l.inWrite(t)).forEach(t -> found.put(t, p));
      }
    }
    return found;
  }

  /**
   * Upper bound on the seconds of work that moving the task would lose: the time since its launch,
   * or infinity if the launch time is unknown. 0 for a service replica, which has no work to lose,
   * so that its age never prevents a move.
   */
  private double ageS(String machine, TaskId t) {
    if (view.jobs.get(t.job()).value().spec().service()) {
      return 0;
    }
    Long at = sessions.get(machine).launchedAt.get(t);
    return at == null ? Double.POSITIVE_INFINITY : (clock.now() - at) / 1000.0;
  }

  private boolean pinned(String machine, TaskId t) {
    WorkerCodec.ReportedTask s = sessions.get(machine).reported.get(t);
    return s == null || s.state() != WorkerCodec.State.RUNNING;
  }

  private boolean owns(WorkerSession a) {
    StateCache.Entry<Machine> m = view.machines.get(a.name);
    return m != null && membership.owned(m.value().part()) == a.claim
        || clock.now() - a.createdAt < Constants.UNREGISTERED_MS && m == null;
  }

  /** The session of the machine's worker; null if this controller does not own the machine. */
  private WorkerSession ownedSession(Machine m) {
    long claim = membership.owned(m.part());
    return claim == 0 ? null : session(m.name(), claim);
  }

  private WorkerSession session(String machine, long claim) {
    WorkerSession a = sessions.get(machine);
    if (a == null || a.claim != claim) {
      // State kept under another claim must not count as proof under this one.
      a = new WorkerSession(machine, claim, clock.now());
      sessions.put(machine, a);
      inherit(a);
    }
    return a;
  }

  /**
   * Copies the replicated state of the partition's former owner that is no proof about tasks: the
   * worker's address and session, launch times, failures, and whether the machine is sick.
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
    known.launchedAgoMs().forEach((task, ago) -> a.launchedAt.put(task, clock.now() - ago));
    a.failures.putAll(known.failures());
    a.sick = known.sick();
  }

  private PartitionWriter writer(Partition p, long claim) {
    PartitionWriter l = writers.get(p);
    if (l == null || l.claim != claim) {
      l =
          new PartitionWriter(
              p,
              claim,
              clock,
              settings,
              store,
              view,
              evidence,
              placer,
              rounds,
              new WriterContext(claim));
      writers.put(p, l);
    }
    return l;
  }

  /**
   * Gives the writer of a partition access to worker sessions and other writers, under its claim.
   */
  private final class WriterContext implements PartitionWriter.Context {
    private final long claim;

    WriterContext(long claim) {
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
      machines.forEach(m -> checkMachine(m, true));
    }
  }

  private void onNewerToken(Partition part, WorkerSession a, WorkerCodec.Report r) {
    if (r.token() >> Constants.TOKEN_BITS > a.claim) {
      membership.overtaken(part, a.claim);
    }
    store.refresh();
  }

  private Partition partitionOf(WorkerCodec.Report r) {
    return Partition.of(r.machine(), r.zone(), view.partitionsPerZone());
  }

  /** Applies a report, whether the worker sent it by itself or as the answer to a call. */
  private void acceptReport(WorkerSession a, WorkerCodec.Report r, boolean checkin) {
    boolean moved = r.session() != a.session || !r.addr().equals(a.addr);
    if (r.session() > a.session) {
      a.pendingLaunches.clear(); // the worker refuses orders for an earlier session
      a.killSentAt.clear();
      // A new session has its full lease from its start, even if none of its reports is answered:
      // tasks launched directly in it live that long.
      a.lastAnswered = clock.now();
    }
    boolean trustedBefore = a.claimConfirmed();
    a.session = r.session();
    a.tick = r.tick();
    a.reportedToken = Math.max(a.reportedToken, r.token());
    a.addr = r.addr();
    a.reported = r.tasks();
    a.lastHeard = clock.now();
    reachability.heard(r.zone());
    a.probeUnanswered = false;
    if (a.claimConfirmed() && !trustedBefore) {
      a.lastAnswered = clock.now(); // a former owner may have renewed the lease until now
    }
    a.noticeUntil = r.noticeS() == null ? 0 : clock.now() + (long) (r.noticeS() * 1000);
    a.clearResolvedLaunches(checkin);
    a.killSentAt.keySet().retainAll(r.tasks().keySet());
    if (moved) {
      replication.sessionKnown(partitionOf(r), a.name, a.addr, a.session);
    }
    for (Iterator<TaskId> it = a.launchedAt.keySet().iterator(); it.hasNext(); ) {
      TaskId task = it.next();
      if (!r.tasks().containsKey(task) && !a.pendingLaunches.containsKey(task)) {
        it.remove();
        replication.ended(partitionOf(r), a.name, task);
      }
    }
  }

  /**
   * Records a machine once its worker has reported this claim's token. A late copy of an old report
   * cannot carry that token if its machine was returned, even by a controller that has crashed
   * since.
   */
  private void register(WorkerSession a, WorkerCodec.Report r) {
    if (a.recordWriteInProgress || !a.claimConfirmed()) {
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
    a.recordWriteInProgress = true;
    store.settle(
        Store.Urgency.LAUNCH,
        new Txn()
            .when(Keys.machine(m.name()), 0)
            .when(Keys.claim(part.toString()), a.claim)
            .put(Keys.machine(m.name()), Records.machine(m)),
        Constants.STATE_TIMEOUT_MS,
        ok -> a.recordWriteInProgress = false);
  }

  /** Handles a report that a worker sent as the answer to a call of this controller. */
  private void acceptPolledReport(WorkerSession a, byte[] body) {
    WorkerCodec.Report r = WorkerCodec.decode(Json.parse(body));
    if (r == null || !r.machine().equals(a.name) || sessions.get(a.name) != a) {
      return;
    }
    if (r.token() > a.token()) {
      onNewerToken(partitionOf(r), a, r);
    } else if (a.newer(r.session(), r.tick()) && !a.leaseExpired) {
      a.missedResponses = 0; // the worker answered, so messages reach it
      acceptReport(a, r, false);
      StateCache.Entry<Machine> e = view.machines.get(a.name);
      long claim = e == null ? 0 : membership.owned(e.value().part());
      if (claim == a.claim && claim != 0) {
        PartitionWriter l = writer(e.value().part(), claim);
        markIfChanged(a, e.value(), l);
        commands.sendUrgent(a, e.value(), l);
      }
    }
  }
}
