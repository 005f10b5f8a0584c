package org.baygw.control.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baygw.control.Constants;
import org.baygw.control.cloud.Cloud;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Partition;
import org.baygw.control.store.Keys;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Returns machines to the cloud. A machine is first marked as draining, so that no more tasks are
 * placed on it. That the cloud has taken it back is stored durably before anyone acts on it.
 */
final class Returns {
  private static final Logger LOG = LoggerFactory.getLogger(Returns.class);

  private final Clock clock;
  private final Store store;
  private final StateCache cache;
  private final Membership membership;
  private final Cloud cloud;
  private final CloudInventory inventory;
  private long claim;
  private long prunedAt;

  /** Machines whose drain entry is not written yet or is being written. */
  private final Set<String> pendingDrains = new HashSet<>();

  private final Map<Partition, Map<String, StateCache.Drain>> requestedDrains = new HashMap<>();

  /** Partitions whose list of draining machines is being written. */
  private final Set<Partition> busyPartitions = new HashSet<>();

  /**
   * Machines that the cloud has taken back, until this is stored durably and they are removed from
   * their partition's list.
   */
  private final Set<String> gone = new HashSet<>();

  /** Returned machines that the cloud may still list. */
  private final Set<String> returned = new HashSet<>();

  /** How many machines fit into one partition's list of draining machines. */
  private final int maxDrainsPerPartition;

  private boolean returnInFlight;
  private long nextReturn;

  Returns(
      Clock clock,
      Settings settings,
      Store store,
      StateCache cache,
      Membership membership,
      Cloud cloud,
      CloudInventory inventory) {
    this.clock = clock;
    this.store = store;
    this.cache = cache;
    this.membership = membership;
    this.cloud = cloud;
    this.inventory = inventory;
    this.maxDrainsPerPartition =
        (int) (settings.state().valueKb() * 1024 / Constants.DRAIN_ENTRY_BYTES);
  }

  /** Resets the state when this controller becomes the leader under the given claim. */
  void reset(long newClaim) {
    claim = newClaim;
    pendingDrains.clear();
    requestedDrains.clear();
    busyPartitions.clear();
    gone.clear();
    returnInFlight = false;
  }

  /** Whether the cloud has taken the machine back, though it may still list it. */
  boolean returned(String machine) {
    return returned.contains(machine);
  }

  /** Whether the machine is marked for return or is about to be. */
  boolean isDraining(String machine) {
    return cache.drains.containsKey(machine) || pendingDrains.contains(machine);
  }

  private void pruneReturned() {
    if (prunedAt != inventory.listedAt()) {
      prunedAt = inventory.listedAt();
      returned.removeIf(m -> !inventory.lists(m) && !cache.drains.containsKey(m));
    }
  }

  /** Requests that a machine be marked for return; {@link #tick} writes the mark. */
  void drain(String name, String zone, StateCache.Drain reason) {
    Partition partition = Partition.of(name, zone, cache.partitionsPerZone());
    requestedDrains.computeIfAbsent(partition, k -> new LinkedHashMap<>()).put(name, reason);
    pendingDrains.add(name);
    LOG.debug("marking machine {} for return: {}", name, reason);
  }

  /**
   * Applies requested marks, confirmed returns and removals to one partition's list of draining
   * machines in a single write. A machine is listed before it is returned, and until its own record
   * is deleted.
   */
  private void writeDrains(Partition partition) {
    Map<String, StateCache.Drain> drains = new LinkedHashMap<>(cache.drains(partition));
    Map<String, StateCache.Drain> added = takeRequested(partition, drains.size());
    added.forEach(drains::putIfAbsent);
    // GONE is stored durably before anyone acts on the machine's return.
    drains.replaceAll((m, d) -> gone.contains(m) ? StateCache.Drain.GONE : d);
    drains
        .entrySet()
        .removeIf(
            e ->
                e.getValue() == StateCache.Drain.GONE && !cache.machines.containsKey(e.getKey())
                    || receivedTask(partition, e.getKey(), e.getValue()));
    Set<String> obsoleteCordons = new HashSet<>(cache.cordons);
    obsoleteCordons.removeIf(m -> drains.containsKey(m) || !cache.drains(partition).containsKey(m));
    if (drains.equals(cache.drains(partition))) {
      pendingDrains.removeAll(added.keySet());
      return;
    }
    ObjectNode value = Json.object();
    drains.forEach((m, d) -> value.put(m, d.name()));
    String key = Keys.drain(partition);
    Txn txn =
        new Txn().when(Keys.claim(Keys.LEADER), claim).when(key, cache.stamp(key)).put(key, value);
    obsoleteCordons.forEach(m -> txn.delete(Keys.cordon(m)));
    busyPartitions.add(partition);
    store.txnWithRetry(
        Store.Urgency.CANCEL,
        txn,
        Constants.STATE_TIMEOUT_MS,
        ok -> {
          busyPartitions.remove(partition);
          pendingDrains.removeAll(added.keySet());
        });
  }

  /**
   * Takes as many of a partition's requested drains as fit into its list, which is one value in the
   * state service. The rest follow when machines have been removed from the list.
   */
  private Map<String, StateCache.Drain> takeRequested(Partition partition, int listedCount) {
    Map<String, StateCache.Drain> waiting = requestedDrains.getOrDefault(partition, Map.of());
    Map<String, StateCache.Drain> taken = new LinkedHashMap<>();
    for (Iterator<Map.Entry<String, StateCache.Drain>> iterator = waiting.entrySet().iterator();
        iterator.hasNext() && listedCount + taken.size() < maxDrainsPerPartition; ) {
      Map.Entry<String, StateCache.Drain> entry = iterator.next();
      taken.put(entry.getKey(), entry.getValue());
      iterator.remove();
    }
    return taken;
  }

  /** Whether a machine that was marked as idle received a task before the mark was durable. */
  private boolean receivedTask(Partition partition, String name, StateCache.Drain reason) {
    return reason == StateCache.Drain.IDLE
        && cacheIsCurrent(partition)
        && !gone.contains(name)
        && !cache.tasksOn(name).isEmpty();
  }

  /** Whether the state cache has every placement made before the partition's list last changed. */
  private boolean cacheIsCurrent(Partition partition) {
    return cache.revision() >= cache.stamp(Keys.drain(partition));
  }

  /**
   * Returns marked machines. Once the cloud has confirmed a return, the machine is durably recorded
   * as gone, which proves that nothing runs on it any more.
   */
  void tick() {
    long now = clock.now();
    pruneReturned();
    List<String> names = new ArrayList<>();
    gone.removeIf(m -> !cache.drains.containsKey(m));
    for (Partition partition : membership.partitions()) {
      if (busyPartitions.contains(partition)) {
        continue;
      }
      writeDrains(partition);
      if (busyPartitions.contains(partition) || !cacheIsCurrent(partition)) {
        continue;
      }
      cache
          .drains(partition)
          .forEach(
              (name, drain) -> {
                if (drain != StateCache.Drain.GONE
                    && !gone.contains(name)
                    && names.size() < Constants.MAX_RETURN) {
                  names.add(name);
                }
              });
    }
    if (names.isEmpty() || returnInFlight || now < nextReturn) {
      return;
    }
    returnInFlight = true;
    cloud.returnMachines(
        names,
        ok -> {
          if (!ok) {
            returnInFlight = false;
            nextReturn = clock.now() + Constants.CLOUD_RETRY_MS;
            return;
          }
          LOG.info("returned machines {}", names);
          returnInFlight = false;
          gone.addAll(names);
          returned.addAll(names);
        });
  }
}
