package org.baygw.control.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.baygw.control.Constants;
import org.baygw.control.Controller;
import org.baygw.control.config.Features;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
import org.baygw.control.model.Partition;

/**
 * A simulated deployment: clock, network, state service, cloud, workers and users around real
 * cores. Everything random comes from one seed, so a scenario always plays the same.
 */
final class SimulatedCluster {
  static final String STATE = "10.9.0.1:2379";
  static final String CLOUD = "10.9.0.2:8443";
  static final int REPORT_MS = 2_000;
  static final long TIME_BOUND_MS = 100;

  /**
   * For how long after its release is carried out a controller that waits for the answer is silent.
   */
  private static final long RELEASING_MS = 1_000;

  /** For how long after a freeze a process counts as just woken. */
  private static final long WOKEN_MS = 300;

  private record Event(long at, long order, Runnable action) {}

  /** What happens to messages of one direction between two hosts. */
  enum Cut {
    /** Lost. */
    DROP,
    /** Kept, and delivered when the cut ends. */
    HOLD,
    /** Requests arrive, their answers do not. */
    LOSE_ANSWERS
  }

  private record CutState(Cut kind, long until) {}

  final Random random;
  final List<String> zones;
  final WorkMeter work = new WorkMeter();
  final InvariantChecker checker = new InvariantChecker(this);
  final FailoverProbe probe = new FailoverProbe(this);
  final StateServiceStub state = new StateServiceStub(this);
  final CloudStub cloud = new CloudStub(this);
  final Map<String, WorkerStub> workers = new TreeMap<>();
  final List<String> labels = new ArrayList<>();
  final Map<String, Node> nodes = new TreeMap<>();
  final List<Settings.Team> teams;
  private final Map<String, CutState> cuts = new HashMap<>();

  /** Workers whose reports are delivered once more, so much later, until then. */
  private final Map<String, long[]> copies = new HashMap<>();

  /** Until when workers' reports reach no controller, while direct commands are answered. */
  private final Map<String, Long> mute = new HashMap<>();

  /** Orders that controllers sent just after their claims were released. */
  int ordersAfterRelease;

  /** Orders that woken processes sent after others had replaced them. */
  int staleOrders;

  /** When scenarios ended the leader's controller. */
  final List<Long> crashes = new ArrayList<>();

  /** When a scenario last ended the leader's controller. */
  long lastCrashAt;

  /** Which optional subsystems controllers run with. */
  Features features = Features.NONE;

  long leaseMs = 10_000;
  long cancelMs = 35_000;
  double stateRps = 400;
  double stateWriteRps = 200;
  double stateValueKb = 8;
  int stateTxnOps = 16;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
  private long order;
  private long now;

  /** Controllers that run as processes of their own, in place of cores in this one. */
  interface Remote {
    void start(String label);

    void kill(String label);

    /** Stops a process, which goes on after some time. */
    void pause(String label, long forMs);

    /** Asks a process to end. */
    void terminate(String label);

    boolean lives(String label);

    /** Sends a request; a connection that is refused is answered with {@link Outbox#NOT_SENT}. */
    void send(
        String label,
        boolean peer,
        String method,
        String path,
        byte[] body,
        StateServiceStub.Respond respond);

    /** Where a worker listens. */
    String address(String worker);
  }

  /** Null where the controllers' cores run here. */
  Remote remote;

  /** One controller: its core, replaced at every restart. */
  final class Node {
    final String label;
    final String zone;

    /** How far this controller's time of day is from the true one. */
    private final long wallErrorMs;

    Controller core;
    int life;
    private long frozenUntil;
    private long freezeBeforeOrdersMs;
    private long awakeAt = Long.MIN_VALUE;
    private boolean stepDue;
    private long lastStep;
    private Settings settings;
    private long requests;
    private final Map<Long, StateServiceStub.Respond> pending = new HashMap<>();

    Node(String label, String zone, long wallErrorMs) {
      this.wallErrorMs = wallErrorMs;
      this.label = label;
      this.zone = zone;
    }

