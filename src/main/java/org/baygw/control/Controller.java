package org.baygw.control;

import java.util.List;
import org.baygw.control.admin.Admin;
import org.baygw.control.cloud.Cloud;
import org.baygw.control.config.Features;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
import org.baygw.control.core.Replication;
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
 * The core: takes requests, answers of other systems and clock ticks; gives back what to send and
 * to answer. It does no I/O, reads no clock and has no thread, so tests drive it with simulated
 * ones.
 */
public final class Controller {
  private final Clock clock = new Clock();
  private final Outbox out = new Outbox();
  private final StateCache view = new StateCache();
  private final Store store;
  private final Membership membership;
  private final Peers peers;
  private final Jobs jobs;
  private final Workers workers;
  private final Scheduler scheduler;
  private final Cloud cloud;
  private final Fleet fleet;
  private final Admin admin;

  /** Warm standby; null where it is off, so that none of its classes is loaded. */
  private final StandbyService standby;

  public Controller(Settings settings, Features features) {
    this.store = new Store(clock, out, settings, view);
    boolean standbyIsOn = features.standby() != null;
    this.membership = new Membership(clock, settings, store, view, standbyIsOn);
    this.standby =
        standbyIsOn
            ? new StandbyService(clock, out, settings, features.standby(), store, view, membership)
            : null;
    Replication replication = standbyIsOn ? standby : Replication.OFF;
    this.peers = new Peers(clock, out, settings, store, view);
    this.jobs = new Jobs(clock, out, settings, store, view, peers);
    this.cloud = new Cloud(clock, out, settings);
    CancellationWatermark watermark = new CancellationWatermark(clock, settings, store, peers);
    this.workers =
        new Workers(clock, out, settings, store, view, membership, watermark, cloud, replication);
    this.scheduler = new Scheduler(clock, settings, store, view, membership, replication);
    this.fleet = new Fleet(clock, settings, store, view, membership, cloud, scheduler, replication);
    this.admin =
        new Admin(clock, out, settings, store, view, membership, workers, scheduler, standby);
  }

  /**
   * Whether orders to workers that were decided at a time are not to be sent now, because another
   * controller may have taken over since. The shell asks between deciding and sending.
   */
  public boolean withholds(long decidedAtMs, long nowMs) {
    return standby != null && standby.withholds(decidedAtMs, nowMs);
  }

  /** The process is to end soon: what can be handed over in order is. */
  public void beginToEnd() {
    if (standby != null) {
      standby.beginShutdown();
    }
  }

  /** Whether nothing is left to hand over before the process ends. */
  public boolean ended() {
    return standby == null || standby.ended();
  }

  private void begin(long nowMs, long wallMs) {
    clock.set(nowMs, wallMs);
    if (standby != null) {
      standby.onInput(nowMs);
    }
  }

  /** A request on the users' and workers' side. */
  public List<Outbox.Effect> request(
      long nowMs, long wallMs, long id, String method, String path, byte[] body) {
    begin(nowMs, wallMs);
    if (path.equals("/checkin")) {
      if (method.equals("POST")) {
        workers.checkin(id, body);
      } else {
        out.answer(id, 405, Json.bytes(Json.object().put("error", "wrong method")));
      }
    } else if (!jobs.handle(id, method, path, body)) {
      out.answer(id, 404, Json.bytes(Json.object().put("error", "no such path")));
    }
    return out.drain();
  }

  /** A request on the operators' and controllers' side. */
  public List<Outbox.Effect> peerRequest(
      long nowMs, long wallMs, long id, String method, String path, byte[] body) {
    begin(nowMs, wallMs);
    if (path.equals(Peers.PATH) && method.equals("POST")) {
      peers.receive(id, body);
    } else if (standby != null && path.equals(StandbyService.PATH) && method.equals("POST")) {
      standby.receive(id, body);
    } else if (standby != null && standby.handle(id, method, path)) {
      return out.drain();
    } else if (!admin.handle(id, method, path, body)) {
      out.answer(id, 404, Json.bytes(Json.object().put("error", "no such path")));
    }
    return out.drain();
  }

  /** The outcome of a call that this core asked for; a tick is to follow soon. */
  public List<Outbox.Effect> outcome(
      long nowMs, long wallMs, Outbox.Callback then, int status, byte[] body) {
    begin(nowMs, wallMs);
    then.done(status, body);
    return out.drain();
  }

  /** Time has passed, or outcomes have come: looks at what there is to do. */
  public List<Outbox.Effect> tick(long nowMs, long wallMs) {
    begin(nowMs, wallMs);
    store.tick();
    membership.tick();
    peers.tick();
    if (standby != null) {
      standby.tick();
    }
    scheduler.tick();
    workers.tick();
    workers.round();
    fleet.tick();
    cloud.tick();
    return out.drain();
  }
}
