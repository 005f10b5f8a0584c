package org.baygw.control;

import java.util.ArrayList;
import java.util.List;
import org.baygw.control.admin.Admin;
import org.baygw.control.cloud.Cloud;
import org.baygw.control.config.Features;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.ErrorBoundary;
import org.baygw.control.core.FailureCounters;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
import org.baygw.control.core.Replication;
import org.baygw.control.core.RestartReason;
import org.baygw.control.fleet.Fleet;
import org.baygw.control.jobs.Jobs;
import org.baygw.control.membership.CancellationWatermark;
import org.baygw.control.membership.Membership;
import org.baygw.control.membership.Peers;
import org.baygw.control.quota.Scheduler;
import org.baygw.control.standby.StandbyService;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;
import org.baygw.control.workers.Workers;

/**
 * The core of a controller: takes requests, answers of other systems and clock ticks, and returns
 * the calls and answers to send. It does no I/O, reads no clock and has no threads, so tests can
 * drive it with a simulated clock and network.
 */
public final class Controller {
  private final Clock clock = new Clock();
  private final Outbox outbox = new Outbox();
  private final StateCache cache;
  private final ErrorBoundary boundary;
  private final Store store;
  private final Membership membership;
  private final Peers peers;
  private final Jobs jobs;
  private final Workers workers;
  private final Scheduler scheduler;
  private final Cloud cloud;
  private final Fleet fleet;
  private final Admin admin;

  /** Warm standby; null if it is disabled, so that none of its classes is loaded. */
  private final StandbyService standby;

  /** The parts that act on the passing of time, in this order. */
  private final List<TimedPart> timedParts;

  private record TimedPart(String operation, Runnable tick) {}

  private RestartReason restartReason;

  /**
   * Creates the core of a controller.
   *
   * @param failures counters of the process, which outlive this core
   */
  public Controller(Settings settings, Features features, FailureCounters failures) {
    this(settings, features, failures, new StateCache());
  }

  Controller(Settings settings, Features features, FailureCounters failures, StateCache cache) {
    this.cache = cache;
    this.boundary = new ErrorBoundary(clock, failures);
    this.store = new Store(clock, outbox, settings, cache, boundary);
    boolean standbyIsOn = features.standby() != null;
    this.membership = new Membership(clock, settings, store, cache, standbyIsOn);
    this.standby =
        standbyIsOn
            ? new StandbyService(
                clock, outbox, settings, features.standby(), store, cache, membership)
            : null;
    Replication replication = standbyIsOn ? standby : Replication.OFF;
    this.peers = new Peers(clock, outbox, settings, store, cache);
    this.jobs = new Jobs(clock, outbox, settings, store, cache, peers);
    this.cloud = new Cloud(clock, outbox, settings);
    CancellationWatermark watermark = new CancellationWatermark(clock, settings, store, peers);
    this.workers =
        new Workers(
            clock, outbox, settings, store, cache, membership, watermark, cloud, replication);
    this.scheduler = new Scheduler(clock, settings, store, cache, membership, replication);
    this.fleet =
        new Fleet(clock, settings, store, cache, membership, cloud, scheduler, replication);
    this.admin =
        new Admin(
            clock,
            outbox,
            settings,
            store,
            cache,
            membership,
            workers,
            scheduler,
            standby,
            failures);
    this.timedParts = timedParts();
  }

  private List<TimedPart> timedParts() {
    List<TimedPart> parts = new ArrayList<>();
    parts.add(new TimedPart("a tick of the state service's client", store::tick));
    parts.add(new TimedPart("a tick of the membership", membership::tick));
    parts.add(new TimedPart("a tick of the contact with peers", peers::tick));
    if (standby != null) {
      parts.add(new TimedPart("a tick of warm standby", standby::tick));
    }
    parts.add(new TimedPart("a tick of the scheduler", scheduler::tick));
    parts.add(new TimedPart("a tick of the workers' owner", workers::tick));
    parts.add(new TimedPart("a consolidation round", workers::round));
    parts.add(new TimedPart("a tick of the fleet", fleet::tick));
    parts.add(new TimedPart("a tick of the cloud's client", cloud::tick));
    return parts;
  }

