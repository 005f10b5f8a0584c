package org.baygw.control.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Job;
import org.baygw.control.model.Machine;
import org.baygw.control.model.MachineType;
import org.baygw.control.model.TaskId;
import org.baygw.control.placement.MachineCapacity;
import org.baygw.control.quota.Scheduler;
import org.baygw.control.store.StateCache;

/**
 * Decides which machines to return: silent or sick machines, machines that have been empty for
 * long, and empty machines that are leaving.
 */
final class ReturnPlanner {
  private final Clock clock;
  private final Settings settings;
  private final StateCache cache;
  private final Membership membership;
  private final Scheduler scheduler;
  private final Returns returns;
  private final Map<String, Long> emptySince = new HashMap<>();
  private final Map<String, Long> silentSince = new HashMap<>();

  /** By zone, the last time at which its silent machines suggested a network outage. */
  private final Map<String, Long> zoneOutageAt = new HashMap<>();

  ReturnPlanner(
      Clock clock,
      Settings settings,
      StateCache cache,
      Membership membership,
      Scheduler scheduler,
      Returns returns) {
    this.clock = clock;
    this.settings = settings;
    this.cache = cache;
    this.membership = membership;
    this.scheduler = scheduler;
    this.returns = returns;
  }

  /** Resets the state when this controller becomes the leader. */
  void reset() {
    emptySince.clear();
    silentSince.clear();
  }

  /** Marks machines for return: those given up, and those that have been empty for long. */
  void tick() {
    long now = clock.now();
    emptySince.keySet().retainAll(cache.machines.keySet());
    silentSince
        .keySet()
        .removeIf(
            name ->
                !cache.machines.containsKey(name)
                    || cache.machines.get(name).value().condition() != Machine.Condition.SILENT);
    Map<String, Integer> machineCounts = new HashMap<>();
    Map<String, Integer> silentCounts = new HashMap<>();
    for (StateCache.Entry<Machine> entry : cache.machines.values()) {
      Machine machine = entry.value();
      machineCounts.merge(machine.zone(), 1, Integer::sum);
      if (machine.condition() == Machine.Condition.SILENT) {
        silentSince.putIfAbsent(machine.name(), now);
        silentCounts.merge(machine.zone(), 1, Integer::sum);
      }
    }
    // Network outages affect whole zones, so each zone is judged by its own share of silent
    // machines and by whether its controllers are lost.
    Set<String> outageZones = new HashSet<>();
    silentCounts.forEach(
        (zone, count) -> {
          if (count > 2
              && (count > machineCounts.get(zone) * Constants.OUTAGE_SILENT_SHARE
                  || membership.lostAllControllers(zone))) {
            outageZones.add(zone);
            zoneOutageAt.put(zone, now);
          }
        });
    for (StateCache.Entry<Machine> entry : List.copyOf(cache.machines.values())) {
      Machine machine = entry.value();
      if (returns.isDraining(machine.name())) {
        continue;
      }
      // A sick machine fails tasks that it starts, not those already running, so it is kept while
      // it runs service replicas.
      if (machine.condition() == Machine.Condition.SICK && !runsServiceReplica(machine)
          || machine.condition() == Machine.Condition.SILENT
              && !keepSilent(machine, now, outageZones.contains(machine.zone()))) {
        returns.drain(machine.name(), machine.zone(), StateCache.Drain.GIVEN_UP);
        continue;
      }
      if (machine.condition() == Machine.Condition.SILENT
          || machine.condition() == Machine.Condition.SICK) {
        continue;
      }
      if (!machine.tasks().isEmpty() || !cache.unplaced(machine.partition()).isEmpty()) {
        emptySince.remove(machine.name());
        continue;
      }
      long since = emptySince.computeIfAbsent(machine.name(), k -> now);
      MachineType type = cache.type(machine.type());
      boolean leaving = machine.condition() != Machine.Condition.OK;
      double keepMs = type == null || leaving ? 0 : type.bootS() * 1000 * Constants.IDLE_BOOT_TIMES;
      if (machine.spot() && type != null && type.spotPrice() > 0) {
        keepMs *= type.price() / type.spotPrice(); // kept longer for the same cost
      }
      if (now - since >= keepMs && (leaving || !hasDemand(machine))) {
        returns.drain(machine.name(), machine.zone(), StateCache.Drain.IDLE);
      }
    }
  }

  /**
   * Whether an unplaced task fits on the empty machine, which will then receive it shortly. A
   * machine that fits no such task is not kept: it costs money, and if the cloud's capacity is
   * exhausted it blocks the rental of machines that are needed.
   */
  private boolean hasDemand(Machine machine) {
    MachineType type = cache.type(machine.type());
    if (type == null) {
      return false;
    }
    MachineCapacity empty =
        MachineCapacity.empty(machine.name(), type, machine.zone(), machine.spot());
    return scheduler.unmet().stream()
        .anyMatch(
            demand ->
                (demand.zone() == null || demand.zone().equals(machine.zone()))
                    && empty.fits(demand.spec()));
  }

  /**
   * Whether a silent machine is kept for now. When many machines fall silent at once, a network
   * outage is likelier than machine failures, and returning them all would leave no machines to
   * continue with when the outage ends.
   */
  private boolean keepSilent(Machine machine, long now, boolean zoneOutage) {
    long silentMs = now - silentSince.get(machine.name());
    if (!zoneOutage) {
      double reportMs = settings.workers().reportS() * 1000;
      return now - zoneOutageAt.getOrDefault(machine.zone(), Long.MIN_VALUE / 2)
              < reportMs * Constants.SILENT_AFTER_OUTAGE_REPORTS
          || silentMs < reportMs * Constants.SILENT_MIN_REPORTS;
    }
    long limitMs = Constants.SILENT_OUTAGE_MS;
    for (TaskId task : machine.tasks().keySet()) {
      StateCache.Entry<Job> job = cache.jobs.get(task.job());
      if (job != null && job.value().state() == Job.State.CANCELLED) {
        limitMs = (long) (settings.workers().cancelS() * 1000 * Constants.SILENT_CANCEL_SHARE);
      }
    }
    return silentMs < limitMs;
  }

  private boolean runsServiceReplica(Machine machine) {
    for (TaskId task : machine.tasks().keySet()) {
      StateCache.Entry<Job> job = cache.jobs.get(task.job());
      if (job != null && job.value().open() && job.value().spec().service()) {
        return true;
      }
    }
    return false;
  }
}
