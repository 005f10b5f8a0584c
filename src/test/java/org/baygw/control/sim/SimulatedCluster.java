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
import org.baygw.control.core.FailureCounters;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
import org.baygw.control.model.Partition;
import org.baygw.control.net.EventLoop;

/**
 * A simulated deployment: clock, network, state service, cloud, workers and users around real
 * controller cores. All randomness comes from one seed, so each scenario is reproducible.
 */
final class SimulatedCluster {
  static final String STATE = "10.9.0.1:2379";
  static final String CLOUD = "10.9.0.2:8443";
  static final int REPORT_MS = 2_000;
  static final long TIME_BOUND_MS = 100;

  /**
   * Time after its claims are released during which a leaving controller, which still waits for the
   * answer to the release, must send no orders.
   */
  private static final long RELEASE_WINDOW_MS = 1_000;

  /** Time after a freeze during which a process counts as just resumed. */
  private static final long RESUME_WINDOW_MS = 300;

  private record Event(long at, long order, Runnable action) {}

  final Random random;
  final List<String> zones;
  final WorkMeter work = new WorkMeter();
  final InvariantChecker checker = new InvariantChecker(this);
  final FailoverProbe probe = new FailoverProbe(this);
  final StateServiceStub state = new StateServiceStub(this);
  final CloudStub cloud = new CloudStub(this);
  final RepeatedRequests repeatedRequests = new RepeatedRequests(this);
  final Map<String, WorkerStub> workers = new TreeMap<>();
  final List<String> labels = new ArrayList<>();
  final Map<String, Node> nodes = new TreeMap<>();
  final List<Settings.Team> teams;
  final NetworkCuts cuts = new NetworkCuts(this);

  /**
   * By worker whose reports are delivered twice: delay of the second delivery (0 for a random one)
   * and time at which the fault ends, in ms.
   */
  private final Map<String, long[]> duplicateReports = new HashMap<>();

  /** By worker: time until which its reports reach no controller; it still answers commands. */
  private final Map<String, Long> mutedUntil = new HashMap<>();

  /** Number of orders that controllers sent just after their claims were released. */
  int ordersAfterRelease;

  /** Number of orders that resumed processes sent after others had replaced them. */
  int staleOrders;

  /** Times at which the scenario crashed the leader's controller. */
  final List<Long> leaderCrashTimes = new ArrayList<>();

  /**
   * Time at which the scenario last crashed the leader's controller or terminated any controller.
   */
  long lastCrashAt;

  /** Optional subsystems that controllers run with. */
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

  /** Controllers that run as separate processes instead of as cores in this process. */
  interface RemoteControllers {
    void start(String label);

    void kill(String label);

    /** Pauses a process and resumes it after the given time. */
    void pause(String label, long forMs);

    /** Asks a process to shut down. */
    void terminate(String label);

    boolean isAlive(String label);

    /** Sends a request; a refused connection is answered with {@link Outbox#NOT_SENT}. */
    void send(
        String label,
        boolean peer,
        String method,
        String path,
        byte[] body,
        StateServiceStub.ResponseCallback respond);

    /** The address at which a worker listens. */
    String address(String worker);
  }

  /** Null if the controllers' cores run in this process. */
  RemoteControllers remote;

  /** One controller; its core is replaced at every restart. */
  final class Node {
    final String label;
    final String zone;

    /** Offset of this controller's wall clock from the true time, in ms. */
    private final long wallClockOffsetMs;

    Controller core;
    int incarnation;
    private long frozenUntil;
    private long freezeBeforeOrdersMs;
    private long resumedAt = Long.MIN_VALUE;
    private boolean stepScheduled;
    private long lastStep;
    private Settings settings;
    final FailureCounters failures = new FailureCounters();
    private long requests;
    private final Map<Long, StateServiceStub.ResponseCallback> pending = new HashMap<>();

    Node(String label, String zone, long wallClockOffsetMs) {
      this.wallClockOffsetMs = wallClockOffsetMs;
      this.label = label;
      this.zone = zone;
    }

