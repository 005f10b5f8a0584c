package org.baygw.control.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baygw.control.Constants;
import org.baygw.control.cloud.Cloud;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Replication;
import org.baygw.control.model.Records;
import org.baygw.control.model.Rental;
import org.baygw.control.placement.MachineCapacity;
import org.baygw.control.store.Keys;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rentals in progress. Each is requested from the cloud as a booking, under a unique name that is
 * stored durably first, so that a new leader repeats the request under the same name. The record is
 * deleted when the cloud has no capacity for the booking, or once its machines are listed by the
 * cloud, have reported or are overdue.
 */
final class Rentals {
  private static final Logger LOG = LoggerFactory.getLogger(Rentals.class);

  /** A machine that the cloud has confirmed as rented, until the cloud lists it or it reports. */
  private record ExpectedMachine(MachineKind kind, long rentedAt) {}

  /** The machines that a booking received, and when the cloud answered. */
  private record Answer(List<String> machines, long answeredAt) {}

  private final Clock clock;
  private final Store store;
  private final StateCache cache;
  private final Cloud cloud;
  private final CloudInventory inventory;
  private final Replication replication;

  /** How long a rented machine may be missing from the cloud's list. */
  private final long maxUnlistedMs;

  private long claim;
  private int bookingCount;

  /** Bookings with a write or cloud call in flight, or waiting for their next retry. */
  private final Set<String> busy = new HashSet<>();

  private final Map<String, Long> retryAt = new HashMap<>();

  /**
   * Bookings whose record is being written. They count like written ones; otherwise the same demand
   * would be booked again whenever another write completes, and endlessly while the state service
   * is unavailable.
   */
  private final Map<String, Rental> unwritten = new LinkedHashMap<>();

  private final Map<String, Answer> answered = new HashMap<>();
  private final Map<String, ExpectedMachine> expected = new HashMap<>();

  /** Kinds that the cloud has no capacity for, and until when they are not requested. */
  private final Map<MachineKind, Long> refusedUntil = new HashMap<>();

  Rentals(
      Clock clock,
      Settings settings,
      Store store,
      StateCache cache,
      Cloud cloud,
      CloudInventory inventory,
      Replication replication) {
    this.replication = replication;
    this.clock = clock;
    this.store = store;
    this.cache = cache;
    this.cloud = cloud;
    this.inventory = inventory;
    this.maxUnlistedMs = (long) (settings.cloud().listLagS() * 1000 * Constants.UNLISTED_LIST_LAGS);
  }

  /** Resets the state when this controller becomes the leader under the given claim. */
  void reset(long newClaim) {
    claim = newClaim;
    bookingCount = 0;
    busy.clear();
    retryAt.clear();
    unwritten.clear();
    answered.clear();
    expected.clear();
    inheritRefusals();
  }

  /** Takes over the former leader's knowledge of which kinds the cloud has no capacity for. */
  private void inheritRefusals() {
    Replication.InheritedQueue inherited = replication.inheritedQueue();
    if (inherited != null) {
      inherited
          .refused()
          .forEach(
              kind ->
                  refusedUntil.putIfAbsent(
                      new MachineKind(kind.type(), kind.zone(), kind.spot()),
                      clock.now()
                          + Math.min(kind.remainingMs(), Constants.NO_CAPACITY_BACKOFF_MS)));
    }
  }

  boolean refused(MachineKind kind) {
    return refusedUntil.containsKey(kind);
  }

  /** Capacity of machines that are rented or being rented but not listed by the cloud yet. */
  List<MachineCapacity> unlistedMachines() {
    List<MachineCapacity> capacities = new ArrayList<>();
    expected.forEach((name, machine) -> addCapacity(capacities, machine.kind(), name));
    Map<String, Rental> unanswered = new LinkedHashMap<>(unwritten);
    cache.rentals.forEach((name, rental) -> unanswered.put(name, rental.value()));
    unanswered.keySet().removeAll(answered.keySet());
    for (Rental rental : unanswered.values()) {
      for (int i = 0; i < rental.count(); i++) {
        addCapacity(capacities, MachineKind.of(rental), "");
      }
    }
    return capacities;
  }

  private void addCapacity(List<MachineCapacity> capacities, MachineKind kind, String machine) {
    MachineCapacity capacity = kind.emptyCapacity(cache, machine);
    if (capacity != null) {
      capacities.add(capacity);
    }
  }

