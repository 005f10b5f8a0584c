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
 * What workers are told and asked: launches, kills, forgets, in answers to reports and directly.
 */
final class WorkerCommands {
  /** Takes in a report that came as the answer to a call of ours. */
  interface Heard {
    void heard(WorkerSession a, byte[] body);
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
  private final Heard heard;
  private long stalledAt;

  /** Introductions that may still be made in this step. */
  private int introductions;

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
      Heard heard) {
    this.replication = replication;
    this.clock = clock;
    this.out = out;
    this.settings = settings;
    this.view = view;
    this.evidence = evidence;
    this.placer = placer;
    this.rounds = rounds;
    this.watermark = watermark;
    this.heard = heard;
  }

  Histogram launchMs() {
    return launchMs;
  }

  boolean silent(WorkerSession a) {
    double reports = Constants.LOST_REPORTS * settings.workers().reportS() * 1000;
    return a.deaf() || a.unanswered && clock.now() - heardAt(a) > reports;
  }

  /** A step of the clock begins. */
  void step() {
    introductions = Constants.INTRODUCTIONS_A_STEP;
  }

  /** This controller fell behind: what workers said meanwhile may still wait to be read. */
  void stalled() {
    stalledAt = clock.now();
  }

  private long heardAt(WorkerSession a) {
    return Math.max(stalledAt, Math.max(a.lastHeard, a.since));
  }

