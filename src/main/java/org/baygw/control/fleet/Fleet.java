package org.baygw.control.fleet;

import org.baygw.control.Constants;
import org.baygw.control.cloud.Cloud;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Replication;
import org.baygw.control.membership.Membership;
import org.baygw.control.quota.Scheduler;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;

/** Rents and returns machines; active on the leader only. */
public final class Fleet {
  private final Clock clock;
  private final Store store;
  private final StateCache cache;
  private final Membership membership;
  private final Scheduler scheduler;
  private final CloudInventory inventory;
  private final Rentals rentals;
  private final RentalPlanner rentalPlanner;
  private final ReturnPlanner returnPlanner;
  private final Returns returns;
  private long claim;
  private long nextPlan;
  private long nextUpdate;

  public Fleet(
      Clock clock,
      Settings settings,
      Store store,
      StateCache cache,
      Membership membership,
      Cloud cloud,
      Scheduler scheduler,
      Replication replication) {
    this.clock = clock;
    this.store = store;
    this.cache = cache;
    this.membership = membership;
    this.scheduler = scheduler;
    this.inventory = new CloudInventory(clock, store, cache, membership, cloud);
    this.rentals = new Rentals(clock, settings, store, cache, cloud, inventory, replication);
    this.returns = new Returns(clock, settings, store, cache, membership, cloud, inventory);
    this.rentalPlanner = new RentalPlanner(cache, inventory, rentals, returns);
    this.returnPlanner = new ReturnPlanner(clock, settings, cache, membership, scheduler, returns);
  }

  /** Called periodically and after changes. */
  public void tick() {
    if (!store.loaded() || membership.leaderClaimStamp() == 0) {
      return;
    }
    if (claim != membership.leaderClaimStamp()) {
      claim = membership.leaderClaimStamp();
      inventory.reset();
      rentals.reset(claim);
      returnPlanner.reset();
      returns.reset(claim);
    }
    inventory.tick();
    long now = clock.now();
    boolean listed = inventory.listedAt() > 0;
    if (now >= nextPlan && listed && scheduler.unmetIsCurrent()) {
      nextPlan = now + Constants.FLEET_INTERVAL_MS;
      rentalPlanner.plan(scheduler.unmet());
    }
    if (now >= nextUpdate && !cache.types.isEmpty()) {
      nextUpdate = now + Constants.FLEET_INTERVAL_MS;
      rentals.tick();
      if (listed) {
        returnPlanner.tick();
      }
      returns.tick();
    }
  }
}
