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
 * Decides which machines go back: those that are silent or sick, those that stand empty for long,
 * and those that are leaving and empty.
 */
final class SpareMachines {
  private final Clock clock;
  private final Settings settings;
  private final StateCache view;
  private final Membership membership;
  private final Scheduler scheduler;
  private final Returns returns;
  private final Map<String, Long> emptySince = new HashMap<>();
  private final Map<String, Long> silentSince = new HashMap<>();

  /** When so many of a zone were silent last that it looked like a cut. */
  private final Map<String, Long> cutAt = new HashMap<>();

  SpareMachines(
      Clock clock,
      Settings settings,
      StateCache view,
      Membership membership,
      Scheduler scheduler,
      Returns returns) {
    this.clock = clock;
    this.settings = settings;
    this.view = view;
    this.membership = membership;
    this.scheduler = scheduler;
    this.returns = returns;
  }

  /** Begins anew: this controller has become the leader. */
  void reset() {
    emptySince.clear();
    silentSince.clear();
  }

  /** Marks machines for return: those given up, and those empty for long. */
  void tick() {
    long now = clock.now();
    emptySince.keySet().retainAll(view.machines.keySet());
    silentSince
        .keySet()
        .removeIf(
            name ->
                !view.machines.containsKey(name)
                    || view.machines.get(name).value().condition() != Machine.Condition.SILENT);
    Map<String, Integer> all = new HashMap<>();
    Map<String, Integer> silent = new HashMap<>();
    for (StateCache.Entry<Machine> e : view.machines.values()) {
      Machine m = e.value();
      all.merge(m.zone(), 1, Integer::sum);
      if (m.condition() == Machine.Condition.SILENT) {
        silentSince.putIfAbsent(m.name(), now);
        silent.merge(m.zone(), 1, Integer::sum);
      }
    }
    // A zone is cut off as a whole: what counts is its own share, and whether its controllers are
    // lost.
    Set<String> cut = new HashSet<>();
    silent.forEach(
        (zone, n) -> {
          if (n > 2
              && (n > all.get(zone) * Constants.OUTAGE_SILENT_SHARE || membership.lost(zone))) {
            cut.add(zone);
            cutAt.put(zone, now);
          }
        });
    for (StateCache.Entry<Machine> e : List.copyOf(view.machines.values())) {
      Machine m = e.value();
      if (returns.leaving(m.name())) {
        continue;
      }
      // A sick machine fails what it starts, not what already runs: replicas there are not ended.
      if (m.condition() == Machine.Condition.SICK && !hasReplica(m)
          || m.condition() == Machine.Condition.SILENT && !keep(m, now, cut.contains(m.zone()))) {
        returns.drain(m.name(), m.zone(), StateCache.Drain.GIVEN_UP);
        continue;
      }
      if (m.condition() == Machine.Condition.SILENT || m.condition() == Machine.Condition.SICK) {
        continue;
      }
      if (!m.tasks().isEmpty() || !view.unplaced(m.part()).isEmpty()) {
        emptySince.remove(m.name());
        continue;
      }
      long since = emptySince.computeIfAbsent(m.name(), k -> now);
      MachineType type = view.type(m.type());
      boolean leaving = m.condition() != Machine.Condition.OK;
      double keep = type == null || leaving ? 0 : type.bootS() * 1000 * Constants.IDLE_BOOTS;
      if (m.spot() && type != null && type.spotPrice() > 0) {
        keep *= type.price() / type.spotPrice(); // the same cost buys a longer wait
      }
      if (now - since >= keep && (leaving || !wanted(m))) {
        returns.drain(m.name(), m.zone(), StateCache.Drain.IDLE);
      }
    }
  }

  /**
   * Whether a task that found no room could run on the empty machine, which is then about to get
   * it. One that suits none of them is not kept: it costs, and where the cloud has no more machines
   * to give it stands in the way of those that are missing.
   */
  private boolean wanted(Machine m) {
    MachineType type = view.type(m.type());
    if (type == null) {
      return false;
    }
    MachineCapacity empty = MachineCapacity.empty(m.name(), type, m.zone(), m.spot());
    return scheduler.unmet().stream()
        .anyMatch(u -> (u.zone() == null || u.zone().equals(m.zone())) && empty.fits(u.spec()));
  }

  /**
   * Whether a silent machine is kept for now. When many fall silent at once a cut is likelier than
   * their deaths: returning them all would leave nothing to go on with when it ends.
   */
  private boolean keep(Machine m, long now, boolean cut) {
    long silent = now - silentSince.get(m.name());
    if (!cut) {
      double reportMs = settings.workers().reportS() * 1000;
      return now - cutAt.getOrDefault(m.zone(), Long.MIN_VALUE / 2)
              < reportMs * Constants.SILENT_AFTER_OUTAGE_REPORTS
          || silent < reportMs * Constants.SILENT_MIN_REPORTS;
    }
    long limit = Constants.SILENT_KEEP_MS;
    for (TaskId t : m.tasks().keySet()) {
      StateCache.Entry<Job> j = view.jobs.get(t.job());
      if (j != null && j.value().state() == Job.State.CANCELLED) {
        limit = (long) (settings.workers().cancelS() * 1000 * Constants.SILENT_CANCEL_SHARE);
      }
    }
    return silent < limit;
  }

  private boolean hasReplica(Machine m) {
    for (TaskId t : m.tasks().keySet()) {
      StateCache.Entry<Job> j = view.jobs.get(t.job());
      if (j != null && j.value().open() && j.value().spec().service()) {
        return true;
      }
    }
    return false;
  }
}