  /**
   * Whether orders to workers that were decided at the given time must not be sent now, because
   * another controller may have taken over since. The event loop asks between deciding and sending.
   */
  public boolean withholdsOrders(long decidedAtMs, long nowMs) {
    return standby != null && standby.withholds(decidedAtMs, nowMs);
  }

  /** Begins to hand over this controller's roles, because the process is about to terminate. */
  public void beginShutdown() {
    if (standby != null) {
      standby.beginShutdown();
    }
  }

  /** Whether nothing remains to be handed over before the process terminates. */
  public boolean readyToStop() {
    return standby == null || standby.shutdownComplete();
  }

  /**
   * Why this core must be replaced by a new one; null while it can go on. The new core ends the
   * membership lease of this one, so that its roles become free, and reads all keys.
   */
  public RestartReason restartReason() {
    return restartReason;
  }

  private void beginInput(long nowMs, long wallMs) {
    clock.set(nowMs, wallMs);
    if (standby != null) {
      boundary.run("noting an input's time", () -> standby.onInput(nowMs));
    }
  }

  /** Handles a request on the port for users and workers. */
  public List<Outbox.Effect> request(
      long nowMs, long wallMs, long requestId, String method, String path, byte[] body) {
    beginInput(nowMs, wallMs);
    return answerRequest(requestId, () -> userRequest(requestId, method, path, body));
  }

  private void userRequest(long requestId, String method, String path, byte[] body) {
    if (path.equals("/checkin")) {
      if (method.equals("POST")) {
        workers.checkin(requestId, body);
      } else {
        outbox.answer(requestId, 405, Json.bytes(Json.object().put("error", "wrong method")));
      }
    } else if (!jobs.handle(requestId, method, path, body)) {
      outbox.answer(requestId, 404, Json.bytes(Json.object().put("error", "no such path")));
    }
  }

  /** Handles a request on the port for operators and other controllers. */
  public List<Outbox.Effect> peerRequest(
      long nowMs, long wallMs, long requestId, String method, String path, byte[] body) {
    beginInput(nowMs, wallMs);
    return answerRequest(requestId, () -> internalRequest(requestId, method, path, body));
  }

  private void internalRequest(long requestId, String method, String path, byte[] body) {
    if (path.equals(Peers.PATH) && method.equals("POST")) {
      peers.receive(requestId, body);
    } else if (standby != null && path.equals(StandbyService.PATH) && method.equals("POST")) {
      standby.receive(requestId, body);
    } else if (standby != null && standby.handle(requestId, method, path)) {
      return;
    } else if (!admin.handle(requestId, method, path, body)) {
      outbox.answer(requestId, 404, Json.bytes(Json.object().put("error", "no such path")));
    }
  }

  /** Runs a request's handler; one that fails is answered with 500, unless it was answered. */
  private List<Outbox.Effect> answerRequest(long requestId, Runnable handler) {
    if (!boundary.run("a request", handler)) {
      outbox.answer(requestId, 500, Json.bytes(Json.object().put("error", "internal error")));
    }
    return endInput();
  }

  /** Handles the outcome of a call that the core issued; a tick should follow soon. */
  public List<Outbox.Effect> outcome(
      long nowMs, long wallMs, Outbox.Callback callback, int status, byte[] body) {
    beginInput(nowMs, wallMs);
    boundary.run("the callback of a call", () -> callback.done(status, body));
    return endInput();
  }

  /** Handles the passing of time and the outcomes received since the last tick. */
  public List<Outbox.Effect> tick(long nowMs, long wallMs) {
    beginInput(nowMs, wallMs);
    timedParts.forEach(part -> boundary.run(part.operation(), part.tick()));
    return endInput();
  }

  /** The effects of the input; none if they were decided from an inconsistent cache. */
  private List<Outbox.Effect> endInput() {
    List<Outbox.Effect> effects = outbox.drain();
    if (cache.inconsistent()) {
      restartReason = RestartReason.STATE_CACHE_INCONSISTENT;
      return List.of();
    }
    if (store.readsFailed()) {
      restartReason = RestartReason.STATE_CACHE_OUTDATED;
    }
    return effects;
  }
}
