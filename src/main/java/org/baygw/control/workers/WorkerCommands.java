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
    void handle(WorkerSession a, byte[] body);
  }

  private final Clock clock;
  private final Outbox out;
  private final Settings settings;
  private final StateCache view;
  private final TerminationEvidence evidence;
  private final FirstFitPlacer placer;
  private final ConsolidationRound rounds;
  private final CancellationWatermark watermark;
  private final Replication replication;
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
      StateCache view,
      TerminationEvidence evidence,
      FirstFitPlacer placer,
      ConsolidationRound rounds,
      CancellationWatermark watermark,
      Replication replication,
      ReportHandler heard) {
    this.replication = replication;
    this.clock = clock;
    this.out = out;
    this.settings = settings;
    this.view = view;
    this.evidence = evidence;
    this.placer = placer;
    this.rounds = rounds;
    this.watermark = watermark;
    this.reportHandler = heard;
  }

  Histogram launchMs() {
    return launchMs;
  }

  boolean silent(WorkerSession a) {
    double reports = Constants.LOST_REPORTS * settings.workers().reportS() * 1000;
    return a.missesResponses() || a.probeUnanswered && clock.now() - lastHeardAt(a) > reports;
  }

  /** Called at the start of a tick. */
  void beginStep() {
    announcementsLeft = Constants.TOKEN_ANNOUNCEMENTS_PER_STEP;
  }

  /**
   * Called after this controller stalled: reports that came meanwhile may not have been read yet.
   */
  void stalled() {
    stalledAt = clock.now();
  }

  private long lastHeardAt(WorkerSession a) {
    return Math.max(stalledAt, Math.max(a.lastHeard, a.createdAt));
  }

  /**
   * Probes a worker that is silent or has not seen this claim's token: after a takeover it may wait
   * seconds for its former owner, and until it has seen the token none of its reports is proof.
   */
  void probe(WorkerSession a) {
    long now = clock.now();
    if (a.expectedSession > 0 && announceToken(a)) {
      return;
    }
    boolean quiet =
        now - lastHeardAt(a) > Constants.PROBE_AFTER_REPORTS * settings.workers().reportS() * 1000;
    if (a.probing
        || a.directCallInProgress
        || a.addr.isEmpty()
        || now < a.nextProbe
        || !quiet
            && (a.claimConfirmed()
                || a.lastHeard > 0
                || now - a.createdAt < Constants.PROBE_AFTER_TAKEOVER_MS)) {
      return;
    }
    a.probing = true;
    a.nextProbe =
        now + (long) (settings.workers().reportS() * 1000 * Constants.PROBE_INTERVAL_REPORTS);
    out.call(
        a.addr,
        "GET",
        "/show",
        null,
        Constants.PROBE_TIMEOUT_MS,
        (status, body) -> {
          a.probing = false;
          if (status != 200) {
            a.probeUnanswered = true;
            return;
          }
          reportHandler.handle(a, body);
          if (!a.claimConfirmed() && a.session > 0) {
            sendDirect(a, a.session, List.of());
          }
        });
  }

  /**
   * Announces this claim's token to a worker at once, in the session that its former owner knew:
   * from then on the worker accepts no older token, and its reports are proof. Returns true if the
   * announcement was sent or has to wait for a later tick; false if the worker has been heard
   * already or cannot be called now.
   */
  private boolean announceToken(WorkerSession a) {
    if (a.lastHeard > 0 || a.directCallInProgress || a.addr.isEmpty()) {
      a.expectedSession = 0;
      return false;
    }
    if (announcementsLeft == 0) {
      return true;
    }
    announcementsLeft--;
    long session = a.expectedSession;
    a.expectedSession = 0;
    a.announcingToken = true;
    sendDirect(a, session, List.of());
    return true;
  }

  /** The orders that go with the response to a report. */
  List<WorkerCodec.Order> ordersForReport(
      WorkerSession a, Machine m, PartitionWriter l, long tick) {
    List<WorkerCodec.Order> orders = dueOrders(a, m, l, true);
    for (WorkerCodec.Order o : orders) {
      if (o.verb() == WorkerCodec.Verb.LAUNCH) {
        a.pendingLaunch(o.task()).replyTick = tick;
        recordLaunch(a, o.task());
      }
    }
    return orders;
  }

  /** Sends orders that should not wait for the next report. */
  void sendUrgent(WorkerSession a, Machine m, PartitionWriter l) {
    if (a.directCallInProgress
        || a.addr.isEmpty()
        || !a.claimConfirmed()
        || a.leaseExpired
        || !placer.recentlyHeard(a)) {
      return;
    }
    List<WorkerCodec.Order> orders = dueOrders(a, m, l, false);
    if (!orders.isEmpty()) {
      sendDirect(a, a.session, orders);
    }
  }

  /** The orders for a worker according to its last report and the record. */
  private List<WorkerCodec.Order> dueOrders(
      WorkerSession a, Machine m, PartitionWriter l, boolean reply) {
    List<WorkerCodec.Order> orders = new ArrayList<>();
    List<WorkerCodec.Order> completed = new ArrayList<>();
    for (Map.Entry<TaskId, WorkerCodec.ReportedTask> t : a.reported.entrySet()) {
      WorkerCodec.ReportedTask s = t.getValue();
      Integer recorded = m.tasks().get(t.getKey());
      boolean ours = recorded != null && recorded == s.attempt();
      if (s.state() == WorkerCodec.State.ENDED) {
        // A worker may forget an ended task only once its end is durable: until then the report is
        // the only record of it.
        if (reply && !ours && !l.inWrite(t.getKey())) {
          // A task that did not complete may be placed here again, and the worker would refuse it
          // until it has forgotten this attempt.
          boolean soon = s.cause() != WorkerCodec.Cause.DONE;
          (soon ? orders : completed)
              .add(new WorkerCodec.Order(WorkerCodec.Verb.FORGET, t.getKey(), s.attempt(), 0));
        }
        continue;
      }
      Double grace = stopGraceS(a, t.getKey(), s, m, ours, l);
      Long before = a.killSentAt.get(t.getKey());
      if (grace != null
          && (before == null
              || clock.now() - before > settings.workers().reportS() * 1000 && grace == 0)) {
        a.killSentAt.put(t.getKey(), clock.now());
        orders.add(new WorkerCodec.Order(WorkerCodec.Verb.KILL, t.getKey(), s.attempt(), grace));
      }
    }
    if (completed.size() >= Constants.FORGET_BATCH_TASKS) {
      orders.addAll(completed);
    }
    // With outdated knowledge of cancellations this owner may not know that a job was cancelled,
    // and a worker with a new session, whose tasks ended with its lease, must not be given them
    // again by the record.
    if (!watermark.recent()
        || !a.claimConfirmed()
        || a.leaseExpired
        || a.missesResponses()
        || view.drains.containsKey(m.name())) {
      return orders;
    }
    for (Map.Entry<TaskId, Integer> t : m.tasks().entrySet()) {
      if (a.reported.containsKey(t.getKey())) {
        continue;
      }
      WorkerSession.PendingLaunch f = a.pendingLaunches.get(t.getKey());
      boolean open = f == null || reply && f.replyTick == 0 && !a.directCallInProgress;
      // A task that a write in progress removes from the machine must not be launched there again.
      if (open && !l.inWrite(t.getKey()) && evidence.shouldRun(t.getKey(), t.getValue(), m)) {
        orders.add(new WorkerCodec.Order(WorkerCodec.Verb.LAUNCH, t.getKey(), t.getValue(), 0));
      }
    }
    return orders;
  }

  /** Seconds that a task gets to save if it is to be stopped; null if it should keep running. */
  private Double stopGraceS(
      WorkerSession a,
      TaskId t,
      WorkerCodec.ReportedTask s,
      Machine m,
      boolean ours,
      PartitionWriter l) {
    StateCache.Entry<Job> j = view.jobs.get(t.job());
    boolean runs = view.runs(t.job());
    if (!ours || !runs) {
      return l.inWrite(t) && runs ? null : Double.valueOf(0);
    }
    JobSpec spec = j.value().spec();
    if (!evidence.shouldRun(t, s.attempt(), m)) {
      return spec.checkpoints() ? spec.graceS() : 0;
    }
    if (s.state() == WorkerCodec.State.RUNNING && rounds.target(t, m.name()) != null) {
      return spec.checkpoints() ? spec.graceS() : 0;
    }
    if (view.cordons.contains(m.name()) && spec.service()) {
      return 0.0; // drained by an operator: replicas move at once, other tasks may finish
    }
    boolean leaving = a.noticeUntil > 0 || view.cordons.contains(m.name());
    if (leaving && spec.checkpoints() && s.state() != WorkerCodec.State.SAVING) {
      return spec.graceS(); // save before the machine is taken
    }
    if (a.noticeUntil > 0 && !spec.checkpoints() && !spec.service() && outlastsNotice(a, t, spec)) {
      return 0.0; // the task would be lost later with the machine: restart it elsewhere now
    }
    return null;
  }

  /** Whether a task is not expected to end before its machine is taken. */
  private boolean outlastsNotice(WorkerSession a, TaskId t, JobSpec spec) {
    Long since = a.launchedAt.get(t);
    double left = (a.noticeUntil - clock.now()) / 1000.0;
    double run = since == null ? 0 : (clock.now() - since) / 1000.0;
    return spec.estimateS() - run > left * Constants.NOTICE_SLACK;
  }

  private void sendDirect(WorkerSession a, long session, List<WorkerCodec.Order> orders) {
    long token = a.token();
    List<TaskId> launches = new ArrayList<>();
    for (WorkerCodec.Order o : orders) {
      if (o.verb() == WorkerCodec.Verb.LAUNCH) {
        a.pendingLaunch(o.task()).directToken = token;
        launches.add(o.task());
      }
    }
    a.directCallInProgress = true;
    out.orders(
        a.addr,
        "/orders",
        Json.bytes(WorkerCodec.directOrders(token, session, orders)),
        Constants.ORDERS_TIMEOUT_MS,
        (status, body) -> directAnswered(a, launches, status, body));
  }

  private void directAnswered(WorkerSession a, List<TaskId> launches, int status, byte[] body) {
    a.directCallInProgress = false;
    boolean introduced = a.announcingToken;
    a.announcingToken = false;
    boolean certain = status == 200 || status == 409 || status == 400 || status == Outbox.NOT_SENT;
    if (certain) {
      for (TaskId t : launches) {
        WorkerSession.PendingLaunch f = a.pendingLaunches.get(t);
        recordLaunch(a, t);
        if (f != null) {
          f.directToken = 0;
          if (f.resolved()) {
            a.pendingLaunches.remove(t);
          }
        }
      }
    } else {
      // The worker may carry out the call minutes later, unless it has seen a higher token by then.
      a.tokenIncrements++;
    }
    if (status == 200 || status == 409) {
      reportHandler.handle(a, body);
    }
    if (introduced
        && status == 409
        && !a.claimConfirmed()
        && a.session > 0
        && !a.directCallInProgress) {
      sendDirect(a, a.session, List.of()); // the former owner knew another session
    }
  }

  private void recordLaunch(WorkerSession a, TaskId t) {
    StateCache.Entry<Job> j = view.jobs.get(t.job());
    boolean first = a.launchedAt.put(t, clock.now()) == null;
    StateCache.Entry<Machine> machine = view.machines.get(a.name);
    if (first && machine != null) {
      replication.launched(machine.value().part(), a.name, t);
    }
    if (first && j != null) {
      long waited = Math.max(0, clock.wall() - j.value().acceptedMs());
      launchMs.recordValue(Math.min(waited, Constants.HISTOGRAM_MAX_MS));
    }
  }
}
