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
 * Returns machines to the cloud on which a cancelled task is not proved to have ended in time. This
 * is the last resort of a cancellation: a hung machine keeps its tasks after its lease has expired,
 * and during an outage of the state service nobody can durably record that the machine is given up.
 * The owner of the machine's partition returns it first, other controllers later, since a partition
 * may have no live owner. Time counts from the wall-clock time in the cancellation's record, so
 * that a controller that was restarted or took over does not count from its own start.
 */
final class CancellationDeadline {
  private static final Logger LOG = LoggerFactory.getLogger(CancellationDeadline.class);

  private final Clock clock;
  private final StateCache cache;
  private final Membership membership;
  private final TerminationEvidence evidence;
  private final Cloud cloud;
  private final CancellationWatermark watermark;

  /**
   * Returns the session of a machine's worker; null if this controller does not own the machine.
   */
  private final Function<Machine, WorkerSession> ownedSession;

  private final long cancelMs;
  private final long clockErrorMs;

  /**
   * Machines with cancelled tasks that are not proved to have ended, and since when this controller
   * has known of them.
   */
  private final Map<String, Long> pendingSince = new HashMap<>();

  /** Machines that the cloud has taken back, as long as they are on record. */
  private final Set<String> returned = new HashSet<>();

  private boolean returnInFlight;
  private long nextCheck;

  /** Time since which the state cache has been current at every check; 0 before the first check. */
  private long currentSince;

  CancellationDeadline(
      Clock clock,
      Settings settings,
      StateCache cache,
      Membership membership,
      TerminationEvidence evidence,
      Cloud cloud,
      CancellationWatermark watermark,
      Function<Machine, WorkerSession> ownedSession) {
    this.clock = clock;
    this.cache = cache;
    this.membership = membership;
    this.evidence = evidence;
    this.cloud = cloud;
    this.watermark = watermark;
    this.ownedSession = ownedSession;
    this.cancelMs = (long) (settings.workers().cancelS() * 1000);
    // The wall clock of the cancellation's writer may be off as far as this controller's, in the
    // other direction.
    this.clockErrorMs = (long) (2 * settings.timeBoundMs());
  }

  void tick() {
    if (clock.now() < nextCheck) {
      return;
    }
    nextCheck = clock.now() + Constants.MACHINE_FULL_CHECK_MS;
    if (currentSince == 0 || !watermark.cacheIsCurrent()) {
      currentSince = clock.now();
    }
    List<String> due = findDueMachines();
    // If this controller may have been replaced, the new owner may have proved that the tasks ended
    // and placed others on the machine, which must keep running.
    if (!due.isEmpty() && !returnInFlight && !watermark.mayHaveLostClaims()) {
      returnMachines(due.subList(0, Math.min(due.size(), Constants.MAX_RETURN)));
    }
  }

  /**
   * Finds the machines on which cancelled tasks are not proved to have ended; returns those due for
   * return.
   */
  private List<String> findDueMachines() {
    returned.retainAll(cache.machines.keySet());
    boolean outage = watermark.outageForMajority();
    Set<String> pending = new HashSet<>();
    Set<String> due = new LinkedHashSet<>();
    for (StateCache.Entry<Job> job : cache.activeJobs.values()) {
      String id = job.value().spec().id();
      if (cache.isCancelled(id)) {
        double share = elapsedShare(id);
        for (Map.Entry<TaskId, Set<String>> task : placements(id).entrySet()) {
          for (Machine machine : machinesWithoutProof(task.getKey(), task.getValue())) {
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

  /** The given machines on which the task is not proved to have ended. */
  private List<Machine> machinesWithoutProof(TaskId task, Set<String> names) {
    List<Machine> found = new ArrayList<>();
    for (String name : names) {
      StateCache.Entry<Machine> machine = cache.machines.get(name);
      boolean gone = returned.contains(name) || cache.drains.get(name) == StateCache.Drain.GONE;
      if (machine != null && !gone && !provedGone(machine.value(), task)) {
        found.add(machine.value());
      }
    }
    return found;
  }

  private boolean due(Machine machine, double share, long knownMs, boolean outage) {
    if (ownedSession.apply(machine) != null) {
      // After a takeover, workers need some time to show the new owner that their tasks have ended.
      return share > Constants.CANCELLATION_ANY_CONTROLLER_SHARE
          || share > Constants.CANCELLATION_OWNER_SHARE && knownMs > proofDelayMs();
    }
    if (outage) {
      // A live owner may have proof that the task has ended and be unable to write it.
      return share > Constants.CANCELLATION_OWNERLESS_SHARE && ownerless(machine);
    }
    // The proof of a live owner would be on record by now; without a live owner there may be nobody
    // else to return the machine. After an outage the owner needs some time to write its proof, or
    // healthy machines would be returned.
    return share > Constants.CANCELLATION_ANY_CONTROLLER_SHARE
        && watermark.cacheIsCurrent()
        && clock.now() - currentSince > proofDelayMs();
  }

  /** ms within which a live owner obtains proof that tasks have ended and writes it. */
  private double proofDelayMs() {
    return cancelMs * Constants.CANCELLATION_PROOF_SHARE;
  }

  /**
   * Upper bound, with clock error, on how much of the time for a job's cancellation has passed; 1
   * is all of it.
   */
  private double elapsedShare(String job) {
    return (double) (clock.wall() - cache.cancelledMs(job) + clockErrorMs) / cancelMs;
  }

  /** The machines that each live task of a job may be on, according to the partitions' records. */
  private Map<TaskId, Set<String>> placements(String job) {
    Map<TaskId, Set<String>> found = new HashMap<>();
    Map<Integer, StateCache.Entry<Progress>> chunks = cache.progress.get(job);
    if (chunks != null) {
      for (StateCache.Entry<Progress> chunk : chunks.values()) {
        for (int index : chunk.value().live.keySet()) {
          TaskId task = new TaskId(job, index);
          found.put(task, cache.machinesWith(task));
        }
      }
    }
    return found;
  }

  /**
   * Whether the task has left the machine according to the record, or according to proof that this
   * controller has as the owner but may be unable to write during an outage.
   */
  private boolean provedGone(Machine machine, TaskId task) {
    WorkerSession session = ownedSession.apply(machine);
    Integer attempt = machine.tasks().get(task);
    return attempt == null
        || session != null && evidence.endOf(session, machine, task, attempt) != null;
  }

  /** Whether the machine's partition has no owner that can act; valid during an outage only. */
  private boolean ownerless(Machine machine) {
    String owner = membership.owner(machine.partition());
    return owner == null || !watermark.canRelyOnClaims(owner);
  }

  private void returnMachines(List<String> machines) {
    LOG.info("cancelled tasks not proved to have ended in time: returning machines {}", machines);
    returnInFlight = true;
    cloud.returnMachines(
        machines,
        ok -> {
          returnInFlight = false;
          if (ok) {
            returned.addAll(machines);
          }
        });
  }
}
