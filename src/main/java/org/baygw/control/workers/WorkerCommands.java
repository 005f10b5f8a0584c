package org.baygw.control.workers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
import org.baygw.control.core.Replication;
import org.baygw.control.membership.CancellationWatermark;
import org.baygw.control.model.Job;
import org.baygw.control.model.JobSpec;
import org.baygw.control.model.Machine;
import org.baygw.control.model.TaskId;
import org.baygw.control.store.StateCache;

/**
 * Sends orders to workers (launch, kill, forget), in responses to reports and in direct calls, and
 * probes workers.
 */
final class WorkerCommands {
  /** Handles a report that came as the answer to a call of this controller. */
  interface ReportHandler {
    void handle(WorkerSession worker, byte[] body);
  }

  private final Clock clock;
  private final Outbox out;
  private final Settings settings;
  private final StateCache cache;
  private final TerminationEvidence evidence;
  private final BestFitPlacer placer;
  private final ConsolidationRound rounds;
  private final CancellationWatermark watermark;
  private final Replication replication;
  private final OrderLog orderLog;
  private final ReportHandler reportHandler;
  private long stalledAt;

  /** Token announcements that may still be sent in this tick. */
  private int announcementsLeft;

  private final Histogram launchMs =
      new Histogram(Constants.HISTOGRAM_MAX_MS, Constants.HISTOGRAM_DIGITS);

  WorkerCommands(
      Clock clock,
      Outbox out,
      Settings settings,
      StateCache cache,
      TerminationEvidence evidence,
      BestFitPlacer placer,
      ConsolidationRound rounds,
      CancellationWatermark watermark,
      Replication replication,
      OrderLog orderLog,
      ReportHandler reportHandler) {
    this.orderLog = orderLog;
    this.replication = replication;
    this.clock = clock;
    this.out = out;
    this.settings = settings;
    this.cache = cache;
    this.evidence = evidence;
    this.placer = placer;
    this.rounds = rounds;
    this.watermark = watermark;
    this.reportHandler = reportHandler;
  }

  Histogram launchMs() {
    return launchMs;
  }

  boolean silent(WorkerSession worker) {
    double maxSilenceMs = Constants.LOST_REPORTS * settings.workers().reportS() * 1000;
    return worker.missesResponses()
        || worker.probeUnanswered && clock.now() - lastHeardAt(worker) > maxSilenceMs;
  }

  /** Called at the start of a tick. */
  void beginTick() {
    announcementsLeft = Constants.TOKEN_ANNOUNCEMENTS_PER_TICK;
  }

  /**
   * Called after this controller stalled: reports that came meanwhile may not have been read yet.
   */
  void stalled() {
    stalledAt = clock.now();
  }

  private long lastHeardAt(WorkerSession worker) {
    return Math.max(stalledAt, Math.max(worker.lastHeard, worker.createdAt));
  }

  /**
   * Probes a worker that is silent or has not seen this claim's token: after a takeover it may wait
   * seconds for its former owner, and until it has seen the token none of its reports is proof.
   */
  void probe(WorkerSession worker) {
    long now = clock.now();
    if (worker.expectedSession > 0 && announceToken(worker)) {
      return;
    }
    boolean quiet =
        now - lastHeardAt(worker)
            > Constants.PROBE_AFTER_REPORTS * settings.workers().reportS() * 1000;
    if (worker.probing
        || worker.directCallInFlight
        || worker.addr.isEmpty()
        || now < worker.nextProbe
        || !quiet
            && (worker.claimConfirmed()
                || worker.lastHeard > 0
                || now - worker.createdAt < Constants.PROBE_AFTER_TAKEOVER_MS)) {
      return;
    }
    worker.probing = true;
    worker.nextProbe =
        now + (long) (settings.workers().reportS() * 1000 * Constants.PROBE_INTERVAL_REPORTS);
    out.call(
        worker.addr,
        "GET",
        "/show",
        null,
        Constants.PROBE_TIMEOUT_MS,
        (status, body) -> {
          worker.probing = false;
          if (status != 200) {
            worker.probeUnanswered = true;
            return;
          }
          reportHandler.handle(worker, body);
          if (!worker.claimConfirmed() && worker.session > 0) {
            sendDirect(worker, worker.session, List.of());
          }
        });
  }

  /**
   * Announces this claim's token to a worker at once, in the session that its former owner knew:
   * from then on the worker accepts no older token, and its reports are proof. Returns true if the
   * announcement was sent or has to wait for a later tick; false if the worker has been heard from
   * already or cannot be called now.
   */
  private boolean announceToken(WorkerSession worker) {
    if (worker.lastHeard > 0 || worker.directCallInFlight || worker.addr.isEmpty()) {
      worker.expectedSession = 0;
      return false;
    }
    if (announcementsLeft == 0) {
      return true;
    }
    announcementsLeft--;
    long session = worker.expectedSession;
    worker.expectedSession = 0;
    worker.announcingToken = true;
    sendDirect(worker, session, List.of());
    return true;
  }

