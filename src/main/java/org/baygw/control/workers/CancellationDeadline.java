package org.baygw.control.workers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.baygw.control.Constants;
import org.baygw.control.cloud.Cloud;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.membership.CancellationWatermark;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Job;
import org.baygw.control.model.Machine;
import org.baygw.control.model.Progress;
import org.baygw.control.model.TaskId;
import org.baygw.control.store.StateCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The last step of a cancellation. A machine that hangs keeps its tasks whatever its lease says,
 * and while the state service is out nobody can make it durable that the machine is given up. So
 * the cloud is asked to take a machine back on which a cancelled task is not proved gone in time:
 * by the owner of its partition first, by other controllers later, since a partition may have no
 * owner that lives. The time counts from the time of day that the cancellation's record holds, so
 * that a controller that was restarted, or has taken over, does not count from its own start.
 */
final class CancellationDeadline {
  private static final Logger LOG = LoggerFactory.getLogger(CancellationDeadline.class);

  private final Clock clock;
  private final StateCache view;
  private final Membership membership;
  private final TerminationEvidence evidence;
  private final Cloud cloud;
  private final CancellationWatermark watermark;

  /** This controller's knowledge of a machine's worker; null where it does not own the machine. */
  private final Function<Machine, WorkerSession> owned;

  private final long cancelMs;
  private final long clockErrorMs;

  /** Machines with cancelled tasks that are not proved gone, and since when that is known here. */
  private final Map<String, Long> pendingSince = new HashMap<>();

  /** Machines that the cloud has taken back, as long as they are on record. */
  private final Set<String> returned = new HashSet<>();

  private boolean returning;
  private long nextLook;

  /**
   * Since when the copy of the state service has been current at every look; 0 before the first.
   */
  private long currentSince;

  CancellationDeadline(
      Clock clock,
      Settings settings,
      StateCache view,
      Membership membership,
      TerminationEvidence evidence,
      Cloud cloud,
      CancellationWatermark watermark,
      Function<Machine, WorkerSession> owned) {
    this.clock = clock;
    this.view = view;
    this.membership = membership;
    this.evidence = evidence;
    this.cloud = cloud;
    this.watermark = watermark;
    this.owned = owned;
    this.cancelMs = (long) (settings.workers().cancelS() * 1000);
    // The writer's time of day may be as far off as this controller's, in the other direction.
    this.clockErrorMs = (long) (2 * settings.timeBoundMs());
  }

  void tick() {
    if (clock.now() < nextLook) {
      return;
    }
    nextLook = clock.now() + Constants.LOOK_ALL_MS;
    if (currentSince == 0 || !watermark.copyIsCurrent()) {
      currentSince = clock.now();
    }
    List<String> due = look();
    // Another owner may have proved the tasks gone and put others there: then it is not ours to
    // end.
    if (!due.isEmpty() && !returning && !watermark.mayBeReplaced()) {
      giveBack(due.subList(0, Math.min(due.size(), Constants.MAX_RETURN)));
    }
  }

  /**
   * Finds the machines on which cancelled tasks are not proved gone; returns those that are due.
   */
  private List<String> look() {
    returned.retainAll(view.machines.keySet());
    boolean outage = watermark.outageForMost();
    Set<String> pending = new HashSet<>();
    Set<String> due = new LinkedHashSet<>();
    for (StateCache.Entry<Job> job : view.active.values()) {
      String id = job.value().spec().id();
      if (view.cancelled(id)) {
        double share = share(id);
        for (Map.Entry<TaskId, Set<String>> task : placements(id).entrySet()) {
          for (Machine machine : holding(task.getKey(), task.getValue())) {
            pending.add(machine.name());
            long since = pendingSince.computeIfAbsent(machine.name(), k -> clock.now());
            if (due(machine, share, clock.now() - since, outage)) {
              due.add(machine.name());
            }
          }
        }
      }
    }
    pendingSince.keySet().retainAll(pending);
    return List.copyOf(due);
  }

  /** Those of the machines on which the task is not proved gone. */
  private List<Machine> holding(TaskId task, Set<String> names) {
    List<Machine> found = new ArrayList<>();
    for (String name : names) {
      StateCache.Entry<Machine> machine = view.machines.get(name);
      boolean gone = returned.contains(name) || view.drains.get(name) == StateCache.Drain.GONE;
      if (machine != null && !gone && !provedGone(machine.value(), task)) {
        found.add(machine.value());
      }
    }
    return found;
  }

  private boolean due(Machine machine, double share, long knownMs, boolean outage) {
    if (owned.apply(machine) != null) {
      // A new owner's workers need a moment to show that their tasks have ended.
      return share > Constants.CANCELLATION_LAST_SHARE
          || share > Constants.CANCELLATION_OWNER_SHARE && knownMs > noticeMs();
    }
    if (outage) {
      // A living owner may have proof that it cannot write.
      return share > Constants.CANCELLATION_OWNERLESS_SHARE && ownerless(machine);
    }
    // What the owner has proved would be on record, if it lives; else nobody may be there to do it.
    // After an outage it needs a moment to write that, or machines that work would go back.
    return share > Constants.CANCELLATION_LAST_SHARE
        && watermark.copyIsCurrent()
        && clock.now() - currentSince > noticeMs();
  }

  /** ms within which an owner that lives has proof that tasks have ended, and has it on record. */
  private double noticeMs() {
    return cancelMs * Constants.CANCELLATION_NOTICE_SHARE;
  }

  /** The share of the time for a cancellation that has passed, at most. */
  private double share(String job) {
    return (double) (clock.wall() - view.cancelledMs(job) + clockErrorMs) / cancelMs;
  }

  /** The machines that each of a job's tasks may be on, by the record. */
  private Map<TaskId, Set<String>> placements(String job) {
    Map<TaskId, Set<String>> found = new HashMap<>();
    Map<Integer, StateCache.Entry<Progress>> chunks = view.progress.get(job);
    if (chunks != null) {
      for (StateCache.Entry<Progress> chunk : chunks.values()) {
        for (int index : chunk.value().live.keySet()) {
          TaskId task = new TaskId(job, index);
          found.put(task, view.places.getOrDefault(task, Set.of()));
        }
      }
    }
    return found;
  }

  /** What the owner has proof of but cannot write, in an outage, is not on the machine any more. */
  private boolean provedGone(Machine machine, TaskId task) {
    WorkerSession session = owned.apply(machine);
    Integer attempt = machine.tasks().get(task);
    return attempt == null
        || session != null && evidence.end(session, machine, task, attempt) != null;
  }

  /** Whether the machine's partition has no owner that can act; told apart in an outage only. */
  private boolean ownerless(Machine machine) {
    String owner = membership.owner(machine.part());
    return owner == null || !watermark.acts(owner);
  }

  private void giveBack(List<String> machines) {
    LOG.info("cancelled tasks are not proved gone: {} go back", machines);
    returning = true;
    cloud.returnMachines(
        machines,
        ok -> {
          returning = false;
          if (ok) {
            returned.addAll(machines);
          }
        });
  }
}
