package org.baygw.control.workers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
import org.baygw.control.membership.CancellationHorizon;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Machine;
import org.baygw.control.model.Part;
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
 * The owner's side of the workers: reports in, commands out. What is proved of a task is in {@link
 * Proofs}, what is said to workers in {@link Contact}, where tasks go in {@link Placing} and {@link
 * Rounds}, and a part's durable record in {@link Ledger}.
 */
public final class Workers {
  private static final Logger LOG = LoggerFactory.getLogger(Workers.class);

  private final Clock clock;
  private final Outbox out;
  private final Settings settings;
  private final Store store;
  private final View view;
  private final Membership membership;
  private final CancellationHorizon horizon;
  private final Map<String, Agent> agents = new HashMap<>();
  private final Map<Part, Ledger> ledgers = new HashMap<>();

  /** Machines the cloud has taken back: a late report must not bring one to life again. */
  private final Set<String> buried = new HashSet<>();

  private final Rounds rounds = new Rounds();
  private final Proofs proofs;
  private final Placing placing;
  private final Contact contact;
  private final Reach reach;
  private final CancellationDeadline deadline;
  private long nextPass;
  private long seenChanges = -1;
  private long nextAll;
  private long lastTick;

  public Workers(
      Clock clock,
      Outbox out,
      Settings settings,
      Store store,
      View view,
      Membership membership,
      CancellationHorizon horizon,
      Cloud cloud) {
    this.horizon = horizon;
    this.clock = clock;
    this.out = out;
    this.settings = settings;
    this.store = store;
    this.view = view;
    this.membership = membership;
    this.reach = new Reach(clock, out, settings, view, membership);
    this.proofs = new Proofs(clock, settings, view);
    this.deadline =
        new CancellationDeadline(
            clock, settings, view, membership, proofs, cloud, horizon, this::owned);
    this.placing = new Placing(clock, settings, view, agents, rounds);
    this.contact = new Contact(clock, out, settings, view, proofs, placing, rounds, this::heard);
  }

  /** A worker's report. */
  public void checkin(long request, byte[] body) {
    WorkerCodec.Report r = WorkerCodec.decode(Json.parse(body));
    if (r == null) {
      out.answer(request, 400, Json.bytes(Json.object().put("error", "no report")));
      return;
    }
    if (!store.loaded() || view.partsPerZone() == 0) {
      String likely = membership.likelyOwner(r.machine(), r.zone());
      if (likely != null) {
        out.answer(request, 421, Json.bytes(WorkerCodec.home(likely)));
      } else {
        out.answer(request, 503, Json.bytes(Json.object().put("error", "not read in yet")));
      }
      return;
    }
    reach.heard(r.zone());
    Part part = Part.of(r.machine(), r.zone(), view.partsPerZone());
    long claim = membership.owned(part);
    if (claim == 0) {
      String owner = membership.owner(part);
      owner = owner == null ? membership.heir(part) : owner;
      boolean other = owner != null && !owner.equals(settings.label());
      out.answer(request, 421, Json.bytes(WorkerCodec.home(other ? owner : null)));
      return;
    }
    Agent a = agent(r.machine(), claim);
    if (r.token() > a.token()) {
      // Someone with a newer claim speaks to it; a 200 of ours would only hold it here.
      overtaken(part, a, r);
      out.answer(request, 421, Json.bytes(WorkerCodec.home(null)));
      return;
    }
    if (!a.newer(r.session(), r.tick())
        || view.drains.get(r.machine()) == View.Drain.GONE
        || buried.contains(r.machine())) {
      out.answer(request, 503, Json.bytes(Json.object().put("error", "an old report")));
      return;
    }
    a.heed(r, clock.now(), proofs.leaseMs());
    take(a, r, true);
    View.Entry<Machine> m = view.machines.get(a.name);
    Ledger l = ledger(part, claim);
    if (m == null) {
      register(a, r);
    } else {
      settle(a, m.value(), l);
    }
    if (!horizon.recent()) {
      // A 200 would let the worker keep tasks of which this controller cannot know that they were
      // cancelled; what is known to be cancelled is stopped directly all the same.
      if (m != null) {
        contact.urgent(a, m.value(), l);
      }
      out.answer(request, 503, Json.bytes(Json.object().put("error", "out of touch")));
      return;
    }
    List<WorkerCodec.Order> orders =
        m == null ? List.of() : contact.reply(a, m.value(), l, r.tick());
    a.lastAnswered = clock.now();
    a.leaseOver = false;
    a.answeredToken = a.token();
    out.answer(request, 200, Json.bytes(WorkerCodec.response(a.token(), orders)));
  }

