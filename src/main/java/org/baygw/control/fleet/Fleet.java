package org.baygw.control.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
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
import org.baygw.control.core.Json;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Job;
import org.baygw.control.model.JobSpec;
import org.baygw.control.model.Machine;
import org.baygw.control.model.MachineType;
import org.baygw.control.model.Records;
import org.baygw.control.model.TaskId;
import org.baygw.control.placement.Room;
import org.baygw.control.quota.Desk;
import org.baygw.control.store.Keys;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;
import org.baygw.control.store.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents and returns machines, at the desk. A booking's name is durable before the cloud hears of it,
 * and a machine is marked as draining before it is returned.
 */
public final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

  /** A kind of machine at one place. */
  private record Kind(String type, String zone, boolean spot) {
    @Override
    public boolean equals(Object o) {
      return o instanceof Kind k && spot == k.spot && type.equals(k.type) && zone.equals(k.zone);
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

  /** A machine the cloud said it rented, until it is listed or reports. */
  private record Expected(Kind kind, long since) {}

  private final Clock clock;
  private final Settings settings;
  private final Store store;
  private final View view;
  private final Membership membership;
  private final Cloud cloud;
  private final Desk desk;

  private long claim;
  private Map<String, Cloud.Listed> listed = new LinkedHashMap<>();
  private long listedAt;
  private boolean listing;
  private long nextList;
  private boolean typing;
  private long nextTypes;
  private int bookings;
  private final Set<String> booking = new HashSet<>();
  private final Map<String, List<String>> answered = new HashMap<>();
  private final Map<String, Long> answeredAt = new HashMap<>();
  private final Map<String, Expected> expected = new HashMap<>();
  private final Map<Kind, Long> refused = new HashMap<>();
  private final Map<String, Long> emptySince = new HashMap<>();
  private final Map<String, Long> retryAt = new HashMap<>();
  private final Map<String, Long> silentSince = new HashMap<>();
  private final Set<String> draining = new HashSet<>();
  private boolean returning;
  private long nextReturn;
  private long nextPlan;

  public Fleet(
      Clock clock,
      Settings settings,
      Store store,
      View view,
      Membership membership,
      Cloud cloud,
      Desk desk) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.view = view;
    this.membership = membership;
    this.cloud = cloud;
    this.desk = desk;
  }

  public void tick() {
    long now = clock.now();
    if (!store.loaded() || membership.desk() == 0) {
      return;
    }
    if (claim != membership.desk()) {
      claim = membership.desk();
      listed = new LinkedHashMap<>();
      listedAt = 0;
      expected.clear();
      answered.clear();
      answeredAt.clear();
      emptySince.clear();
      silentSince.clear();
      booking.clear();
      retryAt.clear();
      draining.clear();
      bookings = 0;
      nextList = now;
      nextTypes = now;
    }
    readings(now);
    if (now >= nextPlan && !view.types.isEmpty()) {
      nextPlan = now + 250;
      rentals(now);
      if (listedAt > 0) {
        plan(now);
        spare(now);
      }
      returns(now);
    }
    cloud.tick();
  }

  private void readings(long now) {
    if (!typing && now >= nextTypes) {
      typing = true;
      cloud.types(
          types -> {
            typing = false;
            boolean got = types != null && !types.isEmpty();
            nextTypes = clock.now() + (got ? Constants.TYPES_MS : Constants.CLOUD_RETRY_MS);
            if (got && !types.equals(view.types) && membership.desk() != 0) {
              store.txn(
                  Store.Urgency.SUBMIT,
                  new Txn()
                      .when(Keys.claim(Keys.DESK), membership.desk())
                      .put(Keys.TYPES, Records.types(types)),
                  Constants.STATE_TIMEOUT_MS,
                  outcome -> {
                    if (outcome != Store.Outcome.OK) {
                      nextTypes = clock.now() + Constants.CLOUD_RETRY_MS;
                    }
                  });
            }
          });
    }
    if (!listing && now >= nextList) {
      listing = true;
      cloud.list(
          list -> {
            listing = false;
            nextList = clock.now() + Constants.LIST_MS;
            if (list != null) {
              listedAt = clock.now();
              listed = new LinkedHashMap<>();
              for (Cloud.Listed l : list) {
                listed.put(l.name(), l);
                expected.remove(l.name());
              }
            }
          });
    }
  }

  /** Sends bookings that have no answer yet, also those of a former desk: the name makes it safe. */
  private void rentals(long now) {
    for (Map.Entry<String, View.Entry<View.Rental>> e : view.rentals.entrySet()) {
      String name = e.getKey();
      List<String> hosts = answered.get(name);
      if (hosts != null) {
        boolean seen = true;
        for (String h : hosts) {
          seen &= !expected.containsKey(h) || view.machines.containsKey(h);
        }
        if (seen || now - answeredAt.get(name) > 4_000 * settings.cloud().listLagS()) {
          forget(name, e.getValue().stamp());
        }
      } else if (!booking.contains(name)) {
        send(name, e.getValue());
      }
    }
    expected
        .entrySet()
        .removeIf(
            e ->
                view.machines.containsKey(e.getKey())
                    || now - e.getValue().since() > 4_000 * settings.cloud().listLagS());
  }

  private void send(String name, View.Entry<View.Rental> e) {
    View.Rental r = e.value();
    Kind kind = new Kind(r.type(), r.zone(), r.spot());
    booking.add(name);
    cloud.rent(
        name,
        r.type(),
        r.zone(),
        r.spot(),
        r.count(),
        (outcome, hosts) -> {
          long now = clock.now();
          switch (outcome) {
            case OK -> {
              booking.remove(name);
              answered.put(name, hosts);
              answeredAt.put(name, now);
              for (String h : hosts) {
                if (!listed.containsKey(h) && !view.machines.containsKey(h)) {
                  expected.put(h, new Expected(kind, now));
                }
              }
              if (hosts.size() < r.count()) {
                refused.put(kind, now + Constants.NO_CAPACITY_MS);
              }
              LOG.info("{}: rented {} of {} {}", name, hosts.size(), r.count(), kind);
            }
            case NO_CAPACITY -> {
              refused.put(kind, now + Constants.NO_CAPACITY_MS);
              forget(name, e.stamp());
              LOG.info("{}: no capacity for {}", name, kind);
            }
            case FAILED -> {
              // It may have been carried out: the same name is sent again, never another for it.
              retryAt.put(name, now + Constants.CLOUD_RETRY_MS);
            }
          }
        });
  }

  private void forget(String name, long stamp) {
    booking.add(name);
    answered.remove(name);
    store.settle(
        Store.Urgency.MOVE,
        new Txn()
            .when(Keys.claim(Keys.DESK), claim)
            .when(Keys.rental(name), stamp)
            .delete(Keys.rental(name)),
        Constants.STATE_TIMEOUT_MS,
        ok -> booking.remove(name));
  }

  /** Rents for what found no room, counting what is on its way. */
  private void plan(long now) {
    retryAt
        .entrySet()
        .removeIf(
            e -> {
              boolean due = now >= e.getValue();
              if (due) {
                booking.remove(e.getKey());
              }
              return due;
            });
    refused.values().removeIf(until -> now >= until);
    List<Room> rooms = new ArrayList<>();
    for (Cloud.Listed l : listed.values()) {
      MachineType type = view.type(l.type());
      if (type != null && !l.status().equals("failed") && !view.machines.containsKey(l.name())
          && !view.drains.containsKey(l.name()) && !draining.contains(l.name())) {
        if (age(l, now) > type.bootS() * Constants.BOOT_GIVE_UP) {
          drain(l.name(), 0);
        } else {
          rooms.add(Room.empty(l.name(), type, l.zone(), l.spot()));
        }
      } else if (l.status().equals("failed") && !view.drains.containsKey(l.name())
          && !draining.contains(l.name())) {
        drain(l.name(), view.stamp(Keys.machine(l.name())));
      }
    }
    expected.forEach(
        (name, x) -> {
          MachineType type = view.type(x.kind().type());
          if (type != null) {
            rooms.add(Room.empty(name, type, x.kind().zone(), x.kind().spot()));
          }
        });
    for (Map.Entry<String, View.Entry<View.Rental>> e : view.rentals.entrySet()) {
      View.Rental r = e.getValue().value();
      MachineType type = view.type(r.type());
      if (type != null && !answered.containsKey(e.getKey())) {
        for (int i = 0; i < r.count(); i++) {
          rooms.add(Room.empty("", type, r.zone(), r.spot()));
        }
      }
    }
    Map<Kind, Integer> wanted = new LinkedHashMap<>();
    for (Desk.Unmet u : desk.unmet()) {
      boolean found = false;
      for (Room r : rooms) {
        if ((u.zone() == null || u.zone().equals(r.machine().zone())) && r.fits(u.spec())) {
          r.take(u.spec());
          found = true;
          break;
        }
      }
      if (!found) {
        Kind kind = choose(u, wanted);
        if (kind != null && wanted.getOrDefault(kind, 0) < Constants.MAX_RENT) {
          wanted.merge(kind, 1, Integer::sum);
          Room r = Room.empty("", view.type(kind.type()), kind.zone(), kind.spot());
          r.take(u.spec());
          rooms.add(r);
        }
      }
    }
    wanted.forEach(this::book);
  }

  private double age(Cloud.Listed l, long now) {
    return l.ageS() + (now - listedAt) / 1000.0;
  }

  /** The cheapest kind that is allowed and not refused just now, spread over the zones. */
  private Kind choose(Desk.Unmet u, Map<Kind, Integer> wanted) {
    JobSpec s = u.spec();
    Kind best = null;
    double bestPrice = 0;
    int bestCount = 0;
    for (MachineType t : view.types) {
      if (!t.holds(s) || !s.typeAllowed(t.name())) {
        continue;
      }
      for (String zone : t.zones()) {
        if (u.zone() != null && !u.zone().equals(zone)
            || s.zone() != null && !s.zone().equals(zone)) {
          continue;
        }
        for (boolean spot : new boolean[] {true, false}) {
          Kind k = new Kind(t.name(), zone, spot);
          if (spot && !s.spot() || refused.containsKey(k)) {
            continue;
          }
          double price = (spot ? t.spotPrice() : t.price()) / t.cpus();
          int count = wanted.getOrDefault(k, 0);
          if (best == null || price < bestPrice - Constants.EPS
              || price < bestPrice + Constants.EPS && count < bestCount) {
            best = k;
            bestPrice = price;
            bestCount = count;
          }
        }
      }
    }
    return best;
  }

  private void book(Kind k, int count) {
    // Claim stamps never come again, so neither does a booking's name.
    String name = "w" + claim + "-" + ++bookings;
    ObjectNode v = Json.object().put("type", k.type()).put("zone", k.zone());
    v.put("spot", k.spot()).put("count", count);
    booking.add(name);
    nextPlan = clock.now() + Constants.STATE_TIMEOUT_MS;
    store.settle(
        Store.Urgency.GRANT,
        new Txn()
            .when(Keys.claim(Keys.DESK), claim)
            .when(Keys.rental(name), 0)
            .put(Keys.rental(name), v),
        Constants.STATE_TIMEOUT_MS,
        ok -> {
          booking.remove(name);
          nextPlan = 0;
        });
  }

  /** Marks machines for return: those given up, and those empty for long. */
  private void spare(long now) {
    emptySince.keySet().retainAll(view.machines.keySet());
    silentSince
        .keySet()
        .removeIf(
            name ->
                !view.machines.containsKey(name)
                    || view.machines.get(name).value().condition() != Machine.Condition.SILENT);
    for (View.Entry<Machine> e : view.machines.values()) {
      if (e.value().condition() == Machine.Condition.SILENT) {
        silentSince.putIfAbsent(e.value().name(), now);
      }
    }
    boolean cut =
        silentSince.size() > 2
            && silentSince.size() > view.machines.size() * Constants.SILENT_SHARE_MAX;
    for (View.Entry<Machine> e : List.copyOf(view.machines.values())) {
      Machine m = e.value();
      if (view.drains.containsKey(m.name()) || draining.contains(m.name())) {
        continue;
      }
      // A sick machine fails what it starts, not what already runs: replicas there are not ended.
      if (m.condition() == Machine.Condition.SICK && !hasReplica(m)
          || m.condition() == Machine.Condition.SILENT && !keep(m, now, cut)) {
        drain(m.name(), e.stamp());
        continue;
      }
      if (m.condition() == Machine.Condition.SILENT
          || m.condition() == Machine.Condition.SICK) {
        continue;
      }
      if (!m.tasks().isEmpty() || !view.unplaced(m.part()).isEmpty()) {
        emptySince.remove(m.name());
        continue;
      }
      long since = emptySince.computeIfAbsent(m.name(), k -> now);
      MachineType type = view.type(m.type());
      boolean leaving = m.condition() != Machine.Condition.OK;
      double keep = type == null || leaving ? 0 : type.bootS() * 1000 * Constants.IDLE_BOOTS;
      if (m.spot() && type != null && type.spotPrice() > 0) {
        keep *= type.price() / type.spotPrice(); // the same cost buys a longer wait
      }
      if (now - since >= keep && (leaving || desk.unmet().isEmpty())) {
        drain(m.name(), e.stamp());
      }
    }
  }

  /**
   * Whether a silent machine is kept for now. When many fall silent at once a cut is likelier than
   * their deaths: returning them all would leave nothing to go on with when it ends.
   */
  private boolean keep(Machine m, long now, boolean cut) {
    long silent = now - silentSince.get(m.name());
    if (!cut) {
      return silent < settings.workers().reportS() * 1000 * Constants.SILENT_REPORTS;
    }
    long limit = Constants.SILENT_KEEP_MS;
    for (TaskId t : m.tasks().keySet()) {
      View.Entry<Job> j = view.jobs.get(t.job());
      if (j != null && j.value().state() == Job.State.CANCELLED) {
        limit = (long) (settings.workers().cancelS() * 1000 * Constants.CANCEL_SHARE);
      }
    }
    return silent < limit;
  }

  private boolean hasReplica(Machine m) {
    for (TaskId t : m.tasks().keySet()) {
      View.Entry<Job> j = view.jobs.get(t.job());
      if (j != null && j.value().open() && j.value().spec().service()) {
        return true;
      }
    }
    return false;
  }

  private void drain(String name, long stamp) {
    draining.add(name);
    store.settle(
        Store.Urgency.CANCEL,
        new Txn()
            .when(Keys.claim(Keys.DESK), claim)
            .when(Keys.machine(name), stamp)
            .when(Keys.drain(name), 0)
            .put(Keys.drain(name), Json.object().put("gone", false)),
        Constants.STATE_TIMEOUT_MS,
        ok -> draining.remove(name));
  }

  /** Returns what is marked; once the cloud said so, that is durable proof that all on it is gone. */
  private void returns(long now) {
    List<String> names = new ArrayList<>();
    for (Map.Entry<String, View.Entry<View.Drain>> e : view.drains.entrySet()) {
      if (!e.getValue().value().gone()) {
        names.add(e.getKey());
      } else if (!view.machines.containsKey(e.getKey()) && draining.add(e.getKey())) {
        store.settle(
            Store.Urgency.MOVE,
            new Txn()
                .when(Keys.claim(Keys.DESK), claim)
                .when(Keys.drain(e.getKey()), e.getValue().stamp())
                .delete(Keys.drain(e.getKey()))
                .delete(Keys.cordon(e.getKey())),
            Constants.STATE_TIMEOUT_MS,
            ok -> draining.remove(e.getKey()));
      }
    }
    if (names.isEmpty() || returning || now < nextReturn) {
      return;
    }
    returning = true;
    int most = Math.min(Constants.MAX_RETURN, settings.state().txnOps());
    List<String> batch = List.copyOf(names.subList(0, Math.min(names.size(), most)));
    cloud.giveBack(
        batch,
        ok -> {
          if (!ok) {
            returning = false;
            nextReturn = clock.now() + Constants.CLOUD_RETRY_MS;
            return;
          }
          Txn txn = new Txn().when(Keys.claim(Keys.DESK), claim);
          for (String name : batch) {
            View.Entry<View.Drain> d = view.drains.get(name);
            if (d != null) {
              txn.when(Keys.drain(name), d.stamp())
                  .put(Keys.drain(name), Json.object().put("gone", true));
            }
          }
          LOG.info("returned {}", batch);
          store.settle(
              Store.Urgency.CANCEL,
              txn,
              Constants.STATE_TIMEOUT_MS,
              done -> returning = false);
        });
  }
}