    boolean isAlive() {
      return remote == null ? core != null : remote.isAlive(label);
    }

    void start() {
      if (remote != null) {
        remote.start(label);
        return;
      }
      incarnation++;
      frozenUntil = 0;
      freezeBeforeOrdersMs = 0;
      stepScheduled = false;
      pending.clear();
      settings = settingsOf(this);
      core = new Controller(settings, features, failures);
      int startedAs = incarnation;
      scheduleTick(startedAs);
    }

    /** Like the event loop, takes a step when none was taken for a tick period. */
    private void scheduleTick(int startedAs) {
      long left = lastStep + settings.tickMs() - now;
      after(
          Math.max(1, left),
          () ->
              whenNotFrozen(
                  startedAs,
                  () -> {
                    if (now - lastStep >= settings.tickMs()) {
                      step();
                    }
                    scheduleTick(startedAs);
                  }));
    }

    private void step() {
      stepScheduled = false;
      lastStep = now;
      execute(work.measure("tick", () -> core.tick(now, wallClock())), now);
    }

    /** Schedules a single step after all outcomes that arrive at the same time. */
    private void scheduleStep() {
      if (!stepScheduled) {
        stepScheduled = true;
        int startedAs = incarnation;
        after(0, () -> whenNotFrozen(startedAs, this::step));
      }
    }

    /**
     * Freezes the process while its clocks run on; input that arrives meanwhile is handled
     * afterwards.
     */
    void freeze(long forMs) {
      if (remote != null) {
        remote.pause(label, forMs);
        return;
      }
      frozenUntil = now + forMs;
      resumedAt = frozenUntil;
    }

    /**
     * Freezes the process between deciding and sending, the next time that it has decided on orders
     * to workers.
     */
    void freezeBeforeOrders(long forMs) {
      freezeBeforeOrdersMs = forMs;
    }

    /** Asks the process to shut down: it hands its roles over and terminates. */
    void terminate() {
      if (remote != null) {
        remote.terminate(label);
        return;
      }
      if (core == null) {
        return;
      }
      core.beginShutdown();
      awaitTermination(incarnation, now + Constants.HANDOVER_TIMEOUT_MS);
    }

    private void awaitTermination(int startedAs, long deadline) {
      if (core == null || incarnation != startedAs) {
        return;
      }
      if (core.readyToStop() || now >= deadline) {
        crash();
      } else {
        after(Constants.TICK_MS, () -> awaitTermination(startedAs, deadline));
      }
    }

    private void whenNotFrozen(int startedAs, Runnable action) {
      if (core == null || incarnation != startedAs) {
        return;
      }
      if (now < frozenUntil) {
        after(frozenUntil - now, () -> whenNotFrozen(startedAs, action));
      } else {
        action.run();
      }
    }

    private long wallClock() {
      return now + wallClockOffsetMs;
    }

    /** Returns the present warm standby status from the administration API. */
    JsonNode standbyStatus() {
      for (Outbox.Effect effect :
          core.peerRequest(now, wallClock(), ++requests, "GET", "/admin/v1/standby", new byte[0])) {
        if (effect instanceof Outbox.Answer answer) {
          return Json.parse(answer.body());
        }
      }
      throw new IllegalStateException("the request for the warm standby status was not answered");
    }

    void crash() {
      if (remote != null) {
        remote.kill(label);
        return;
      }
      core = null;
      incarnation++;
    }

    void receive(
        boolean peer,
        String method,
        String path,
        byte[] body,
        StateServiceStub.ResponseCallback respond) {
      long id = ++requests;
      pending.put(id, respond);
      whenNotFrozen(
          incarnation,
          () ->
              execute(
                  work.measure(
                      WorkMeter.kind("", path),
                      () ->
                          peer
                              ? core.peerRequest(now, wallClock(), id, method, path, body)
                              : core.request(now, wallClock(), id, method, path, body)),
                  now));
    }