  public void tick() {
    if (!store.loaded() || view.partsPerZone() == 0) {
      return;
    }
    long now = clock.now();
    if (lastTick > 0 && now - lastTick > Constants.STALL_MS) {
      contact.stalled();
      reach.stalled();
      LOG.info("fell behind by {} ms", now - lastTick);
    }
    lastTick = now;
    reach.tick();
    boolean whole = now >= nextPass;
    if (whole || view.changes() != seenChanges) {
      seenChanges = view.changes();
      view.takeChangedMachines().forEach(m -> lookAt(m, true));
      if (whole) {
        nextPass = now + Constants.LOOK_MS;
        boolean all = now >= nextAll;
        nextAll = all ? now + Constants.LOOK_ALL_MS : nextAll;
        agents.values().removeIf(a -> !a.busy && !owns(a));
        for (Part p : membership.parts()) {
          if (membership.owned(p) != 0) {
            List.copyOf(view.machinesOf(p)).forEach(m -> lookAt(m, all));
          }
        }
      }
    }
    deadline.tick();
    for (Part p : membership.parts()) {
      long claim = membership.owned(p);
      if (claim == 0) {
        ledgers.remove(p);
      } else {
        ledger(p, claim).pump();
      }
    }
  }

  private void lookAt(String name, boolean all) {
    View.Entry<Machine> e = view.machines.get(name);
    long claim = e == null ? 0 : membership.owned(e.value().part());
    if (claim == 0) {
      return;
    }
    Machine m = e.value();
    Agent a = agent(name, claim);
    if (a.addr.isEmpty()) {
      a.addr = m.addr();
    }
    Ledger l = ledger(m.part(), claim);
    if (view.drains.get(name) == View.Drain.GONE) {
      buried.add(name);
      l.dirty(name);
      return;
    }
    // Also while its record cannot be written: in an outage of the state service a cut may end, and
    // the machine must not be taken for silent afterwards.
    contact.ask(a);
    if (proofs.lease(a) || all) {
      settle(a, m, l);
      contact.urgent(a, m, l);
    } else if (condition(a, m) != m.condition()) {
      settle(a, m, l);
    }
  }

  private Machine.Condition condition(Agent a, Machine m) {
    if (view.drains.containsKey(m.name())) {
      return m.condition();
    } else if (a.sick) {
      return Machine.Condition.SICK;
    } else if (contact.silent(a)) {
      // Where nobody else was heard lately that says nothing new; but what is silent stays so until
      // it is
      // heard, or the desk would count its silence from the start again and again.
      return a.deaf() || reach.sure() ? Machine.Condition.SILENT : m.condition();
    } else if (a.noticeUntil > 0 || view.cordons.contains(m.name())) {
      return Machine.Condition.LEAVING;
    }
    return a.lastHeard > 0 ? Machine.Condition.OK : m.condition();
  }

  /** Has it written what is proved gone from the machine, and its condition. */
  private void settle(Agent a, Machine m, Ledger l) {
    a.condition = condition(a, m);
    if (a.condition != m.condition() || !proofs.ends(a, m).isEmpty()) {
      l.dirty(m.name());
    }
  }

  public Rounds rounds() {
    return rounds;
  }