    boolean lives() {
      return remote == null ? core != null : remote.lives(label);
    }

    void start() {
      if (remote != null) {
        remote.start(label);
        return;
      }
      life++;
      frozenUntil = 0;
      freezeBeforeOrdersMs = 0;
      stepDue = false;
      pending.clear();
      settings = settingsOf(this);
      core = new Controller(settings, features);
      int mine = life;
      ticks(mine);
    }

    /** Like the event loop's: a step is taken where none was for a while. */
    private void ticks(int mine) {
      long left = lastStep + settings.tickMs() - now;
      after(
          Math.max(1, left),
          () ->
              whenAwake(
                  mine,
                  () -> {
                    if (now - lastStep >= settings.tickMs()) {
                      step();
                    }
                    ticks(mine);
                  }));
    }

    private void step() {
      stepDue = false;
      lastStep = now;
      carryOut(work.measure("tick", () -> core.tick(now, wall())), now);
    }

    /** One step follows all outcomes that come at the same time. */
    private void stepSoon() {
      if (!stepDue) {
        stepDue = true;
        int mine = life;
        after(0, () -> whenAwake(mine, this::step));
      }
    }

    /**
     * The process stands still while its clocks run on; what comes meanwhile is handled after it.
     */
    void freeze(long forMs) {
      if (remote != null) {
        remote.pause(label, forMs);
        return;
      }
      frozenUntil = now + forMs;
      awakeAt = frozenUntil;
    }

    /**
     * The process stands still between deciding and sending, the next time that it has decided on
     * orders to workers.
     */
    void freezeBeforeOrders(long forMs) {
      freezeBeforeOrdersMs = forMs;
    }

    /** The process is asked to end, hands its roles over and is gone. */
    void terminate() {
      if (remote != null) {
        remote.terminate(label);
        return;
      }
      if (core == null) {
        return;
      }
      core.beginShutdown();
      awaitEnd(life, now + Constants.HANDOVER_TIMEOUT_MS);
    }

    private void awaitEnd(int mine, long until) {
      if (core == null || life != mine) {
        return;
      }
      if (core.readyToStop() || now >= until) {
        crash();
      } else {
        after(Constants.TICK_MS, () -> awaitEnd(mine, until));
      }
    }

    private void whenAwake(int mine, Runnable action) {
      if (core == null || life != mine) {
        return;
      }
      if (now < frozenUntil) {
        after(frozenUntil - now, () -> whenAwake(mine, action));
      } else {
        action.run();
      }
    }

    private long wall() {
      return now + wallErrorMs;
    }

    /** What the administration API tells of warm standby now. */
    JsonNode standbyPage() {
      for (Outbox.Effect effect :
          core.peerRequest(now, wall(), ++requests, "GET", "/admin/v1/standby", new byte[0])) {
        if (effect instanceof Outbox.Answer answer) {
          return Json.parse(answer.body());
        }
      }
      throw new IllegalStateException("no answer about warm standby");
    }

    void crash() {
      if (remote != null) {
        remote.kill(label);
        return;
      }
      core = null;
      life++;
    }

    void receive(
        boolean peer, String method, String path, byte[] body, StateServiceStub.Respond respond) {
      long id = ++requests;
      pending.put(id, respond);
      whenAwake(
          life,
          () ->
              carryOut(
                  work.measure(
                      WorkMeter.kind("", path),
                      () ->
                          peer
                              ? core.peerRequest(now, wall(), id, method, path, body)
                              : core.request(now, wall(), id, method, path, body)),
                  now));
    }

    private void carryOut(List<Outbox.Effect> effects, long decidedAt) {
      if (freezeBeforeOrdersMs > 0 && effects.stream().anyMatch(Node::orders)) {
        freeze(freezeBeforeOrdersMs);
        freezeBeforeOrdersMs = 0;
        whenAwake(life, () -> carryOut(effects, decidedAt));
        return;
      }
      for (Outbox.Effect effect : effects) {
        boolean withheld = orders(effect) && core.withholdsOrders(decidedAt, now);
        if (orders(effect) && !withheld) {
          noteOrders(effect);
        }
        if (effect instanceof Outbox.Answer answer) {
          respond(withheld ? Outbox.Answer.withheld(answer.requestId()) : answer);
        } else if (effect instanceof Outbox.Call call && withheld) {
          int mine = life;
          after(0, () -> finish(mine, call, Outbox.NOT_SENT, new byte[0]));
        } else if (effect instanceof Outbox.Call call) {
          send(call);
        }
      }
    }