  /** The orders that go with the response to a report. */
  List<WorkerCodec.Order> ordersForReport(
      WorkerSession worker, Machine machine, PartitionWriter writer, long tick) {
    List<WorkerCodec.Order> orders = dueOrders(worker, machine, writer, true);
    worker.fenceForgottenLaunches(orders);
    for (WorkerCodec.Order order : orders) {
      if (order.verb() == WorkerCodec.Verb.LAUNCH) {
        worker.pendingLaunch(order.task()).reportTick = tick;
        recordLaunch(worker, order.task());
      }
    }
    orderLog.sentInResponse(worker, tick, orders);
    return orders;
  }

  /** Sends orders that should not wait for the next report. */
  void sendUrgent(WorkerSession worker, Machine machine, PartitionWriter writer) {
    if (worker.directCallInFlight
        || worker.addr.isEmpty()
        || !worker.claimConfirmed()
        || worker.leaseExpired
        || !placer.recentlyHeard(worker)) {
      return;
    }
    List<WorkerCodec.Order> orders = dueOrders(worker, machine, writer, false);
    if (!orders.isEmpty()) {
      sendDirect(worker, worker.session, orders);
    }
  }

  /** The orders for a worker according to its last report and the record. */
  private List<WorkerCodec.Order> dueOrders(
      WorkerSession worker, Machine machine, PartitionWriter writer, boolean inResponse) {
    List<WorkerCodec.Order> orders = new ArrayList<>();
    List<WorkerCodec.Order> completed = new ArrayList<>();
    for (Map.Entry<TaskId, WorkerCodec.ReportedTask> entry : worker.reported.entrySet()) {
      WorkerCodec.ReportedTask reported = entry.getValue();
      Integer recordedAttempt = machine.tasks().get(entry.getKey());
      boolean onRecord = recordedAttempt != null && recordedAttempt == reported.attempt();
      if (reported.state() == WorkerCodec.State.ENDED) {
        // A worker may forget an ended task only once its end is durable: until then the report is
        // the only record of it.
        if (inResponse && !onRecord && !writer.inWrite(entry.getKey())) {
          // A task that did not complete may be placed here again, and the worker would refuse it
          // until it has forgotten this attempt.
          boolean forgetNow = reported.cause() != WorkerCodec.Cause.DONE;
          (forgetNow ? orders : completed)
              .add(WorkerCodec.Order.forget(entry.getKey(), reported.attempt()));
        }
        continue;
      }
      WorkerCodec.Order kill =
          killOrder(worker, entry.getKey(), reported, machine, onRecord, writer);
      Long lastKill = worker.killSentAt.get(entry.getKey());
      if (kill != null
          && (lastKill == null
              || clock.now() - lastKill > settings.workers().reportS() * 1000
                  && kill.graceS() == 0)) {
        // The answer to a late copy of a report reaches nobody, so an order in it was not given.
        if (worker.claimConfirmed()) {
          worker.killSentAt.put(entry.getKey(), clock.now());
        }
        orders.add(kill);
      }
    }
    if (completed.size() >= Constants.FORGET_BATCH_TASKS) {
      orders.addAll(completed);
    }
    // No launches with outdated knowledge of cancellations: a task on record may belong to a job
    // that was cancelled meanwhile, and if it ended with its worker's lease, it must not be
    // launched again in the worker's new session.
    if (!watermark.recent()
        || !worker.claimConfirmed()
        || worker.leaseExpired
        || worker.missesResponses()
        || cache.drains.containsKey(machine.name())) {
      return orders;
    }
    for (Map.Entry<TaskId, Integer> entry : machine.tasks().entrySet()) {
      if (worker.reported.containsKey(entry.getKey())) {
        continue;
      }
      WorkerSession.PendingLaunch launch = worker.pendingLaunches.get(entry.getKey());
      boolean launchable =
          launch == null && (inResponse || worker.canRaiseToken())
              || inResponse && launch.reportTick == 0 && !worker.directCallInFlight;
      // A task that a write in flight removes from the machine must not be launched there again.
      if (launchable
          && !writer.inWrite(entry.getKey())
          && evidence.shouldRun(entry.getKey(), entry.getValue(), machine)) {
        orders.add(WorkerCodec.Order.launch(entry.getKey(), entry.getValue()));
      }
    }
    return orders;
  }

