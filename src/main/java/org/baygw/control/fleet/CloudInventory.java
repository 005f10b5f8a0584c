package org.baygw.control.fleet;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baygw.control.Constants;
import org.baygw.control.cloud.Cloud;
import org.baygw.control.core.Clock;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.MachineType;
import org.baygw.control.model.Records;
import org.baygw.control.store.Keys;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;

/**
 * Reads the cloud's machine types, which it stores in the state service, and the cloud's list of
 * machines, which lags behind.
 */
final class CloudInventory {
  private final Clock clock;
  private final Store store;
  private final StateCache cache;
  private final Membership membership;
  private final Cloud cloud;
  private Map<String, Cloud.ListedMachine> listed = new LinkedHashMap<>();
  private long listedAt;
  private boolean listPending;
  private long nextList;
  private boolean typesPending;
  private long nextTypes;

  CloudInventory(Clock clock, Store store, StateCache cache, Membership membership, Cloud cloud) {
    this.clock = clock;
    this.store = store;
    this.cache = cache;
    this.membership = membership;
    this.cloud = cloud;
  }

  /** Resets the state when this controller becomes the leader. */
  void reset() {
    listed = new LinkedHashMap<>();
    listedAt = 0;
    nextList = clock.now();
    nextTypes = clock.now();
  }

  void tick() {
    if (!typesPending && clock.now() >= nextTypes) {
      typesPending = true;
      cloud.types(this::handleTypes);
    }
    if (!listPending && clock.now() >= nextList) {
      listPending = true;
      cloud.list(this::handleList);
    }
  }

  /** Monotonic time in ms at which the list was last read; 0 if not read yet. */
  long listedAt() {
    return listedAt;
  }

  boolean lists(String machine) {
    return listed.containsKey(machine);
  }

  Collection<Cloud.ListedMachine> machines() {
    return listed.values();
  }

  /** Seconds since a listed machine was requested. */
  double ageS(Cloud.ListedMachine machine) {
    return machine.ageS() + (clock.now() - listedAt) / 1000.0;
  }

  private void handleList(List<Cloud.ListedMachine> list) {
    listPending = false;
    nextList = clock.now() + Constants.CLOUD_LIST_INTERVAL_MS;
    if (list != null) {
      listedAt = clock.now();
      listed = new LinkedHashMap<>();
      list.forEach(machine -> listed.put(machine.name(), machine));
    }
  }

  private void handleTypes(List<MachineType> types) {
    typesPending = false;
    boolean valid = types != null && !types.isEmpty();
    nextTypes =
        clock.now() + (valid ? Constants.MACHINE_TYPES_INTERVAL_MS : Constants.CLOUD_RETRY_MS);
    if (valid && !types.equals(cache.types) && membership.leaderClaimStamp() != 0) {
      store.txn(
          Store.Urgency.SUBMIT,
          new Txn()
              .when(Keys.claim(Keys.LEADER), membership.leaderClaimStamp())
              .put(Keys.TYPES, Records.types(types)),
          Constants.STATE_TIMEOUT_MS,
          outcome -> {
            if (outcome != Store.Outcome.OK) {
              nextTypes = clock.now() + Constants.CLOUD_RETRY_MS;
            }
          });
    }
  }
}