  /**
   * Asks a worker that has gone quiet, and one that has not seen this claim's token: after a
   * takeover it may wait seconds for its former owner, and until it has seen the token nothing here
   * is proved.
   */
  void ask(WorkerSession a) {
    long now = clock.now();
    if (a.expectedSession > 0 && introduce(a)) {
      return;
    }
    boolean quiet = now - heardAt(a) > Constants.ASK_REPORTS * settings.workers().reportS() * 1000;
    if (a.asking
        || a.directBusy
        || a.addr.isEmpty()
        || now < a.nextAsk
        || !quiet && (a.trusted() || a.lastHeard > 0 || now - a.since < Constants.ASK_FIRST_MS)) {
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
          heard.heard(a, body);
          if (!a.trusted() && a.session > 0) {
            direct(a, a.session, List.of());
          }
        });
  }

  /**
   * Shows a worker the token of this owner's claim at once, in the session that its former owner
   * knew: from then on it heeds no other, and what it reports is proof. False where that is to
   * wait, or the worker has been heard already.
   */
  private boolean introduce(WorkerSession a) {
    if (a.lastHeard > 0 || a.directBusy || a.addr.isEmpty()) {
      a.expectedSession = 0;
      return false;
    }
    if (introductions == 0) {
      return true;
    }
    introductions--;
    long session = a.expectedSession;
    a.expectedSession = 0;
    a.introducing = true;
    direct(a, session, List.of());
    return true;
  }

  /** The commands that go with the answer to a report. */
  List<WorkerCodec.Order> reply(WorkerSession a, Machine m, PartitionWriter l, long tick) {
    List<WorkerCodec.Order> orders = orders(a, m, l, true);
    for (WorkerCodec.Order o : orders) {
      if (o.verb() == WorkerCodec.Verb.LAUNCH) {
        a.flight(o.task()).replyTick = tick;
        launched(a, o.task());
      }
    }
    return orders;
  }

  /** Sends at once what should not wait for the next report. */
  void urgent(WorkerSession a, Machine m, PartitionWriter l) {
    if (a.directBusy || a.addr.isEmpty() || !a.trusted() || a.leaseOver || !placer.heardLately(a)) {
      return;
    }
    List<WorkerCodec.Order> orders = orders(a, m, l, false);
    if (!orders.isEmpty()) {
      direct(a, a.session, orders);
    }
  }

  /** What the worker is to do now, by what it last reported. */
  private List<WorkerCodec.Order> orders(
      WorkerSession a, Machine m, PartitionWriter l, boolean reply) {
    List<WorkerCodec.Order> orders = new ArrayList<>();
    List<WorkerCodec.Order> completed = new ArrayList<>();
    for (Map.Entry<TaskId, WorkerCodec.Seen> t : a.seen.entrySet()) {
      WorkerCodec.Seen s = t.getValue();
      Integer recorded = m.tasks().get(t.getKey());
      boolean ours = recorded != null && recorded == s.attempt();
      if (s.state() == WorkerCodec.State.ENDED) {
        // Only what is durable is forgotten: until then the report is the only record of the end.
        if (reply && !ours && !l.moving(t.getKey())) {
          // What did not complete may come here again, and would be refused while this is known.
          boolean soon = s.cause() != WorkerCodec.Cause.DONE;
          (soon ? orders : completed)
              .add(new WorkerCodec.Order(WorkerCodec.Verb.FORGET, t.getKey(), s.attempt(), 0));
        }
        continue;
      }
      Double grace = grace(a, t.getKey(), s, m, ours, l);
      Long before = a.killed.get(t.getKey());
      if (grace != null
          && (before == null
              || clock.now() - before > settings.workers().reportS() * 1000 && grace == 0)) {
        a.killed.put(t.getKey(), clock.now());
        orders.add(new WorkerCodec.Order(WorkerCodec.Verb.KILL, t.getKey(), s.attempt(), grace));
      }
    }
    if (completed.size() >= Constants.FORGET_TOGETHER) {
      orders.addAll(completed);
    }
    // Out of touch this owner may not know that a job was cancelled, and a worker that comes with a
    // new session, its tasks gone with its lease, must not get them by the record once more.
    if (!watermark.recent()
        || !a.trusted()
        || a.leaseOver
        || a.deaf()
        || view.drains.containsKey(m.name())) {
      return orders;
    }
    for (Map.Entry<TaskId, Integer> t : m.tasks().entrySet()) {
      if (a.seen.containsKey(t.getKey())) {
        continue;
      }
      WorkerSession.Flight f = a.flights.get(t.getKey());
      boolean open = f == null || reply && f.replyTick == 0 && !a.directBusy;
      // What a write under way takes off the machine must not be started there again.
      if (open && !l.moving(t.getKey()) && evidence.wanted(t.getKey(), t.getValue(), m)) {
        orders.add(new WorkerCodec.Order(WorkerCodec.Verb.LAUNCH, t.getKey(), t.getValue(), 0));
      }
    }
    return orders;
  }

  /** Seconds a task gets to save when it is to stop; null if it is to run on. */
  private Double grace(
      WorkerSession a, TaskId t, WorkerCodec.Seen s, Machine m, boolean ours, PartitionWriter l) {
    StateCache.Entry<Job> j = view.jobs.get(t.job());
    boolean runs = view.shouldRun(t.job());
    if (!ours || !runs) {
      return l.moving(t) && runs ? null : Double.valueOf(0);
    }
    JobSpec spec = j.value().spec();
    if (!evidence.wanted(t, s.attempt(), m)) {
      return spec.checkpoints() ? spec.graceS() : 0;
    }
    if (s.state() == WorkerCodec.State.RUNNING && rounds.target(t, m.name()) != null) {
      return spec.checkpoints() ? spec.graceS() : 0;
    }
    if (view.cordons.contains(m.name()) && spec.service()) {
      return 0.0; // an operator's drain: replicas go elsewhere at once, other tasks may finish
    }
    boolean leaving = a.noticeUntil > 0 || view.cordons.contains(m.name());
    if (leaving && spec.checkpoints() && s.state() != WorkerCodec.State.SAVING) {
      return spec.graceS(); // the notice: save while there is time
    }
    if (a.noticeUntil > 0 && !spec.checkpoints() && !spec.service() && tooLate(a, t, spec)) {
      return 0.0; // it would be lost with the machine: better begun anew elsewhere now than then
    }
    return null;
  }

  /** Whether a task cannot be expected to end before its machine is taken. */
  private boolean tooLate(WorkerSession a, TaskId t, JobSpec spec) {
    Long since = a.launched.get(t);
    double left = (a.noticeUntil - clock.now()) / 1000.0;
    double run = since == null ? 0 : (clock.now() - since) / 1000.0;
    return spec.estimateS() - run > left * Constants.NOTICE_SLACK;
  }

  private void direct(WorkerSession a, long session, List<WorkerCodec.Order> orders) {
    long token = a.token();
    List<TaskId> launches = new ArrayList<>();
    for (WorkerCodec.Order o : orders) {
      if (o.verb() == WorkerCodec.Verb.LAUNCH) {
        a.flight(o.task()).directToken = token;
        launches.add(o.task());
      }
    }
    a.directBusy = true;
    out.orders(
        a.addr,
        "/orders",
        Json.bytes(WorkerCodec.direct(token, session, orders)),
        Constants.ORDERS_TIMEOUT_MS,
        (status, body) -> answered(a, launches, status, body));
  }

  private void answered(WorkerSession a, List<TaskId> launches, int status, byte[] body) {
    a.directBusy = false;
    boolean introduced = a.introducing;
    a.introducing = false;
    boolean certain = status == 200 || status == 409 || status == 400 || status == Outbox.NOT_SENT;
    if (certain) {
      for (TaskId t : launches) {
        WorkerSession.Flight f = a.flights.get(t);
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
      heard.heard(a, body);
    }
    if (introduced && status == 409 && !a.trusted() && a.session > 0 && !a.directBusy) {
      direct(a, a.session, List.of()); // the session was another one than the former owner knew
    }
  }

  private void launched(WorkerSession a, TaskId t) {
    StateCache.Entry<Job> j = view.jobs.get(t.job());
    boolean first = a.launched.put(t, clock.now()) == null;
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
