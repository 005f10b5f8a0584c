package org.baygw.control.fleet;

import org.baygw.control.model.MachineType;
import org.baygw.control.model.Rental;
import org.baygw.control.placement.MachineCapacity;
import org.baygw.control.store.StateCache;

/**
 * What a rental asks for: a machine type in a zone, spot or ordinary.
 *
 * @param type the machine type's name
 */
record MachineKind(String type, String zone, boolean spot) {
  static MachineKind of(Rental rental) {
    return new MachineKind(rental.type(), rental.zone(), rental.spot());
  }

  /** The capacity of an empty machine of this kind, or null if its type is unknown. */
  MachineCapacity emptyCapacity(StateCache cache, String machine) {
    MachineType machineType = cache.type(type);
    return machineType == null ? null : MachineCapacity.empty(machine, machineType, zone, spot);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof MachineKind kind
        && spot == kind.spot
        && type.equals(kind.type)
        && zone.equals(kind.zone);
  }

  @Override
  public int hashCode() {
    return (type.hashCode() * 31 + zone.hashCode()) * 31 + (spot ? 1 : 0);
  }

  @Override
  public String toString() {
    return type + " in " + zone + (spot ? ", spot" : "");
  }
}