    private static boolean orders(Outbox.Effect effect) {
      return effect instanceof Outbox.Answer answer && answer.carriesOrders()
          || effect instanceof Outbox.Call call && call.carriesOrders();
    }

    /** Counts orders that a process which has just woken sends after others have replaced it. */
    private void noteOrders(Outbox.Effect effect) {
      boolean woken = now >= awakeAt && now - awakeAt <= WOKEN_MS;
      if (woken && !state.holds(label)) {
        staleOrders++;
      }
      JsonNode member = state.value("b/member/" + label);
      boolean leaving = member != null && member.path("leaving").asBoolean();
      long releasedAt = probe.lastFreedOf(label);
      if (leaving && !state.holds(label) && now - releasedAt < RELEASING_MS) {
        ordersAfterRelease++;
      }
    }

    private void respond(Outbox.Answer answer) {
      StateServiceStub.Respond respond = pending.remove(answer.requestId());
      if (respond != null) {
        respond.done(answer.status(), answer.body());
      }
    }

    private void send(Outbox.Call c) {
      int mine = life;
      call(
          label,
          c.addr(),
          c.method(),
          c.path(),
          c.body(),
          c.timeoutMs(),
          (status, body) -> finish(mine, c, status, body));
    }

    private void finish(int mine, Outbox.Call c, int status, byte[] body) {
      whenAwake(
          mine,
          () -> {
            carryOut(
                work.measure(
                    WorkMeter.kind(c.addr(), c.path()),
                    () -> core.outcome(now, wall(), c.callback(), status, body)),
                now);
            stepSoon();
          });
    }
  }

  SimulatedCluster(long seed, int controllers, List<String> zones, List<Settings.Team> teams) {
    this.random = new Random(seed);
    this.zones = zones;
    this.teams = teams;
    for (int i = 0; i < controllers; i++) {
      String label = "yurt-" + i;
      labels.add(label);
      nodes.put(label, new Node(label, zones.get(i % zones.size()), (i % 3 - 1) * TIME_BOUND_MS));
    }
  }

  Settings settingsOf(Node n) {
    List<Settings.Peer> peers = new ArrayList<>();
    for (Node o : nodes.values()) {
      if (o != n) {
        peers.add(new Settings.Peer(o.label, o.zone, o.label + ":8081"));
      }
    }
    return new Settings(
        n.label,
        n.zone,
        new Settings.Endpoint(n.label, 8080),
        new Settings.Endpoint(n.label, 8081),
        peers,
        CLOUD,
        STATE,
        zones,
        TIME_BOUND_MS,
        teams,
        List.of(new Settings.Objective("any", 60, 0)),
        new Settings.WorkerTimes(REPORT_MS / 1000.0, leaseMs / 1000.0, cancelMs / 1000.0),
        new Settings.StateLimits(stateRps, stateWriteRps, stateValueKb, stateTxnOps),
        new Settings.CloudLimits(10, 3),
        new Settings.Resources(1, 1000));
  }

  long now() {
    return now;
  }

  /** When the next event is due. */
  long nextEvent() {
    return events.isEmpty() ? Long.MAX_VALUE : events.peek().at();
  }

  void after(long ms, Runnable action) {
    events.add(new Event(now + Math.max(0, ms), order++, action));
  }

  void runUntil(long ms) {
    while (!events.isEmpty() && events.peek().at() <= ms) {
      Event e = events.poll();
      now = e.at();
      e.action().run();
    }
    now = ms;
  }

  void cut(String a, String b, Cut kind, long forMs) {
    cuts.put(a + ">" + b, new CutState(kind, now + forMs));
  }

