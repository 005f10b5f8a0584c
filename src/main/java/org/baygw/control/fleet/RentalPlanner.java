package org.baygw.control.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baygw.control.Constants;
import org.baygw.control.cloud.Cloud;
import org.baygw.control.model.JobSpec;
import org.baygw.control.model.MachineType;
import org.baygw.control.placement.MachineCapacity;
import org.baygw.control.quota.UnmetDemand;
import org.baygw.control.store.StateCache;

/**
 * Plans rentals for tasks that could not be placed and do not fit on machines that are already
 * rented or booting.
 */
final class RentalPlanner {
  private final StateCache cache;
  private final CloudInventory inventory;
  private final Rentals rentals;
  private final Returns returns;

  RentalPlanner(StateCache cache, CloudInventory inventory, Rentals rentals, Returns returns) {
    this.cache = cache;
    this.inventory = inventory;
    this.rentals = rentals;
    this.returns = returns;
  }

  /** Books missing machines, and gives up machines that failed or do not boot in time. */
  void plan(List<UnmetDemand> unmet) {
    rentals.expire();
    List<MachineCapacity> capacities = bootingMachines();
    capacities.addAll(rentals.unlistedMachines());
    Map<MachineKind, Integer> toRent = new LinkedHashMap<>();
    for (UnmetDemand demand : unmet) {
      int remaining = demand.count();
      for (MachineCapacity capacity : capacities) {
        if (remaining > 0
            && (demand.zone() == null || demand.zone().equals(capacity.machine().zone()))) {
          remaining = capacity.fill(demand.spec(), remaining);
        }
      }
      addMachines(demand, remaining, capacities, toRent);
    }
    toRent.forEach(rentals::book);
  }

  /**
   * Adds machines for the given number of tasks to {@code toRent}, as long as a suitable kind
   * exists and no request exceeds the cloud's limit.
   */
  private void addMachines(
      UnmetDemand demand,
      int tasks,
      List<MachineCapacity> capacities,
      Map<MachineKind, Integer> toRent) {
    int remaining = tasks;
    while (remaining > 0) {
      MachineKind kind = chooseKind(demand, toRent);
      if (kind == null || toRent.getOrDefault(kind, 0) >= Constants.MAX_RENT) {
        return;
      }
      toRent.merge(kind, 1, Integer::sum);
      MachineCapacity capacity = kind.emptyCapacity(cache, "");
      int before = remaining;
      remaining = capacity.fill(demand.spec(), remaining);
      capacities.add(capacity);
      if (remaining == before) {
        return;
      }
    }
  }

  /**
   * Capacity of listed machines that have not reported yet and are still awaited. Also marks failed
   * and given-up machines for return.
   */
  private List<MachineCapacity> bootingMachines() {
    List<MachineCapacity> capacities = new ArrayList<>();
    BootProgress progress = new BootProgress(cache, inventory);
    for (Cloud.ListedMachine machine : inventory.machines()) {
      if (returns.returned(machine.name()) || returns.isDraining(machine.name())) {
        continue; // the list lags: the cloud may have taken the machine back already
      }
      MachineType type = cache.type(machine.type());
      boolean reported = cache.machines.containsKey(machine.name());
      if (machine.status().equals("failed")) {
        returns.drain(machine.name(), machine.zone(), StateCache.Drain.GIVEN_UP);
      } else if (type != null && !reported) {
        switch (progress.expectationFor(machine, type)) {
          case AWAITED ->
              capacities.add(
                  MachineCapacity.empty(machine.name(), type, machine.zone(), machine.spot()));
          case REPLACED -> {
            // The machine may still come up; another is rented for its work.
          }
          case GIVEN_UP -> returns.drain(machine.name(), machine.zone(), StateCache.Drain.GIVEN_UP);
        }
      }
    }
    return capacities;
  }

  /**
   * Returns the allowed kind with the lowest price per CPU that the cloud has not recently refused,
   * or null if there is none. At equal prices the kind with fewer planned machines wins, which
   * spreads rentals over the zones.
   */
  private MachineKind chooseKind(UnmetDemand demand, Map<MachineKind, Integer> toRent) {
    JobSpec spec = demand.spec();
    MachineKind best = null;
    double bestPrice = 0;
    int bestCount = 0;
    for (MachineType type : cache.types) {
      if (!type.fits(spec) || !spec.typeAllowed(type.name())) {
        continue;
      }
      for (String zone : type.zones()) {
        if (demand.zone() != null && !demand.zone().equals(zone)
            || spec.zone() != null && !spec.zone().equals(zone)) {
          continue;
        }
        for (boolean spot : new boolean[] {true, false}) {
          MachineKind kind = new MachineKind(type.name(), zone, spot);
          if (spot && !spec.spot() || rentals.refused(kind) || !spot && demand.canWaitForSpot()) {
            continue;
          }
          // In a short burst of work, busy spot machines become free sooner than a more expensive
          // machine boots; only demand that lasts justifies renting one.
          if (!spot
              && spec.spot()
              && !spec.service()
              && type.spotPrice() < type.price()
              && demand.waitedMs() < type.bootS() * 1000 * Constants.SPOT_WAIT_BOOTS) {
            continue;
          }
          double price = (spot ? type.spotPrice() : type.price()) / type.cpus();
          int count = toRent.getOrDefault(kind, 0);
          if (best == null
              || price < bestPrice - Constants.EPS
              || price < bestPrice + Constants.EPS && count < bestCount) {
            best = kind;
            bestPrice = price;
            bestCount = count;
          }
        }
      }
    }
    return best;
  }
}