  /** The order to stop a reported task; null if it should keep running. */
  private WorkerCodec.Order killOrder(
      WorkerSession worker,
      TaskId task,
      WorkerCodec.ReportedTask reported,
      Machine machine,
      boolean onRecord,
      PartitionWriter writer) {
    int attempt = reported.attempt();
    boolean runs = cache.shouldRun(task.job());
    if (!runs) {
      return WorkerCodec.Order.kill(task, attempt, 0, OrderReason.JOB_ENDED);
    }
    if (!onRecord) {
      return writer.inWrite(task)
          ? null
          : WorkerCodec.Order.kill(task, attempt, 0, OrderReason.NOT_ON_RECORD);
    }
    JobSpec spec = cache.jobs.get(task.job()).value().spec();
    double saveS = spec.checkpoints() ? spec.graceS() : 0;
    if (!evidence.shouldRun(task, attempt, machine)) {
      return WorkerCodec.Order.kill(task, attempt, saveS, OrderReason.GRANT_WITHDRAWN);
    }
    if (reported.state() == WorkerCodec.State.RUNNING
        && rounds.target(task, machine.name()) != null) {
      return WorkerCodec.Order.kill(task, attempt, saveS, OrderReason.MOVED);
    }
    Double leavingGraceS = graceOnLeavingMachineS(worker, task, reported, machine, spec);
    return leavingGraceS == null
        ? null
        : WorkerCodec.Order.kill(task, attempt, leavingGraceS, OrderReason.MACHINE_LEAVING);
  }

  /**
   * Seconds that a task gets to save if it is to be stopped because its machine is drained or taken
   * soon; null if it should keep running.
   */
  private Double graceOnLeavingMachineS(
      WorkerSession worker,
      TaskId task,
      WorkerCodec.ReportedTask reported,
      Machine machine,
      JobSpec spec) {
    if (cache.cordons.contains(machine.name()) && spec.service()) {
      return 0.0; // drained by an operator: replicas move at once, other tasks may finish
    }
    boolean leaving = worker.noticeUntil > 0 || cache.cordons.contains(machine.name());
    if (leaving && spec.checkpoints() && reported.state() != WorkerCodec.State.SAVING) {
      return spec.graceS(); // save before the machine is taken
    }
    if (worker.noticeUntil > 0
        && !spec.checkpoints()
        && !spec.service()
        && outlastsNotice(worker, task, spec)) {
      return 0.0; // the task would be lost later with the machine: restart it elsewhere now
    }
    return null;
  }

  /** Whether a task is not expected to end before its machine is taken. */
  private boolean outlastsNotice(WorkerSession worker, TaskId task, JobSpec spec) {
    Long since = worker.launchedAt.get(task);
    double remainingS = (worker.noticeUntil - clock.now()) / 1000.0;
    double runS = since == null ? 0 : (clock.now() - since) / 1000.0;
    return spec.estimateS() - runS > remainingS * Constants.NOTICE_SLACK;
  }

  private void sendDirect(WorkerSession worker, long session, List<WorkerCodec.Order> orders) {
    long token = worker.token();
    List<TaskId> launches = new ArrayList<>();
    for (WorkerCodec.Order order : orders) {
      if (order.verb() == WorkerCodec.Verb.LAUNCH) {
        worker.directLaunchSent(order.task());
        launches.add(order.task());
      }
    }
    worker.directCallInFlight = true;
    orderLog.sentDirectly(worker, session, orders);
    out.sendOrders(
        worker.addr,
        "/orders",
        Json.bytes(WorkerCodec.directOrders(token, session, orders)),
        Constants.ORDERS_TIMEOUT_MS,
        (status, body) -> {
          if (status == 409) {
            orderLog.refused(worker, token, session);
          } else if (status == Outbox.NO_ANSWER) {
            orderLog.unanswered(worker, token, session);
          }
          directAnswered(worker, launches, status, body);
        });
  }

  private void directAnswered(
      WorkerSession worker, List<TaskId> launches, int status, byte[] body) {
    worker.directCallInFlight = false;
    boolean announced = worker.announcingToken;
    worker.announcingToken = false;
    boolean outcomeKnown =
        status == 200 || status == 409 || status == 400 || status == Outbox.NOT_SENT;
    if (outcomeKnown) {
      for (TaskId task : launches) {
        WorkerSession.PendingLaunch launch = worker.pendingLaunches.get(task);
        recordLaunch(worker, task);
        if (launch != null) {
          launch.directToken = 0;
          if (launch.resolved()) {
            worker.pendingLaunches.remove(task);
          }
        }
      }
    } else {
      // The worker may carry out the call minutes later, unless it has seen a higher token by then.
      worker.raiseToken();
    }
    if (status == 200 || status == 409) {
      reportHandler.handle(worker, body);
    }
    if (announced
        && status == 409
        && !worker.claimConfirmed()
        && worker.session > 0
        && !worker.directCallInFlight) {
      sendDirect(worker, worker.session, List.of()); // the former owner knew another session
    }
  }

  private void recordLaunch(WorkerSession worker, TaskId task) {
    StateCache.Entry<Job> jobEntry = cache.jobs.get(task.job());
    boolean firstLaunch = worker.launchedAt.put(task, clock.now()) == null;
    StateCache.Entry<Machine> machine = cache.machines.get(worker.name);
    if (firstLaunch && machine != null) {
      replication.taskLaunched(machine.value().partition(), worker.name, task);
    }
    if (firstLaunch && jobEntry != null) {
      long waited = Math.max(0, clock.wall() - jobEntry.value().acceptedMs());
      launchMs.recordValue(Math.min(waited, Constants.HISTOGRAM_MAX_MS));
    }
  }
}