  void copies(String from, long lateMs, long forMs) {
    copies.put(from, new long[] {lateMs, now + forMs});
  }

  void mute(String worker, long forMs) {
    mute.put(worker, now + forMs);
  }

  private CutState cutOf(String a, String b) {
    CutState c = cuts.get(a + ">" + b);
    return c == null || c.until() <= now ? null : c;
  }

  private static String host(String addr) {
    if (addr.equals(STATE)) {
      return "state";
    }
    if (addr.equals(CLOUD)) {
      return "cloud";
    }
    return addr.substring(0, addr.lastIndexOf(':'));
  }

  private long latency() {
    return 1 + random.nextInt(4);
  }

  /** One request over the network, with all that may become of it. */
  void call(
      String from,
      String addr,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Outbox.Callback then) {
    String to = host(addr);
    boolean[] over = {false};
    Outbox.Callback once =
        (status, answer) -> {
          if (!over[0]) {
            over[0] = true;
            then.done(status, answer);
          }
        };
    after(timeoutMs, () -> once.done(Outbox.NO_ANSWER, new byte[0]));
    if (now < mute.getOrDefault(from, 0L)) {
      after(latency(), () -> once.done(Outbox.NOT_SENT, new byte[0]));
      return;
    }
    long[] copy = path.equals("/checkin") ? copies.get(from) : null;
    if (copy != null && now < copy[1]) {
      long late = copy[0] > 0 ? copy[0] : 2_000 + random.nextInt((int) (2 * leaseMs));
      after(late, () -> arrive(from, to, false, method, path, body, (status, answer) -> {}));
    }
    CutState there = cutOf(from, to);
    if (there != null && there.kind() == Cut.DROP) {
      return;
    }
    long delay =
        there != null && there.kind() == Cut.HOLD ? there.until() - now + latency() : latency();
    after(
        delay,
        () ->
            arrive(
                from,
                to,
                addr.endsWith(":8081"),
                method,
                path,
                body,
                (status, answer) -> {
                  CutState back = cutOf(to, from);
                  boolean lost = back != null || there != null && there.kind() == Cut.LOSE_ANSWERS;
                  if (!lost) {
                    after(latency(), () -> once.done(status, answer));
                  }
                }));
  }

  private void arrive(
      String from,
      String to,
      boolean peer,
      String method,
      String path,
      byte[] body,
      StateServiceStub.Respond respond) {
    JsonNode n = peer || body == null || body.length == 0 ? Json.object() : Json.parse(body);
    if (to.equals("state")) {
      state.handle(from, method, path, n, respond);
    } else if (to.equals("cloud")) {
      cloud.handle(method, path, n, respond);
    } else if (nodes.containsKey(to)) {
      Node node = nodes.get(to);
      if (remote != null) {
        remote.send(to, peer, method, path, body, respond);
      } else if (node.core == null) {
        respond.done(Outbox.NOT_SENT, new byte[0]);
      } else {
        node.receive(peer, method, path, body == null ? new byte[0] : body, respond);
      }
    } else if (workers.containsKey(to)) {
      workers.get(to).handle(from, method, path, n, respond);
    }
  }

  /** Where a worker listens. */
  String address(String worker) {
    return remote == null ? worker + ":9000" : remote.address(worker);
  }

  /** A request of a controller that runs as a process of its own. */
  void receive(
      String from,
      String to,
      String method,
      String path,
      byte[] body,
      StateServiceStub.Respond respond) {
    arrive(from, to, false, method, path, body, respond);
  }

  /** The partition of a worker's machine, by the durable number of partitions. */
  String partitionOf(WorkerStub worker) {
    JsonNode layout = state.value("b/layout");
    int perZone = layout == null ? 1 : layout.path("partitions_per_zone").asInt();
    return Partition.of(worker.name, worker.zone, perZone).toString();
  }

  Set<String> liveLabels() {
    Set<String> out = new HashSet<>();
    nodes
        .values()
        .forEach(
            n -> {
              if (n.lives()) {
                out.add(n.label);
              }
            });
    return out;
  }
}