  /**
   * Drops refusals and retry delays that are over, and expected machines that have appeared or are
   * overdue.
   */
  void expire() {
    long now = clock.now();
    refusedUntil.values().removeIf(until -> now >= until);
    expected
        .entrySet()
        .removeIf(
            entry ->
                inventory.lists(entry.getKey())
                    || cache.machines.containsKey(entry.getKey())
                    || now - entry.getValue().rentedAt() > maxUnlistedMs);
    for (String booking : List.copyOf(retryAt.keySet())) {
      if (now >= retryAt.get(booking)) {
        retryAt.remove(booking);
        busy.remove(booking);
      }
    }
  }

  /**
   * Sends bookings that have no answer yet, including those of a former leader: the booking's name
   * makes the request idempotent.
   */
  void tick() {
    expire();
    for (Map.Entry<String, StateCache.Entry<Rental>> entry : cache.rentals.entrySet()) {
      String name = entry.getKey();
      if (answered.containsKey(name)) {
        deleteRecordWhenKnown(name, entry.getValue().stamp());
      } else if (!busy.contains(name)) {
        send(name, entry.getValue());
      }
    }
  }

  private void deleteRecordWhenKnown(String name, long stamp) {
    Answer answer = answered.get(name);
    boolean known =
        answer.machines().stream()
            .allMatch(m -> !expected.containsKey(m) || cache.machines.containsKey(m));
    if (known || clock.now() - answer.answeredAt() > maxUnlistedMs) {
      deleteRecord(name, stamp);
    }
  }

  /** Books machines of a kind. */
  void book(MachineKind kind, int count) {
    // Claim stamps are never reused, so booking names are unique.
    String name = "w" + claim + "-" + ++bookingCount;
    Rental rental = new Rental(kind.type(), kind.zone(), kind.spot(), count);
    busy.add(name);
    unwritten.put(name, rental);
    store.txnWithRetry(
        Store.Urgency.GRANT,
        new Txn()
            .when(Keys.claim(Keys.LEADER), claim)
            .when(Keys.rental(name), 0)
            .put(Keys.rental(name), Records.rental(rental)),
        Constants.STATE_TIMEOUT_MS,
        ok -> {
          busy.remove(name);
          unwritten.remove(name);
        });
  }

  private void send(String name, StateCache.Entry<Rental> entry) {
    Rental rental = entry.value();
    busy.add(name);
    cloud.rent(
        name,
        rental.type(),
        rental.zone(),
        rental.spot(),
        rental.count(),
        (outcome, machines) -> {
          switch (outcome) {
            case OK -> recordRented(name, rental, machines);
            case NO_CAPACITY -> {
              markRefused(MachineKind.of(rental));
              deleteRecord(name, entry.stamp());
              LOG.info("booking {}: no capacity for {}", name, MachineKind.of(rental));
            }
            // The rental may have been carried out, so it is retried under the same name only.
            case FAILED -> retryAt.put(name, clock.now() + Constants.CLOUD_RETRY_MS);
          }
        });
  }

  private void recordRented(String name, Rental rental, List<String> machines) {
    long now = clock.now();
    MachineKind kind = MachineKind.of(rental);
    busy.remove(name);
    answered.put(name, new Answer(machines, now));
    for (String machine : machines) {
      if (!inventory.lists(machine) && !cache.machines.containsKey(machine)) {
        expected.put(machine, new ExpectedMachine(kind, now));
      }
    }
    if (machines.size() < rental.count()) {
      markRefused(kind);
    }
    LOG.info("booking {}: rented {} of {} {}", name, machines.size(), rental.count(), kind);
  }

  private void markRefused(MachineKind kind) {
    refusedUntil.put(kind, clock.now() + Constants.NO_CAPACITY_BACKOFF_MS);
    replication.capacityRefused(
        kind.type(), kind.zone(), kind.spot(), Constants.NO_CAPACITY_BACKOFF_MS);
  }

  private void deleteRecord(String name, long stamp) {
    busy.add(name);
    Answer answer = answered.remove(name);
    store.txnWithRetry(
        Store.Urgency.GRANT,
        new Txn()
            .when(Keys.claim(Keys.LEADER), claim)
            .when(Keys.rental(name), stamp)
            .delete(Keys.rental(name)),
        Constants.STATE_TIMEOUT_MS,
        ok -> {
          busy.remove(name);
          if (!ok && answer != null) {
            answered.put(name, answer); // otherwise the booking would be sent again needlessly
          }
        });
  }
}
