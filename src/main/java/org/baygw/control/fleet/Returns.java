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
 * Returns machines. A machine is marked as leaving before it is returned, so that nothing is placed
 * on it any more, and that the cloud has taken it back is durable before anyone acts on it.
 */
final class Returns {
  private static final Logger LOG = LoggerFactory.getLogger(Returns.class);

  private final Clock clock;
  private final Store store;
  private final StateCache view;
  private final Membership membership;
  private final Cloud cloud;
  private final CloudInventory inventory;
  private long claim;
  private long prunedAt;

  /** Marks that are to be written or are being written. */
  private final Set<String> pendingDrains = new HashSet<>();

  private final Map<Partition, Map<String, StateCache.Drain>> requestedDrains = new HashMap<>();

  /** Partitions whose list of leaving machines is being written. */
  private final Set<Partition> busyPartitions = new HashSet<>();

  /** Machines the cloud has taken back, until that is durable and they are off the list. */
  private final Set<String> gone = new HashSet<>();

  /** Machines given back that the cloud may still list. */
  private final Set<String> returned = new HashSet<>();

  /** Machines that one partition's list of leaving machines has room for. */
  private final int maxDrainsPerPartition;

  private boolean returnInFlight;
  private long nextReturn;

  Returns(
      Clock clock,
      Settings settings,
      Store store,
      StateCache view,
      Membership membership,
      Cloud cloud,
      CloudInventory inventory) {
    this.clock = clock;
    this.store = store;
    this.view = view;
    this.membership = membership;
    this.cloud = cloud;
    this.inventory = inventory;
    this.maxDrainsPerPartition =
        (int) (settings.state().valueKb() * 1024 / Constants.DRAIN_ENTRY_BYTES);
  }

  /** Begins anew: this controller has become the leader under this claim. */
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

  /** Whether the machine is marked for return, or is being marked. */
  boolean isDraining(String machine) {
    return view.drains.containsKey(machine) || pendingDrains.contains(machine);
  }

  private void pruneReturned() {
    if (prunedAt != inventory.listedAt()) {
      prunedAt = inventory.listedAt();
      returned.removeIf(m -> !inventory.lists(m) && !view.drains.containsKey(m));
    }
  }

  /** Marks a machine for return. */
  void drain(String name, String zone, StateCache.Drain reason) {
    Partition partition = Partition.of(name, zone, view.partitionsPerZone());
    requestedDrains.computeIfAbsent(partition, k -> new LinkedHashMap<>()).put(name, reason);
    pendingDrains.add(name);
    LOG.debug("{} is to go: {}", name, reason);
  }

  /**
   * Writes what was asked of one partition's list of leaving machines, in one change. A machine
   * stands there before it is returned, and until its own record is gone.
   */
  private void writeDrains(Partition partition) {
    Map<String, StateCache.Drain> drains = new LinkedHashMap<>(view.drains(partition));
    Map<String, StateCache.Drain> added = takeRequested(partition, drains.size());
    added.forEach(drains::putIfAbsent);
    // That the cloud has taken a machine back is durable before anyone acts on it.
    drains.replaceAll((m, d) -> gone.contains(m) ? StateCache.Drain.GONE : d);
    drains
        .entrySet()
        .removeIf(
            e ->
                e.getValue() == StateCache.Drain.GONE && !view.machines.containsKey(e.getKey())
                    || receivedTask(partition, e.getKey(), e.getValue()));
    Set<String> obsoleteCordons = new HashSet<>(view.cordons);
    obsoleteCordons.removeIf(m -> drains.containsKey(m) || !view.drains(partition).containsKey(m));
    if (drains.equals(view.drains(partition))) {
      pendingDrains.removeAll(added.keySet());
      return;
    }
    ObjectNode value = Json.object();
    drains.forEach((m, d) -> value.put(m, d.name()));
    String key = Keys.drain(partition);
    Txn txn =
        new Txn().when(Keys.claim(Keys.LEADER), claim).when(key, view.stamp(key)).put(key, value);
    obsoleteCordons.forEach(m -> txn.delete(Keys.cordon(m)));
    busyPartitions.add(partition);
    store.settle(
        Store.Urgency.CANCEL,
        txn,
        Constants.STATE_TIMEOUT_MS,
        ok -> {
          busyPartitions.remove(partition);
          pendingDrains.removeAll(added.keySet());
        });
  }

  /**
   * Takes as much of what was asked of a partition as its list, which is one value of the state
   * service, has room for; the rest follows when machines have come off it.
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

  /** Whether a machine that was to go because it was idle got a task before that was durable. */
  private boolean receivedTask(Partition partition, String name, StateCache.Drain reason) {
    return reason == StateCache.Drain.IDLE
        && viewIsCurrent(partition)
        && !gone.contains(name)
        && !view.on(name).isEmpty();
  }

  /** Whether the copy has all that was placed in the partition before its list last changed. */
  private boolean viewIsCurrent(Partition partition) {
    return view.revision() >= view.stamp(Keys.drain(partition));
  }

  /**
   * Returns what is marked; once the cloud said so, that is durable proof that all on it is gone.
   */
  void tick() {
    long now = clock.now();
    pruneReturned();
    List<String> names = new ArrayList<>();
    gone.removeIf(m -> !view.drains.containsKey(m));
    for (Partition partition : membership.partitions()) {
      if (busyPartitions.contains(partition)) {
        continue;
      }
      writeDrains(partition);
      if (busyPartitions.contains(partition) || !viewIsCurrent(partition)) {
        continue;
      }
      view.drains(partition)
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
          LOG.info("returned {}", names);
          returnInFlight = false;
          gone.addAll(names);
          returned.addAll(names);
        });
  }
}
