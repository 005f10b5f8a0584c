package org.baygw.control.placement;

import java.util.HashMap;
import java.util.Map;
import org.baygw.control.model.Machine;
import org.baygw.control.store.StateCache;

/** Caches the free capacity of machines; recomputed only for machines that have changed. */
public final class CapacityCache {
  private record Known(Machine machine, MachineCapacity room) {}

  private final StateCache view;
  private final Map<String, Known> known = new HashMap<>();

  public CapacityCache(StateCache view) {
    this.view = view;
  }

  /** A copy that the caller may change; null for a machine of an unknown type. */
  public MachineCapacity of(Machine m) {
    Known k = known.get(m.name());
    if (k == null || k.machine() != m) {
      MachineCapacity r = MachineCapacity.of(view, m);
      if (r == null) {
        return null;
      }
      if (known.size() > 2 * view.machines.size() + 16) {
        known.keySet().retainAll(view.machines.keySet());
      }
      k = new Known(m, r);
      known.put(m.name(), k);
    }
    return k.room().copy();
  }
}
