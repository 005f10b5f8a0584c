package org.baygw.control.fleet;

import java.util.HashMap;
import java.util.Map;
import org.baygw.control.Constants;
import org.baygw.control.cloud.Cloud;
import org.baygw.control.model.MachineType;
import org.baygw.control.store.StateCache;

/**
 * How long machines that boot are awaited. One that is overtaken by machines rented after it is
 * slow or broken, and others are rented for it. Where many are late and none overtook them the
 * cloud is slow: giving them up would only put others at the end of the same wait, and replacing
 * them would rent all that is needed a second time.
 */
final class BootProgress {
  /** What is expected of a machine that boots. */
  enum Expectation {
    /** It counts as coming. */
    AWAITED,
    /** It may come, but is not counted on. */
    REPLACED,
    /** It is to be returned. */
    GIVEN_UP
  }

  private final CloudInventory inventory;

  /** By type, the least age of a machine that is up. */
  private final Map<String, Double> youngestUpAgeS = new HashMap<>();

  /** By type, how many late machines were not overtaken. */
  private final Map<String, Integer> lateCounts = new HashMap<>();

  BootProgress(StateCache view, CloudInventory inventory) {
    this.inventory = inventory;
    for (Cloud.ListedMachine machine : inventory.machines()) {
      if (machine.status().equals("running") || view.machines.containsKey(machine.name())) {
        youngestUpAgeS.merge(machine.type(), inventory.ageS(machine), Math::min);
      }
    }
    for (Cloud.ListedMachine machine : inventory.machines()) {
      MachineType type = view.type(machine.type());
      boolean booting =
          machine.status().equals("booting") && !view.machines.containsKey(machine.name());
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

  /** The machine's age, in boot times of its type. */
  private double ageInBootTimes(Cloud.ListedMachine machine, MachineType type) {
    return inventory.ageS(machine) / type.bootS();
  }

  private boolean overtaken(Cloud.ListedMachine machine) {
    return youngestUpAgeS.getOrDefault(machine.type(), Double.POSITIVE_INFINITY)
        < inventory.ageS(machine);
  }
}