    /** Like the event loop, replaces a core that cannot go on. */
    private void replaceCoreIfNeeded() {
      if (core != null && core.restartReason() != null) {
        failures.coreReplaced();
        lastStep = now + EventLoop.CORE_RESTART_DELAY_MS;
        start();
      }
    }

    private void execute(List<Outbox.Effect> effects, long decidedAt) {
      if (freezeBeforeOrdersMs > 0 && effects.stream().anyMatch(Node::containsOrders)) {
        freeze(freezeBeforeOrdersMs);
        freezeBeforeOrdersMs = 0;
        whenNotFrozen(incarnation, () -> execute(effects, decidedAt));
        return;
      }
      for (Outbox.Effect effect : effects) {
        boolean withheld = containsOrders(effect) && core.withholdsOrders(decidedAt, now);
        if (containsOrders(effect) && !withheld) {
          countMisplacedOrders(effect);
        }
        if (effect instanceof Outbox.Answer answer) {
          respond(withheld ? Outbox.Answer.withheld(answer.requestId()) : answer);
        } else if (effect instanceof Outbox.Call call && withheld) {
          int startedAs = incarnation;
          after(0, () -> finish(startedAs, call, Outbox.NOT_SENT, new byte[0]));
        } else if (effect instanceof Outbox.Call call) {
          send(call);
        }
      }
      replaceCoreIfNeeded();
    }

    private static boolean containsOrders(Outbox.Effect effect) {
      return effect instanceof Outbox.Answer answer && answer.carriesOrders()
          || effect instanceof Outbox.Call call && call.carriesOrders();
    }

    /**
     * Counts orders that a process sends just after it has resumed and others have replaced it, or
     * just after its claims were released.
     */
    private void countMisplacedOrders(Outbox.Effect effect) {
      boolean justResumed = now >= resumedAt && now - resumedAt <= RESUME_WINDOW_MS;
      if (justResumed && !state.ownsPartition(label)) {
        staleOrders++;
      }
      JsonNode member = state.value("b/member/" + label);
      boolean leaving = member != null && member.path("leaving").asBoolean();
      long releasedAt = probe.lastClaimEndOf(label);
      if (leaving && !state.ownsPartition(label) && now - releasedAt < RELEASE_WINDOW_MS) {
        ordersAfterRelease++;
      }
    }

    private void respond(Outbox.Answer answer) {
      StateServiceStub.ResponseCallback respond = pending.remove(answer.requestId());
      if (respond != null) {
        respond.done(answer.status(), answer.body());
      }
    }

    private void send(Outbox.Call call) {
      int startedAs = incarnation;
      call(
          label,
          call.addr(),
          call.method(),
          call.path(),
          call.body(),
          call.timeoutMs(),
          (status, body) -> finish(startedAs, call, status, body));
    }

