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
import org.baygw.control.model.Part;
import org.baygw.control.model.Records;
import org.baygw.control.model.TaskId;
import org.baygw.control.placement.Room;
import org.baygw.control.quota.Scheduler;
import org.baygw.control.quota.UnmetDemand;
import org.baygw.control.store.Keys;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;
import org.baygw.control.store.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents and returns machines, at the desk. A booking's name is durable before the cloud hears of
 * it, and a machine is marked as draining before it is returned.
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
  private final Scheduler scheduler;

  private long claim;
  private Map<String, Cloud.Listed> listed = new LinkedHashMap<>();
  private long listedAt;
  private boolean listing;
  private long nextList;
  private boolean typing;
  private long nextTypes;
  private int bookings;
  private final Set<String> booking = new HashSet<>();

  /**
   * Bookings whose record is being written. They count like the written ones, or what they are for
   * would be booked again with every other write that ends, and without end while the state service
   * is out.
   */
  private final Map<String, View.Rental> unwritten = new LinkedHashMap<>();

  private final Map<String, List<String>> answered = new HashMap<>();
  private final Map<String, Long> answeredAt = new HashMap<>();
  private final Map<String, Expected> expected = new HashMap<>();
  private final Map<Kind, Long> refused = new HashMap<>();
  private final Map<String, Long> emptySince = new HashMap<>();
  private final Map<String, Long> retryAt = new HashMap<>();
  private final Map<String, Long> silentSince = new HashMap<>();
  private final Set<String> draining = new HashSet<>();
  private final Map<Part, Map<String, View.Drain>> asked = new HashMap<>();
  private final Set<Part> busyLists = new HashSet<>();

  /** Machines the cloud has taken back, until that is durable and they are off the list. */
  private final Set<String> gone = new HashSet<>();

  /** Machines given back that the cloud may still list. */
  private final Set<String> returned = new HashSet<>();

  /** When so many of a zone were silent last that it looked like a cut. */
  private final Map<String, Long> cutAt = new HashMap<>();

  private boolean returning;
  private long nextReturn;
  private long nextPlan;
  private long nextLook;

  public Fleet(
      Clock clock,
      Settings settings,
      Store store,
      View view,
      Membership membership,
      Cloud cloud,
      Scheduler scheduler) {
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.view = view;
    this.membership = membership;
    this.cloud = cloud;
    this.scheduler = scheduler;
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
      unwritten.clear();
      retryAt.clear();
      draining.clear();
      asked.clear();
      busyLists.clear();
      gone.clear();
      returning = false;
      bookings = 0;
      nextList = now;
      nextTypes = now;
    }
    readings(now);
    if (now >= nextPlan && listedAt > 0 && scheduler.unmetIsCurrent()) {
      nextPlan = now + Constants.FLEET_PLAN_MS;
      plan(now);
    }
    if (now >= nextLook && !view.types.isEmpty()) {
      nextLook = now + Constants.FLEET_PLAN_MS;
      rentals(now);
      if (listedAt > 0) {
        spare(now);
      }
      returns(now);
    }
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
              returned.removeIf(m -> !listed.containsKey(m) && !view.drains.containsKey(m));
            }
          });
    }
  }

  /**
   * Sends bookings that have no answer yet, also those of a former desk: the name makes it safe.
   */
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
    List<String> hosts = answered.remove(name);
    store.settle(
        Store.Urgency.GRANT,
        new Txn()
            .when(Keys.claim(Keys.DESK), claim)
            .when(Keys.rental(name), stamp)
            .delete(Keys.rental(name)),
        Constants.STATE_TIMEOUT_MS,
        ok -> {
          booking.remove(name);
          if (!ok && hosts != null) {
            answered.put(name, hosts); // or it would be sent again, for nothing
          }
        });
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
      if (returned.contains(l.name())) {
        continue; // the list lags: the cloud has taken it back
      }
      if (type != null
          && !l.status().equals("failed")
          && !view.machines.containsKey(l.name())
          && !view.drains.containsKey(l.name())
          && !draining.contains(l.name())) {
        if (age(l, now) > type.bootS() * Constants.BOOT_GIVE_UP) {
          drain(l.name(), l.zone(), View.Drain.GIVEN_UP);
        } else {
          rooms.add(Room.empty(l.name(), type, l.zone(), l.spot()));
        }
      } else if (l.status().equals("failed")
          && !view.drains.containsKey(l.name())
          && !draining.contains(l.name())) {
        drain(l.name(), l.zone(), View.Drain.GIVEN_UP);
      }
    }
    expected.forEach(
        (name, x) -> {
          MachineType type = view.type(x.kind().type());
          if (type != null) {
            rooms.add(Room.empty(name, type, x.kind().zone(), x.kind().spot()));
          }
        });
    Map<String, View.Rental> unanswered = new LinkedHashMap<>(unwritten);
    view.rentals.forEach((name, r) -> unanswered.put(name, r.value()));
    unanswered.keySet().removeAll(answered.keySet());
    for (View.Rental r : unanswered.values()) {
      MachineType type = view.type(r.type());
      for (int i = 0; type != null && i < r.count(); i++) {
        rooms.add(Room.empty("", type, r.zone(), r.spot()));
      }
    }
    Map<Kind, Integer> wanted = new LinkedHashMap<>();
    for (UnmetDemand u : scheduler.unmet()) {
      int left = u.count();
      for (Room r : rooms) {
        if (left > 0 && (u.zone() == null || u.zone().equals(r.machine().zone()))) {
          left = r.fill(u.spec(), left);
        }
      }
      while (left > 0) {
        Kind kind = choose(u, wanted);
        if (kind == null || wanted.getOrDefault(kind, 0) >= Constants.MAX_RENT) {
          break;
        }
        wanted.merge(kind, 1, Integer::sum);
        Room r = Room.empty("", view.type(kind.type()), kind.zone(), kind.spot());
        int before = left;
        left = r.fill(u.spec(), left);
        rooms.add(r);
        if (left == before) {
          break;
        }
      }
    }
    wanted.forEach(this::book);
  }

  private double age(Cloud.Listed l, long now) {
    return l.ageS() + (now - listedAt) / 1000.0;
  }

  /** The cheapest kind that is allowed and not refused just now, spread over the zones. */
  private Kind choose(UnmetDemand u, Map<Kind, Integer> wanted) {
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
          if (spot && !s.spot() || refused.containsKey(k) || !spot && u.canWaitForSpot()) {
            continue;
          }
          // Spot machines that all are taken come free sooner than a dearer one boots, in a short
          // burst; one that lasts is worth it.
          if (!spot
              && s.spot()
              && !s.service()
              && t.spotPrice() < t.price()
              && u.waitedMs() < t.bootS() * 1000 * Constants.DEARER_BOOTS) {
            continue;
          }
          double price = (spot ? t.spotPrice() : t.price()) / t.cpus();
          int count = wanted.getOrDefault(k, 0);
          if (best == null
              || price < bestPrice - Constants.EPS
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
    unwritten.put(name, new View.Rental(k.type(), k.zone(), k.spot(), count));
    store.settle(
        Store.Urgency.GRANT,
        new Txn()
            .when(Keys.claim(Keys.DESK), claim)
            .when(Keys.rental(name), 0)
            .put(Keys.rental(name), v),
        Constants.STATE_TIMEOUT_MS,
        ok -> {
          booking.remove(name);
          unwritten.remove(name);
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
    Map<String, Integer> all = new HashMap<>();
    Map<String, Integer> silent = new HashMap<>();
    for (View.Entry<Machine> e : view.machines.values()) {
      Machine m = e.value();
      all.merge(m.zone(), 1, Integer::sum);
      if (m.condition() == Machine.Condition.SILENT) {
        silentSince.putIfAbsent(m.name(), now);
        silent.merge(m.zone(), 1, Integer::sum);
      }
    }
    // A zone is cut off as a whole: what counts is its own share, and whether its controllers are
    // lost.
    Set<String> cut = new HashSet<>();
    silent.forEach(
        (zone, n) -> {
          if (n > 2 && (n > all.get(zone) * Constants.SILENT_SHARE_MAX || membership.lost(zone))) {
            cut.add(zone);
            cutAt.put(zone, now);
          }
        });
    for (View.Entry<Machine> e : List.copyOf(view.machines.values())) {
      Machine m = e.value();
      if (view.drains.containsKey(m.name()) || draining.contains(m.name())) {
        continue;
      }
      // A sick machine fails what it starts, not what already runs: replicas there are not ended.
      if (m.condition() == Machine.Condition.SICK && !hasReplica(m)
          || m.condition() == Machine.Condition.SILENT && !keep(m, now, cut.contains(m.zone()))) {
        drain(m.name(), m.zone(), View.Drain.GIVEN_UP);
        continue;
      }
      if (m.condition() == Machine.Condition.SILENT || m.condition() == Machine.Condition.SICK) {
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
      if (now - since >= keep && (leaving || !wanted(m))) {
        drain(m.name(), m.zone(), View.Drain.IDLE);
      }
    }
  }

  /**
   * Whether a task that found no room could run on the empty machine, which is then about to get
   * it. One that suits none of them is not kept: it costs, and where the cloud has no more machines
   * to give it stands in the way of those that are missing.
   */
  private boolean wanted(Machine m) {
    MachineType type = view.type(m.type());
    if (type == null) {
      return false;
    }
    Room empty = Room.empty(m.name(), type, m.zone(), m.spot());
    return scheduler.unmet().stream()
        .anyMatch(u -> (u.zone() == null || u.zone().equals(m.zone())) && empty.fits(u.spec()));
  }

  /**
   * Whether a silent machine is kept for now. When many fall silent at once a cut is likelier than
   * their deaths: returning them all would leave nothing to go on with when it ends.
   */
  private boolean keep(Machine m, long now, boolean cut) {
    long silent = now - silentSince.get(m.name());
    if (!cut) {
      double reportMs = settings.workers().reportS() * 1000;
      return now - cutAt.getOrDefault(m.zone(), Long.MIN_VALUE / 2)
              < reportMs * Constants.SILENT_AFTER_CUT
          || silent < reportMs * Constants.SILENT_REPORTS;
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

  private void drain(String name, String zone, View.Drain why) {
    Part part = Part.of(name, zone, view.partsPerZone());
    asked.computeIfAbsent(part, k -> new LinkedHashMap<>()).put(name, why);
    draining.add(name);
    LOG.debug("{} is to go: {}", name, why);
  }

  /**
   * Writes what was asked of one part's list of leaving machines, in one change. A machine stands
   * there before it is returned, and until its own record is gone.
   */
  private void list(Part part) {
    Map<String, View.Drain> next = new LinkedHashMap<>(view.drains(part));
    Map<String, View.Drain> put = asked.remove(part);
    if (put != null) {
      put.forEach(next::putIfAbsent);
    }
    // That the cloud has taken a machine back is durable before anyone acts on it.
    next.replaceAll((m, d) -> gone.contains(m) ? View.Drain.GONE : d);
    next.entrySet()
        .removeIf(
            e ->
                e.getValue() == View.Drain.GONE && !view.machines.containsKey(e.getKey())
                    || cameToUse(part, e.getKey(), e.getValue()));
    Set<String> cordons = new HashSet<>(view.cordons);
    cordons.removeIf(m -> next.containsKey(m) || !view.drains(part).containsKey(m));
    if (next.equals(view.drains(part))) {
      if (put != null) {
        draining.removeAll(put.keySet());
      }
      return;
    }
    ObjectNode v = Json.object();
    next.forEach((m, d) -> v.put(m, d.name()));
    String key = Keys.drain(part);
    Txn txn = new Txn().when(Keys.claim(Keys.DESK), claim).when(key, view.stamp(key)).put(key, v);
    cordons.forEach(m -> txn.delete(Keys.cordon(m)));
    busyLists.add(part);
    store.settle(
        Store.Urgency.CANCEL,
        txn,
        Constants.STATE_TIMEOUT_MS,
        ok -> {
          busyLists.remove(part);
          if (put != null) {
            draining.removeAll(put.keySet());
          }
        });
  }

  /** Whether a machine that was to go because it was idle got a task before that was durable. */
  private boolean cameToUse(Part part, String name, View.Drain why) {
    return why == View.Drain.IDLE
        && settled(part)
        && !gone.contains(name)
        && !view.on(name).isEmpty();
  }

  /** Whether the copy has all that was placed in the part before its list last changed. */
  private boolean settled(Part part) {
    return view.revision() >= view.stamp(Keys.drain(part));
  }

  /**
   * Returns what is marked; once the cloud said so, that is durable proof that all on it is gone.
   */
  private void returns(long now) {
    List<String> names = new ArrayList<>();
    gone.removeIf(m -> !view.drains.containsKey(m));
    for (Part part : membership.parts()) {
      if (busyLists.contains(part)) {
        continue;
      }
      list(part);
      if (busyLists.contains(part) || !settled(part)) {
        continue;
      }
      view.drains(part)
          .forEach(
              (name, d) -> {
                if (d != View.Drain.GONE
                    && !gone.contains(name)
                    && names.size() < Constants.MAX_RETURN) {
                  names.add(name);
                }
              });
    }
    if (names.isEmpty() || returning || now < nextReturn) {
      return;
    }
    returning = true;
    cloud.giveBack(
        names,
        ok -> {
          if (!ok) {
            returning = false;
            nextReturn = clock.now() + Constants.CLOUD_RETRY_MS;
            return;
          }
          LOG.info("returned {}", names);
          returning = false;
          gone.addAll(names);
          returned.addAll(names);
        });
  }
}
