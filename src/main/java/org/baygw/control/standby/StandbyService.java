package org.baygw.control.standby;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baygw.control.config.Features;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.core.MetricsSink;
import org.baygw.control.core.Outbox;
import org.baygw.control.core.Replication;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Partition;
import org.baygw.control.model.TaskId;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;
import org.roaringbitmap.RoaringBitmap;

/**
 * Entry point of warm standby for the rest of the controller: records the decisions of active
 * roles, provides the inherited state after a takeover, fences orders, and hands roles over on
 * request.
 */
public final class StandbyService implements Replication {
  /** The path to which other controllers post replication messages. */
  public static final String PATH = Replicator.PATH;

  private static final String STATUS_PATH = "/admin/v1/standby";
  private static final String HANDOVER_PATH = "/admin/v1/handover";

  private final Clock clock;
  private final Outbox out;
  private final Membership membership;
  private final RoleTable roles;
  private final Replicator replicator;
  private final Handover handover;
  private final EmissionFence fence;
  private final StandbyReport report;

  public StandbyService(
      Clock clock,
      Outbox out,
      Settings settings,
      Features.Standby features,
      Store store,
      StateCache cache,
      Membership membership) {
    this.clock = clock;
    this.out = out;
    this.membership = membership;
    this.roles = new RoleTable(clock, settings, features, membership, cache);
    this.replicator = new Replicator(clock, out, settings, features, store, roles);
    this.handover = new Handover(clock, membership, new HandoverRoles());
    this.fence = new EmissionFence(membership::leaseValidUntil, handover::releasing);
    this.report = new StandbyReport(clock, membership, roles, replicator, handover, fence);
  }

  /** Called before each input is handled. */
  public void onInput(long now) {
    fence.onInput(now);
  }

  /**
   * Whether orders to workers that were decided at {@code decidedAt} must not be sent at {@code
   * now}.
   */
  public boolean withholds(long decidedAt, long now) {
    return fence.withholds(decidedAt, now);
  }

  /** Called when time has passed or state has changed. */
  public void tick() {
    roles.tick();
    handover.tick();
    replicator.setFlushing(handover.phase() == Handover.Phase.FLUSHING);
    replicator.tick();
  }

  /** Handles a replication message from another controller. */
  public void receive(long request, byte[] body) {
    replicator.receive(request, body);
  }

  /** Begins the shutdown: all roles are handed over to the standbys first. */
  public void beginShutdown() {
    handover.beginShutdown();
  }

  /** Whether the process can exit without other controllers having to wait for its lease. */
  public boolean shutdownComplete() {
    return handover.shutdownComplete();
  }

  public void register(MetricsSink sink) {
    report.register(sink);
  }

  /** Handles an operator's request if it belongs to this subsystem, else returns false. */
  public boolean handle(long request, String method, String path) {
    if (path.equals(STATUS_PATH)) {
      answer(request, method.equals("GET") ? 200 : 405, report.page());
      return true;
    }
    if (!path.equals(HANDOVER_PATH)) {
      return false;
    }
    switch (method) {
      case "POST" -> beginHandover(request);
      case "DELETE" -> {
        handover.cancel();
        answer(request, 200, report.page());
      }
      default -> answer(request, 405, Json.object().put("error", "wrong method"));
    }
    return true;
  }

  private void beginHandover(long request) {
    if (membership.othersStay()) {
      handover.begin();
      answer(request, 202, report.page());
    } else {
      answer(request, 409, Json.object().put("error", "no other controller could take the roles"));
    }
  }

  private void answer(long request, int status, ObjectNode body) {
    ObjectNode page = status == 405 ? Json.object().put("error", "wrong method") : body;
    out.answer(request, status, Json.bytes(page));
  }

  /** Gives a handover access to logs and streams. */
  private final class HandoverRoles implements Handover.Roles {
    /**
     * Releases to announce, by standby. Collected at each call of {@link #upToDate}, since the
     * entries drop their logs and streams once the claims are deleted.
     */
    private final Map<String, List<RoleUpdate.Release>> releases = new HashMap<>();

