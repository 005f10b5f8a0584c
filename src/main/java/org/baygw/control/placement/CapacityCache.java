package org.baygw.control.placement;

import java.util.HashMap;
import java.util.Map;
import org.baygw.control.model.Machine;
import org.baygw.control.store.StateCache;

/** Caches the free capacity of machines; recomputed only for machines that have changed. */
public final class CapacityCache {
  private record CachedCapacity(Machine machine, MachineCapacity capacity) {}

  private final StateCache stateCache;
  private final Map<String, CachedCapacity> cache = new HashMap<>();

  public CapacityCache(StateCache stateCache) {
    this.stateCache = stateCache;
  }

  /** A copy that the caller may change; null for a machine of an unknown type. */
  public MachineCapacity of(Machine machine) {
    CachedCapacity cached = cache.get(machine.name());
    if (cached == null || cached.machine() != machine) {
      MachineCapacity capacity = MachineCapacity.of(stateCache, machine);
      if (capacity == null) {
        return null;
      }
      if (cache.size() > 2 * stateCache.machines.size() + 16) {
        cache.keySet().retainAll(stateCache.machines.keySet());
      }
      cached = new CachedCapacity(machine, capacity);
      cache.put(machine.name(), cached);
    }
    return cached.capacity().copy();
  }
}
