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
 * WorkerCommands} composes and sends orders, {@link BestFitPlacer} and {@link ConsolidationRound}
 * choose machines for tasks, and {@link PartitionWriter} writes a partition's durable record.
 */
public final class Workers {
  private static final Logger LOG = LoggerFactory.getLogger(Workers.class);

  private final Clock clock;
  private final Outbox out;
  private final Settings settings;
  private final Store store;
  private final StateCache cache;
  private final Membership membership;
  private final CancellationWatermark watermark;
  private final Replication replication;
  private final Map<String, WorkerSession> sessions = new HashMap<>();
  private final Map<Partition, PartitionWriter> writers = new HashMap<>();

  /** Machines that the cloud has taken back; a late report must not register one again. */
  private final Set<String> goneMachines = new HashSet<>();

  private final ConsolidationRound rounds = new ConsolidationRound();
  private final TerminationEvidence evidence;
  private final BestFitPlacer placer;
  private final OrderLog orderLog;
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
      StateCache cache,
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
    this.cache = cache;
    this.membership = membership;
    this.reachability = new WorkerReachability(clock, out, settings, cache, membership);
    this.evidence = new TerminationEvidence(clock, settings, cache);
    this.deadline =
        new CancellationDeadline(
            clock, settings, cache, membership, evidence, cloud, watermark, this::ownedSession);
    this.placer = new BestFitPlacer(clock, settings, cache, sessions, rounds, replication);
    this.orderLog = new OrderLog(clock, cache);
    this.commands =
        new WorkerCommands(
            clock,
            out,
            settings,
            cache,
            evidence,
            placer,
            rounds,
            watermark,
            replication,
            orderLog,
            this::acceptPolledReport);
  }

  /** Handles a worker's report. */
  public void checkin(long request, byte[] body) {
    WorkerCodec.Report report = WorkerCodec.decode(Json.parse(body));
    if (report == null) {
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
    if (!store.loaded() || cache.partitionsPerZone() == 0) {
      String likely = membership.likelyOwner(report.machine(), report.zone());
      if (likely != null) {
        out.answer(request, 421, Json.bytes(WorkerCodec.redirect(likely)));
      } else {
        out.answer(request, 503, Json.bytes(Json.object().put("error", "state not loaded yet")));
      }
      return;
    }
    reachability.heard(report.zone());
    Partition partition = partitionOf(report);
    long claim = membership.heldClaimStamp(partition);
    if (claim == 0) {
      String owner = membership.owner(partition);
      owner = owner == null ? membership.assignedOwner(partition) : owner;
      boolean other = owner != null && !owner.equals(settings.label());
      out.answer(request, 421, Json.bytes(WorkerCodec.redirect(other ? owner : null)));
      return;
    }
    WorkerSession worker = session(report.machine(), claim);
    if (report.token() > worker.token()) {
      // The worker has seen the token of a newer claim; a 200 response would only keep it reporting
      // here.
      onNewerToken(partition, worker, report);
      out.answer(request, 421, Json.bytes(WorkerCodec.redirect(null)));
      return;
    }
    if (!worker.newer(report.session(), report.tick())
        || cache.drains.get(report.machine()) == StateCache.Drain.GONE
        || goneMachines.contains(report.machine())) {
      orderLog.outdated(worker, report);
      out.answer(
          request,
          503,
          Json.bytes(Json.object().put("error", "outdated report or returned machine")));
      return;
    }
    worker.countMissedResponses(report, clock.now(), evidence.leaseMs());
    acceptReport(worker, report, true);
    StateCache.Entry<Machine> entry = cache.machines.get(worker.name);
    PartitionWriter writer = writer(partition, claim);
    if (entry == null) {
      register(worker, report);
    } else {
      markIfChanged(worker, entry.value(), writer);
    }
    if (!watermark.recent()) {
      // A 200 response would renew the worker's lease, also for tasks whose cancellation this
      // controller may not know of. Tasks known to be cancelled are still stopped directly.
      if (entry != null) {
        commands.sendUrgent(worker, entry.value(), writer);
      }
      out.answer(
          request,
          503,
          Json.bytes(Json.object().put("error", "knowledge of cancellations is out of date")));
      return;
    }
    List<WorkerCodec.Order> orders =
        entry == null
            ? List.of()
            : commands.ordersForReport(worker, entry.value(), writer, report.tick());
    worker.lastAnswered = clock.now();
    worker.leaseExpired = false;
    worker.answeredToken = worker.token();
    out.answerOrders(request, Json.bytes(WorkerCodec.response(worker.token(), orders)));
  }

  public void tick() {
    if (!store.loaded() || cache.partitionsPerZone() == 0) {
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
    commands.beginTick();
    boolean checkAll = now >= nextCheck || ownershipChanged();
    if (checkAll || cache.changeCount() != checkedChanges) {
      checkedChanges = cache.changeCount();
      cache.takeChangedMachines().forEach(m -> checkMachine(m, true));
      if (checkAll) {
        nextCheck = now + Constants.MACHINE_CHECK_MS;
        boolean fullCheck = now >= nextFullCheck;
        nextFullCheck = fullCheck ? now + Constants.MACHINE_FULL_CHECK_MS : nextFullCheck;
        sessions.values().removeIf(worker -> !worker.recordWriteInFlight && !owns(worker));
        for (Partition partition : membership.partitions()) {
          if (membership.heldClaimStamp(partition) != 0) {
            List.copyOf(cache.machinesOf(partition)).forEach(m -> checkMachine(m, fullCheck));
          }
        }
      }
    }
    deadline.tick();
    for (Partition partition : membership.partitions()) {
      long claim = membership.heldClaimStamp(partition);
      if (claim == 0) {
        writers.remove(partition);
      } else {
        writer(partition, claim).writeIfDue();
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
      sum += membership.heldClaimStamp(partition);
    }
    boolean changed = sum != ownedStampSum;
    ownedStampSum = sum;
    return changed;
  }

  private void checkMachine(String name, boolean fullCheck) {
    StateCache.Entry<Machine> entry = cache.machines.get(name);
    long claim = entry == null ? 0 : membership.heldClaimStamp(entry.value().partition());
    if (claim == 0) {
      return;
    }
    Machine machine = entry.value();
    WorkerSession worker = session(name, claim);
    if (worker.addr.isEmpty()) {
      worker.addr = machine.addr();
    }
    PartitionWriter writer = writer(machine.partition(), claim);
    if (cache.drains.get(name) == StateCache.Drain.GONE) {
      if (goneMachines.add(name)) {
        replication.machineGone(machine.partition(), name);
      }
      writer.dirty(name);
      return;
    }
    // Probe the worker even while its record cannot be written: a network partition may end during
    // an outage of the state service, and the machine must not count as silent afterwards.
    commands.probe(worker);
    if (evidence.expireLease(worker) || fullCheck) {
      markIfChanged(worker, machine, writer);
      commands.sendUrgent(worker, machine, writer);
    } else if (condition(worker, machine) != machine.condition()) {
      markIfChanged(worker, machine, writer);
    }
  }

  private Machine.Condition condition(WorkerSession worker, Machine machine) {
    if (cache.drains.containsKey(machine.name())) {
      return machine.condition();
    } else if (worker.sick) {
      return Machine.Condition.SICK;
    } else if (commands.silent(worker)) {
      // If no other worker was heard from recently, this one's silence proves nothing and its
      // recorded condition stays. A machine recorded as SILENT stays so until its worker is heard
      // from, or the leader would restart its count of the silence again and again.
      return worker.missesResponses() || reachability.silenceIsConclusive()
          ? Machine.Condition.SILENT
          : machine.condition();
    } else if (worker.noticeUntil > 0 || cache.cordons.contains(machine.name())) {
      return Machine.Condition.LEAVING;
    }
    return worker.lastHeard > 0 ? Machine.Condition.OK : machine.condition();
  }

  /**
   * Marks the machine for the next write if tasks on it are proved to have ended or its condition
   * has changed.
   */
  private void markIfChanged(WorkerSession worker, Machine machine, PartitionWriter writer) {
    worker.condition = condition(worker, machine);
    if (worker.condition != machine.condition()
        || !evidence.endedTasks(worker, machine).isEmpty()) {
      writer.dirty(machine.name());
    }
  }

  public ConsolidationRound rounds() {
    return rounds;
  }

  /** Counts of messages to and from workers. */
  public MessageCounters messageCounters() {
    return orderLog.counters();
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
            cache,
            cache.params,
            this::candidates,
            this::pendingTasks,
            this::ageS,
            this::pinned,
            (machine, image) -> cache.machines.get(machine).value().images().contains(image));
    if (!placed.isEmpty()) {
      placer.preferMachines(placed);
    }
  }

  private List<MachineCapacity> candidates() {
    List<MachineCapacity> capacities = new ArrayList<>();
    for (Partition partition : membership.partitions()) {
      long claim = membership.heldClaimStamp(partition);
      if (claim != 0) {
        capacities.addAll(placer.capacities(partition, claim));
      }
    }
    return capacities;
  }

  /**
   * Tasks granted to this controller's partitions that are on no machine and in no write in flight.
   */
  private Map<TaskId, Partition> pendingTasks() {
    Map<TaskId, Partition> found = new LinkedHashMap<>();
    for (Partition partition : membership.partitions()) {
      long claim = membership.heldClaimStamp(partition);
      if (claim != 0) {
        PartitionWriter writer = writer(partition, claim);
        cache.unplaced(partition).stream()
            .filter(t -> !writer.inWrite(t))
            .forEach(t -> found.put(t, partition));
      }
    }
    return found;
  }

  /**
   * Upper bound on the seconds of work that moving the task would lose: the time since its launch,
   * or infinity if the launch time is unknown. 0 for a service replica, which has no work to lose,
   * so that its age never prevents a move.
   */
  private double ageS(String machine, TaskId task) {
    if (cache.jobs.get(task.job()).value().spec().service()) {
      return 0;
    }
    Long launchedAt = sessions.get(machine).launchedAt.get(task);
    return launchedAt == null ? Double.POSITIVE_INFINITY : (clock.now() - launchedAt) / 1000.0;
  }

  private boolean pinned(String machine, TaskId task) {
    WorkerCodec.ReportedTask reported = sessions.get(machine).reported.get(task);
    return reported == null || reported.state() != WorkerCodec.State.RUNNING;
  }

  private boolean owns(WorkerSession worker) {
    StateCache.Entry<Machine> entry = cache.machines.get(worker.name);
    return entry != null && membership.heldClaimStamp(entry.value().partition()) == worker.claim
        || clock.now() - worker.createdAt < Constants.UNREGISTERED_MS && entry == null;
  }

  /** The session of the machine's worker; null if this controller does not own the machine. */
  private WorkerSession ownedSession(Machine machine) {
    long claim = membership.heldClaimStamp(machine.partition());
    return claim == 0 ? null : session(machine.name(), claim);
  }

  private WorkerSession session(String machine, long claim) {
    WorkerSession worker = sessions.get(machine);
    if (worker == null || worker.claim != claim) {
      // State kept under another claim must not count as proof under this one.
      worker = new WorkerSession(machine, claim, clock.now());
      sessions.put(machine, worker);
      inherit(worker);
    }
    return worker;
  }

  /**
   * Copies what the partition's former owner replicated about a worker: address, session, launch
   * times, failures, and whether the machine is sick. None of it counts as proof that a task has
   * ended.
   */
  private void inherit(WorkerSession worker) {
    StateCache.Entry<Machine> machine = cache.machines.get(worker.name);
    Replication.InheritedWorker inherited =
        machine == null
            ? null
            : replication.inheritedWorker(machine.value().partition(), worker.name);
    if (inherited == null) {
      return;
    }
    worker.addr = inherited.address();
    worker.expectedSession = inherited.session();
    inherited
        .launchedAgoMs()
        .forEach((task, ago) -> worker.launchedAt.put(task, clock.now() - ago));
    worker.failures.putAll(inherited.failures());
    worker.sick = inherited.sick();
  }

  private PartitionWriter writer(Partition partition, long claim) {
    PartitionWriter writer = writers.get(partition);
    if (writer == null || writer.claim != claim) {
      writer =
          new PartitionWriter(
              partition,
              claim,
              clock,
              settings,
              store,
              cache,
              evidence,
              placer,
              rounds,
              new WriterContext(claim));
      writers.put(partition, writer);
    }
    return writer;
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
    public PartitionWriter writer(Partition partition) {
      long ownedClaim = membership.heldClaimStamp(partition);
      return ownedClaim == 0 ? null : Workers.this.writer(partition, ownedClaim);
    }

    @Override
    public void ended(WorkerSession worker, TaskId task, int attempt, TerminationEvidence.End end) {
      orderLog.ended(worker, task, attempt, end);
    }

    @Override
    public void placed(Set<String> machines) {
      machines.forEach(m -> checkMachine(m, true));
    }
  }

  private void onNewerToken(Partition partition, WorkerSession worker, WorkerCodec.Report report) {
    orderLog.newerToken(worker, report);
    if (report.token() >> Constants.TOKEN_BITS > worker.claim) {
      membership.claimSuperseded(partition, worker.claim);
    }
    store.refresh();
  }

  private Partition partitionOf(WorkerCodec.Report report) {
    return Partition.of(report.machine(), report.zone(), cache.partitionsPerZone());
  }

  /** Applies a report, whether the worker sent it by itself or as the answer to a call. */
  private void acceptReport(WorkerSession worker, WorkerCodec.Report report, boolean checkin) {
    boolean addressOrSessionChanged =
        report.session() != worker.session || !report.addr().equals(worker.addr);
    if (report.session() > worker.session) {
      worker.pendingLaunches.clear(); // the worker refuses orders for an earlier session
      worker.killSentAt.clear();
      // A new session has its full lease from its start, even if none of its reports is answered:
      // tasks launched directly in it run that long.
      worker.lastAnswered = clock.now();
    }
    boolean confirmedBefore = worker.claimConfirmed();
    worker.session = report.session();
    worker.tick = report.tick();
    worker.reportedToken = Math.max(worker.reportedToken, report.token());
    worker.addr = report.addr();
    worker.reported = report.tasks();
    worker.lastHeard = clock.now();
    reachability.heard(report.zone());
    worker.probeUnanswered = false;
    if (worker.claimConfirmed() && !confirmedBefore) {
      worker.lastAnswered = clock.now(); // a former owner may have renewed the lease until now
    }
    worker.noticeUntil =
        report.noticeS() == null ? 0 : clock.now() + (long) (report.noticeS() * 1000);
    worker.clearResolvedLaunches(checkin);
    worker.dropForgottenLaunches();
    worker.killSentAt.keySet().retainAll(report.tasks().keySet());
    if (addressOrSessionChanged) {
      replication.sessionKnown(partitionOf(report), worker.name, worker.addr, worker.session);
    }
    for (Iterator<TaskId> it = worker.launchedAt.keySet().iterator(); it.hasNext(); ) {
      TaskId task = it.next();
      if (!report.tasks().containsKey(task) && !worker.pendingLaunches.containsKey(task)) {
        it.remove();
        replication.taskEnded(partitionOf(report), worker.name, task);
      }
    }
  }

  /**
   * Records a machine once its worker has reported this claim's token. A report that is delivered
   * late, after its machine was returned, cannot carry that token, even if the controller that
   * returned the machine has crashed since.
   */
  private void register(WorkerSession worker, WorkerCodec.Report report) {
    if (worker.recordWriteInFlight || !worker.claimConfirmed()) {
      return;
    }
    Partition partition = partitionOf(report);
    Machine machine =
        new Machine(
            report.machine(),
            report.type(),
            report.zone(),
            report.spot(),
            report.addr(),
            Machine.Condition.OK,
            Map.of(),
            List.of(),
            partition);
    worker.recordWriteInFlight = true;
    store.txnWithRetry(
        Store.Urgency.LAUNCH,
        new Txn()
            .when(Keys.machine(machine.name()), 0)
            .when(Keys.claim(partition.toString()), worker.claim)
            .put(Keys.machine(machine.name()), Records.machine(machine)),
        Constants.STATE_TIMEOUT_MS,
        ok -> worker.recordWriteInFlight = false);
  }

  /** Handles a report that a worker sent as the answer to a call of this controller. */
  private void acceptPolledReport(WorkerSession worker, byte[] body) {
    WorkerCodec.Report report = WorkerCodec.decode(Json.parse(body));
    if (report == null
        || !report.machine().equals(worker.name)
        || sessions.get(worker.name) != worker) {
      return;
    }
    if (report.token() > worker.token()) {
      onNewerToken(partitionOf(report), worker, report);
    } else if (worker.newer(report.session(), report.tick()) && !worker.leaseExpired) {
      worker.missedResponses = 0; // the worker answered, so messages reach it
      acceptReport(worker, report, false);
      StateCache.Entry<Machine> entry = cache.machines.get(worker.name);
      long claim = entry == null ? 0 : membership.heldClaimStamp(entry.value().partition());
      if (claim == worker.claim && claim != 0) {
        PartitionWriter writer = writer(entry.value().partition(), claim);
        markIfChanged(worker, entry.value(), writer);
        commands.sendUrgent(worker, entry.value(), writer);
      }
    }
  }
}