  /** Time from a job's acceptance to each first launch of its tasks here. */
  public Histogram launchMs() {
    return contact.launchMs();
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
      placing.choose(placed);
    }
  }

  private List<Room> candidates() {
    List<Room> found = new ArrayList<>();
    for (Part p : membership.parts()) {
      long claim = membership.owned(p);
      if (claim != 0) {
        found.addAll(placing.rooms(p, claim));
      }
    }
    return found;
  }

  /** Tasks granted to this controller's parts that are on no machine. */
  private Map<TaskId, Part> pending() {
    Map<TaskId, Part> found = new LinkedHashMap<>();
    for (Part p : membership.parts()) {
      long claim = membership.owned(p);
      if (claim != 0) {
        Ledger l = ledger(p, claim);
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
    Long at = agents.get(machine).launched.get(t);
    return at == null ? Double.POSITIVE_INFINITY : (clock.now() - at) / 1000.0;
  }

  private boolean pinned(String machine, TaskId t) {
    WorkerCodec.Seen s = agents.get(machine).seen.get(t);
    return s == null || s.state() != WorkerCodec.State.RUNNING;
  }

  private boolean owns(Agent a) {
    View.Entry<Machine> m = view.machines.get(a.name);
    return m != null && membership.owned(m.value().part()) == a.claim
        || clock.now() - a.since < Constants.UNREGISTERED_MS && m == null;
  }

  /** What this controller knows of a machine's worker; null where it does not own the machine. */
  private Agent owned(Machine m) {
    long claim = membership.owned(m.part());
    return claim == 0 ? null : agent(m.name(), claim);
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

  private Ledger ledger(Part p, long claim) {
    Ledger l = ledgers.get(p);
    if (l == null || l.claim != claim) {
      l =
          new Ledger(
              p, claim, clock, settings, store, view, proofs, placing, rounds, new Ground(claim));
      ledgers.put(p, l);
    }
    return l;
  }

  /** What a ledger sees of the rest. */
  private final class Ground implements Ledger.Owner {
    private final long claim;

    Ground(long claim) {
      this.claim = claim;
    }

    @Override
    public Agent agent(String machine) {
      return Workers.this.agent(machine, claim);
    }

    @Override
    public Ledger ledger(Part part) {
      long held = membership.owned(part);
      return held == 0 ? null : Workers.this.ledger(part, held);
    }

    @Override
    public void placed(Set<String> machines) {
      machines.forEach(m -> lookAt(m, true));
    }
  }

  private void overtaken(Part part, Agent a, WorkerCodec.Report r) {
    if (r.token() >> Constants.TOKEN_BITS > a.claim) {
      membership.overtaken(part, a.claim);
    }
    store.refresh();
  }

  /** Takes in a report, from wherever it came. */
  private void take(Agent a, WorkerCodec.Report r, boolean checkin) {
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
    reach.heard(r.zone());
    a.unanswered = false;
    if (a.trusted() && !trustedBefore) {
      a.lastAnswered = clock.now(); // until now a former owner may have answered
    }
    a.noticeUntil = r.noticeS() == null ? 0 : clock.now() + (long) (r.noticeS() * 1000);
    a.endFlights(checkin);
    a.killed.keySet().retainAll(r.tasks().keySet());
    a.launched.keySet().removeIf(t -> !r.tasks().containsKey(t) && !a.flights.containsKey(t));
  }

  /**
   * Puts a machine on record once its worker has shown this claim's token: a copy of an old report
   * of a machine that was returned, even by a controller that has since crashed, cannot show it.
   */
  private void register(Agent a, WorkerCodec.Report r) {
    if (a.busy || !a.trusted()) {
      return;
    }
    Part part = Part.of(r.machine(), r.zone(), view.partsPerZone());
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
    store.settle(
        Store.Urgency.LAUNCH,
        new Txn()
            .when(Keys.machine(m.name()), 0)
            .when(Keys.claim(part.toString()), a.claim)
            .put(Keys.machine(m.name()), Records.machine(m)),
        Constants.STATE_TIMEOUT_MS,
        ok -> a.busy = false);
  }

  /** A report that came as the answer to a call of ours. */
  private void heard(Agent a, byte[] body) {
    WorkerCodec.Report r = WorkerCodec.decode(Json.parse(body));
    if (r == null || !r.machine().equals(a.name) || agents.get(a.name) != a) {
      return;
    }
    if (r.token() > a.token()) {
      overtaken(Part.of(r.machine(), r.zone(), view.partsPerZone()), a, r);
    } else if (a.newer(r.session(), r.tick()) && !a.leaseOver) {
      a.unheeded = 0; // it answered us, so it hears us
      take(a, r, false);
      View.Entry<Machine> e = view.machines.get(a.name);
      long claim = e == null ? 0 : membership.owned(e.value().part());
      if (claim == a.claim && claim != 0) {
        Ledger l = ledger(e.value().part(), claim);
        settle(a, e.value(), l);
        contact.urgent(a, e.value(), l);
      }
    }
  }
}