    private void finish(int startedAs, Outbox.Call call, int status, byte[] body) {
      whenNotFrozen(
          startedAs,
          () -> {
            execute(
                work.measure(
                    WorkMeter.kind(call.addr(), call.path()),
                    () -> core.outcome(now, wallClock(), call.callback(), status, body)),
                now);
            scheduleStep();
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

  Settings settingsOf(Node node) {
    List<Settings.Peer> peers = new ArrayList<>();
    for (Node other : nodes.values()) {
      if (other != node) {
        peers.add(new Settings.Peer(other.label, other.zone, other.label + ":8081"));
      }
    }
    return new Settings(
        node.label,
        node.zone,
        new Settings.Endpoint(node.label, 8080),
        new Settings.Endpoint(node.label, 8081),
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

  /** Time at which the next event is due; {@code Long.MAX_VALUE} if there is none. */
  long nextEventAt() {
    return events.isEmpty() ? Long.MAX_VALUE : events.peek().at();
  }

  void after(long delayMs, Runnable action) {
    events.add(new Event(now + Math.max(0, delayMs), order++, action));
  }

  void runUntil(long untilMs) {
    while (!events.isEmpty() && events.peek().at() <= untilMs) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
    now = untilMs;
  }

  void duplicateReports(String from, long delayMs, long forMs) {
    duplicateReports.put(from, new long[] {delayMs, now + forMs});
  }

  void mute(String worker, long forMs) {
    mutedUntil.put(worker, now + forMs);
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

  /** Sends one request over the network, subject to its latency, faults and the timeout. */
  void call(
      String from,
      String addr,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Outbox.Callback callback) {
    String to = host(addr);
    boolean[] completed = {false};
    Outbox.Callback completeOnce =
        (status, answer) -> {
          if (!completed[0]) {
            completed[0] = true;
            callback.done(status, answer);
          }
        };
    after(timeoutMs, () -> completeOnce.done(Outbox.NO_ANSWER, new byte[0]));
    if (now < mutedUntil.getOrDefault(from, 0L)) {
      after(latency(), () -> completeOnce.done(Outbox.NOT_SENT, new byte[0]));
      return;
    }
    long[] duplication = path.equals("/checkin") ? duplicateReports.get(from) : null;
    if (duplication != null && now < duplication[1]) {
      long duplicateDelay =
          duplication[0] > 0 ? duplication[0] : 2_000 + random.nextInt((int) (2 * leaseMs));
      after(
          duplicateDelay,
          () -> deliver(from, to, false, method, path, body, (status, answer) -> {}));
    }
    NetworkCuts.Active requestCut = cuts.active(from, to);
    if (requestCut != null && requestCut.kind() == NetworkCuts.Kind.DROP) {
      return;
    }
    long delay =
        requestCut != null && requestCut.kind() == NetworkCuts.Kind.HOLD
            ? requestCut.untilMs() - now + latency()
            : latency();
    after(
        delay,
        () ->
            deliver(
                from,
                to,
                addr.endsWith(":8081"),
                method,
                path,
                body,
                (status, answer) -> {
                  NetworkCuts.Active answerCut = cuts.active(to, from);
                  boolean lost =
                      answerCut != null
                          || requestCut != null
                              && requestCut.kind() == NetworkCuts.Kind.LOSE_ANSWERS;
                  if (!lost) {
                    after(latency(), () -> completeOnce.done(status, answer));
                  }
                }));
  }

  private void deliver(
      String from,
      String to,
      boolean peer,
      String method,
      String path,
      byte[] body,
      StateServiceStub.ResponseCallback respond) {
    StateServiceStub.ResponseCallback repeating =
        repeatedRequests.repeating(
            from,
            to,
            method,
            respond,
            () -> carryOut(from, to, peer, method, path, body, (status, answer) -> {}));
    carryOut(from, to, peer, method, path, body, repeating);
  }

  private void carryOut(
      String from,
      String to,
      boolean peer,
      String method,
      String path,
      byte[] body,
      StateServiceStub.ResponseCallback respond) {
    JsonNode request = peer || body == null || body.length == 0 ? Json.object() : Json.parse(body);
    if (to.equals("state")) {
      state.handle(from, method, path, request, respond);
    } else if (to.equals("cloud")) {
      cloud.handle(method, path, request, respond);
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
      workers.get(to).handle(from, method, path, request, respond);
    }
  }

  /** The address at which a worker listens. */
  String address(String worker) {
    return remote == null ? worker + ":9000" : remote.address(worker);
  }

  /** Delivers a request of a controller that runs as a separate process. */
  void receive(
      String from,
      String to,
      String method,
      String path,
      byte[] body,
      StateServiceStub.ResponseCallback respond) {
    deliver(from, to, false, method, path, body, respond);
  }

  /** The partition of a worker's machine, by the number of partitions in the state service. */
  String partitionOf(WorkerStub worker) {
    JsonNode layout = state.value("b/layout");
    int perZone = layout == null ? 1 : layout.path("partitions_per_zone").asInt();
    return Partition.of(worker.name, worker.zone, perZone).toString();
  }

  Set<String> liveLabels() {
    Set<String> live = new HashSet<>();
    nodes
        .values()
        .forEach(
            n -> {
              if (n.isAlive()) {
                live.add(n.label);
              }
            });
    return live;
  }
}