    @Override
    public boolean upToDate() {
      releases.clear();
      boolean allUpToDate = true;
      for (RoleEntry entry : roles.entries()) {
        if (entry.stream != null) {
          allUpToDate &= entry.stream.upToDate();
          releases
              .computeIfAbsent(entry.stream.standby(), k -> new ArrayList<>())
              .add(new RoleUpdate.Release(entry.role, entry.log.epoch(), entry.log.lastSequence()));
        }
      }
      return allUpToDate;
    }

    @Override
    public void onReleased() {
      releases.forEach((standby, list) -> list.forEach(r -> replicator.queueRelease(standby, r)));
      releases.clear();
    }
  }

  private void append(Partition partition, Decision decision) {
    DecisionLog log = roles.log(partition);
    if (log != null) {
      log.append(decision);
    }
  }

  private void append(Decision decision) {
    DecisionLog log = roles.leaderLog();
    if (log != null) {
      log.append(decision);
    }
  }

  @Override
  public void sessionKnown(Partition partition, String machine, String address, long session) {
    append(partition, new Decision.SessionKnown(machine, address, session));
  }

  @Override
  public void taskLaunched(Partition partition, String machine, TaskId task) {
    RoaringBitmap tasks = RoaringBitmap.bitmapOf(task.index());
    append(partition, new Decision.TasksLaunched(machine, task.job(), tasks, clock.wall()));
  }

  @Override
  public void taskEnded(Partition partition, String machine, TaskId task) {
    RoaringBitmap tasks = RoaringBitmap.bitmapOf(task.index());
    append(partition, new Decision.TasksEnded(machine, task.job(), tasks));
  }

  @Override
  public void taskFailed(Partition partition, String machine, String job) {
    append(partition, new Decision.TasksFailed(machine, job, 1));
  }

  @Override
  public void taskCompleted(Partition partition, String machine) {
    append(partition, new Decision.TaskCompleted(machine));
  }

  @Override
  public void machineSick(Partition partition, String machine) {
    append(partition, new Decision.MachineSick(machine));
  }

  @Override
  public void machineGone(Partition partition, String machine) {
    append(partition, new Decision.MachineGone(machine));
  }

  @Override
  public void jobWaiting(String job) {
    append(new Decision.JobWaiting(job, clock.wall()));
  }

  @Override
  public void jobServed(String job) {
    append(new Decision.JobServed(job));
  }

  @Override
  public void tasksGranted(String job, Collection<Integer> tasks) {
    append(new Decision.TasksGranted(job, bitmap(tasks), clock.wall()));
  }

  @Override
  public void grantsEnded(String job, Collection<Integer> tasks) {
    append(new Decision.GrantsEnded(job, bitmap(tasks)));
  }

  @Override
  public void capacityRefused(String type, String zone, boolean spot, long durationMs) {
    append(new Decision.CapacityRefused(type, zone, spot, clock.wall() + durationMs));
  }

  private static RoaringBitmap bitmap(Collection<Integer> tasks) {
    RoaringBitmap bitmap = new RoaringBitmap();
    tasks.forEach(bitmap::add);
    return bitmap;
  }

  @Override
  public InheritedWorker inheritedWorker(Partition partition, String machine) {
    DecisionLog log = roles.log(partition);
    MachineState known = log == null ? null : log.state().machines().get(machine);
    if (known == null) {
      return null;
    }
    Map<TaskId, Long> ages = new HashMap<>();
    known
        .launched()
        .forEach((job, tasks) -> Reconciliation.addAges(job, tasks, clock.wall(), ages));
    return new InheritedWorker(
        known.address(), known.session(), ages, Map.copyOf(known.failures()), known.sick());
  }

  @Override
  public InheritedQueue inheritedQueue() {
    DecisionLog log = roles.leaderLog();
    if (log == null) {
      return null;
    }
    long now = clock.wall();
    RoleState state = log.state();
    Map<String, Long> waiting = new HashMap<>();
    state.waitingSinceMs().forEach((job, since) -> waiting.put(job, Math.max(0, now - since)));
    Map<TaskId, Long> granted = new HashMap<>();
    state.grants().forEach((job, tasks) -> Reconciliation.addAges(job, tasks, now, granted));
    List<RefusedCapacity> refused = new ArrayList<>();
    state
        .refusedUntilMs()
        .forEach(
            (kind, until) ->
                refused.add(
                    new RefusedCapacity(kind.type(), kind.zone(), kind.spot(), until - now)));
    return new InheritedQueue(waiting, granted, refused);
  }
}
