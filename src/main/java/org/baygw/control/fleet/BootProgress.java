package org.baygw.control.fleet;

import java.util.HashMap;
import java.util.Map;
import org.baygw.control.Constants;
import org.baygw.control.cloud.Cloud;
import org.baygw.control.model.MachineType;
import org.baygw.control.store.StateCache;

/**
 * Decides how long to wait for booting machines. A late machine that was overtaken by a machine
 * rented after it is slow or broken, and is replaced. If many machines are late without being
 * overtaken, the cloud is slow: giving them up would only restart the same wait for others, and
 * replacing them would rent the whole demand a second time.
 */
final class BootProgress {
  /** How a booting machine is treated. */
  enum Expectation {
    /** Its capacity is counted on. */
    AWAITED,
    /** It may still come up, but its capacity is not counted on. */
    REPLACED,
    /** It is returned to the cloud. */
    GIVEN_UP
  }

  private final CloudInventory inventory;

  /** Age in seconds of the youngest machine that is up, by machine type. */
  private final Map<String, Double> youngestUpAgeS = new HashMap<>();

  /** Number of late machines that were not overtaken, by machine type. */
  private final Map<String, Integer> lateCounts = new HashMap<>();

  BootProgress(StateCache cache, CloudInventory inventory) {
    this.inventory = inventory;
    for (Cloud.ListedMachine machine : inventory.machines()) {
      if (machine.status().equals("running") || cache.machines.containsKey(machine.name())) {
        youngestUpAgeS.merge(machine.type(), inventory.ageS(machine), Math::min);
      }
    }
    for (Cloud.ListedMachine machine : inventory.machines()) {
      MachineType type = cache.type(machine.type());
      boolean booting =
          machine.status().equals("booting") && !cache.machines.containsKey(machine.name());
      if (type != null
          && booting
          && ageInBootTimes(machine, type) > Constants.BOOT_LATE_FACTOR
          && !overtaken(machine)) {
        lateCounts.merge(machine.type(), 1, Integer::sum);
      }
    }
  }

  Expectation expectationFor(Cloud.ListedMachine machine, MachineType type) {
    double ageInBootTimes = ageInBootTimes(machine, type);
    if (ageInBootTimes <= Constants.BOOT_LATE_FACTOR) {
      return Expectation.AWAITED;
    }
    if (overtaken(machine)) {
      return ageInBootTimes > Constants.BOOT_GIVE_UP_FACTOR
          ? Expectation.GIVEN_UP
          : Expectation.REPLACED;
    }
    boolean cloudIsSlow =
        lateCounts.getOrDefault(machine.type(), 0) >= Constants.SLOW_CLOUD_LATE_BOOTS;
    double giveUpAfter =
        cloudIsSlow ? Constants.BOOT_GIVE_UP_SLOW_CLOUD_FACTOR : Constants.BOOT_GIVE_UP_FACTOR;
    return ageInBootTimes > giveUpAfter ? Expectation.GIVEN_UP : Expectation.AWAITED;
  }

  /** The machine's age as a multiple of its type's nominal boot time. */
  private double ageInBootTimes(Cloud.ListedMachine machine, MachineType type) {
    return inventory.ageS(machine) / type.bootS();
  }

  private boolean overtaken(Cloud.ListedMachine machine) {
    return youngestUpAgeS.getOrDefault(machine.type(), Double.POSITIVE_INFINITY)
        < inventory.ageS(machine);
  }
}
