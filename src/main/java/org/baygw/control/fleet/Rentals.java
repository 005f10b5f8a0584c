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
 * Rentals under way. A booking's name is durable before the cloud hears of it, so that a new leader
 * sends the same one again; it is forgotten when its machines are known.
 */
final class Rentals {
  private static final Logger LOG = LoggerFactory.getLogger(Rentals.class);

  /** A machine the cloud said it rented, until it is listed or reports. */
  private record Expected(MachineKind kind, long since) {}

  /** The machines that a booking got, and when the cloud said so. */
  private record Answer(List<String> machines, long at) {}

  private final Clock clock;
  private final Store store;
  private final StateCache view;
  private final Cloud cloud;
  private final CloudInventory inventory;
  private final Replication replication;

  /** For how long a machine that was rented may be missing from the list. */
  private final long unlistedMs;

  private long claim;
  private int bookings;

  /** Bookings about which something is being written or asked, or is not to be asked yet. */
  private final Set<String> busy = new HashSet<>();

  private final Map<String, Long> retryAt = new HashMap<>();

  /**
   * Bookings whose record is being written. They count like the written ones, or what they are for
   * would be booked again with every other write that ends, and without end while the state service
   * is out.
   */
  private final Map<String, Rental> unwritten = new LinkedHashMap<>();

  private final Map<String, Answer> answered = new HashMap<>();
  private final Map<String, Expected> expected = new HashMap<>();

  /** Kinds that the cloud has no more of, and until when they are not asked for. */
  private final Map<MachineKind, Long> refused = new HashMap<>();

  Rentals(
      Clock clock,
      Settings settings,
      Store store,
      StateCache view,
      Cloud cloud,
      CloudInventory inventory,
      Replication replication) {
    this.replication = replication;
    this.clock = clock;
    this.store = store;
    this.view = view;
    this.cloud = cloud;
    this.inventory = inventory;
    this.unlistedMs = (long) (settings.cloud().listLagS() * 1000 * Constants.UNLISTED_LIST_LAGS);
  }

  /** Begins anew: this controller has become the leader under this claim. */
  void reset(long newClaim) {
    claim = newClaim;
    bookings = 0;
    busy.clear();
    retryAt.clear();
    unwritten.clear();
    answered.clear();
    expected.clear();
    inherit();
  }

  /** Takes over what the former leader knew of the cloud's capacity. */
  private void inherit() {
    Replication.InheritedQueue known = replication.inheritedQueue();
    if (known != null) {
      known
          .refused()
          .forEach(
              kind ->
                  refused.putIfAbsent(
                      new MachineKind(kind.type(), kind.zone(), kind.spot()),
                      clock.now() + Math.min(kind.forMs(), Constants.NO_CAPACITY_BACKOFF_MS)));
    }
  }

  boolean refused(MachineKind kind) {
    return refused.containsKey(kind);
  }

  /** Empty machines that are rented or are being rented, as far as the cloud does not list them. */
  List<MachineCapacity> coming() {
    List<MachineCapacity> rooms = new ArrayList<>();
    expected.forEach((name, machine) -> addRoom(rooms, machine.kind(), name));
    Map<String, Rental> unanswered = new LinkedHashMap<>(unwritten);
    view.rentals.forEach((name, rental) -> unanswered.put(name, rental.value()));
    unanswered.keySet().removeAll(answered.keySet());
    for (Rental rental : unanswered.values()) {
      for (int i = 0; i < rental.count(); i++) {
        addRoom(rooms, MachineKind.of(rental), "");
      }
    }
    return rooms;
  }

  private void addRoom(List<MachineCapacity> rooms, MachineKind kind, String machine) {
    MachineCapacity room = kind.room(view, machine);
    if (room != null) {
      rooms.add(room);
    }
  }

  /** Drops what is known by now, and what is not to be waited for any more. */
  void expire() {
    long now = clock.now();
    refused.values().removeIf(until -> now >= until);
    expected
        .entrySet()
        .removeIf(
            entry ->
                inventory.lists(entry.getKey())
                    || view.machines.containsKey(entry.getKey())
                    || now - entry.getValue().since() > unlistedMs);
    for (String booking : List.copyOf(retryAt.keySet())) {
      if (now >= retryAt.get(booking)) {
        retryAt.remove(booking);
        busy.remove(booking);
      }
    }
  }

  /**
   * Sends bookings that have no answer yet, also those of a former leader: the name makes it safe.
   */
  void tick() {
    expire();
    for (Map.Entry<String, StateCache.Entry<Rental>> entry : view.rentals.entrySet()) {
      String name = entry.getKey();
      if (answered.containsKey(name)) {
        forgetWhenKnown(name, entry.getValue().stamp());
      } else if (!busy.contains(name)) {
        send(name, entry.getValue());
      }
    }
  }

  private void forgetWhenKnown(String name, long stamp) {
    Answer answer = answered.get(name);
    boolean known =
        answer.machines().stream()
            .allMatch(m -> !expected.containsKey(m) || view.machines.containsKey(m));
    if (known || clock.now() - answer.at() > unlistedMs) {
      forget(name, stamp);
    }
  }

  /** Books machines of a kind. */
  void book(MachineKind kind, int count) {
    // Claim stamps never come again, so neither does a booking's name.
    String name = "w" + claim + "-" + ++bookings;
    Rental rental = new Rental(kind.type(), kind.zone(), kind.spot(), count);
    busy.add(name);
    unwritten.put(name, rental);
    store.settle(
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
            case OK -> rented(name, rental, machines);
            case NO_CAPACITY -> {
              refuse(MachineKind.of(rental));
              forget(name, entry.stamp());
              LOG.info("{}: no capacity for {}", name, MachineKind.of(rental));
            }
            // It may have been carried out: the same name is sent again, never another for it.
            case FAILED -> retryAt.put(name, clock.now() + Constants.CLOUD_RETRY_MS);
          }
        });
  }

  private void rented(String name, Rental rental, List<String> machines) {
    long now = clock.now();
    MachineKind kind = MachineKind.of(rental);
    busy.remove(name);
    answered.put(name, new Answer(machines, now));
    for (String machine : machines) {
      if (!inventory.lists(machine) && !view.machines.containsKey(machine)) {
        expected.put(machine, new Expected(kind, now));
      }
    }
    if (machines.size() < rental.count()) {
      refuse(kind);
    }
    LOG.info("{}: rented {} of {} {}", name, machines.size(), rental.count(), kind);
  }

  private void refuse(MachineKind kind) {
    refused.put(kind, clock.now() + Constants.NO_CAPACITY_BACKOFF_MS);
    replication.capacityRefused(
        kind.type(), kind.zone(), kind.spot(), Constants.NO_CAPACITY_BACKOFF_MS);
  }

  private void forget(String name, long stamp) {
    busy.add(name);
    Answer answer = answered.remove(name);
    store.settle(
        Store.Urgency.GRANT,
        new Txn()
            .when(Keys.claim(Keys.LEADER), claim)
            .when(Keys.rental(name), stamp)
            .delete(Keys.rental(name)),
        Constants.STATE_TIMEOUT_MS,
        ok -> {
          busy.remove(name);
          if (!ok && answer != null) {
            answered.put(name, answer); // or it would be sent again, for nothing
          }
        });
  }
}
