package org.baygw.control.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Machine;
import org.baygw.control.model.Partition;
import org.baygw.control.model.SchedulingParameters;
import org.baygw.control.quota.Scheduler;
import org.baygw.control.standby.StandbyService;
import org.baygw.control.store.Keys;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;
import org.baygw.control.workers.Workers;

/** The operators' side: open parameters, members, partitions, machines, draining and metrics. */
public final class Admin {
  private static final String ROOT = "/admin/v1";

  private final Clock clock;
  private final Outbox out;
  private final Settings settings;
  private final Store store;
  private final StateCache view;
  private final Membership membership;
  private final Workers workers;
  private final Scheduler scheduler;
  private final StandbyService standby;
  private Metrics metrics;

  public Admin(
      Clock clock,
      Outbox out,
      Settings settings,
      Store store,
      StateCache view,
      Membership membership,
      Workers workers,
      Scheduler scheduler,
      StandbyService standby) {
    this.clock = clock;
    this.out = out;
    this.settings = settings;
    this.store = store;
    this.view = view;
    this.membership = membership;
    this.workers = workers;
    this.scheduler = scheduler;
    this.standby = standby;
  }

  /** Handles a request if it is one of ours. */
  public boolean handle(long request, String method, String path, byte[] body) {
    switch (path) {
      case "/metrics" -> only("GET", request, method, () -> metrics(request));
      case ROOT + "/members" ->
          only("GET", request, method, () -> current(request, () -> members()));
      case ROOT + "/partitions" ->
          only("GET", request, method, () -> current(request, () -> partitions()));
      case ROOT + "/machines" ->
          only("GET", request, method, () -> current(request, () -> machines()));
      case ROOT + "/params" -> {
        if (method.equals("PUT")) {
          change(request, body);
        } else {
          only("GET", request, method, () -> current(request, () -> view.params.toJson()));
        }
      }
      default -> {
        String prefix = ROOT + "/machines/";
        if (!path.startsWith(prefix) || !path.endsWith("/drain")) {
          return false;
        }
        String name = path.substring(prefix.length(), path.length() - "/drain".length());
        only("POST", request, method, () -> drain(request, name));
      }
    }
    return true;
  }

  private void only(String wanted, long request, String method, Runnable then) {
    if (wanted.equals(method)) {
      then.run();
    } else {
      error(request, 405, "wrong method");
    }
  }

  private interface Page {
    ObjectNode make();
  }

  private void current(long request, Page page) {
    whenCurrent(request, ok -> out.answer(request, 200, Json.bytes(page.make())));
  }

  private void whenCurrent(long request, Consumer<Boolean> then) {
    if (!store.loaded()) {
      later(request);
      return;
    }
    store.whenCurrent(
        ok -> {
          if (ok) {
            then.accept(true);
          } else {
            later(request);
          }
        });
  }

  private void change(long request, byte[] body) {
    JsonNode n = Json.parseStrict(body);
    if (!n.isObject()) {
      error(request, 400, "body: not a JSON object");
      return;
    }
    whenCurrent(
        request,
        ok -> {
          SchedulingParameters next;
          try {
            next = view.params.merge(n);
          } catch (IllegalArgumentException e) {
            error(request, 400, e.getMessage());
            return;
          }
          Txn t =
              new Txn().when(Keys.PARAMS, view.stamp(Keys.PARAMS)).put(Keys.PARAMS, next.toJson());
          write(request, t, () -> next.toJson());
        });
  }

  private void drain(long request, String name) {
    whenCurrent(
        request,
        ok -> {
          StateCache.Entry<Machine> m = view.machines.get(name);
          if (m == null) {
            error(request, 404, "no such machine");
            return;
          }
          Txn t = new Txn().put(Keys.cordon(name), Json.object().put("since_ms", clock.wall()));
          write(request, t, () -> Json.object().put("machine", name).put("status", "draining"));
        });
  }

  private void write(long request, Txn t, Page page) {
    store.txn(
        Store.Urgency.SUBMIT,
        t,
        Constants.SUBMIT_WAIT_MS,
        outcome -> {
          switch (outcome) {
            case OK -> out.answer(request, 200, Json.bytes(page.make()));
            case CONFLICT -> error(request, 409, "changed by someone else meanwhile");
            default -> later(request);
          }
        });
  }

  private ObjectNode members() {
    ObjectNode n = Json.object();
    ArrayNode a = n.putArray("members");
    view.members.forEach(
        (label, e) -> {
          ObjectNode o = a.addObject().put("label", label).put("zone", e.value().zone());
          o.put("self", label.equals(settings.label()));
        });
    StateCache.Entry<StateCache.Claim> d = view.claims.get(Keys.LEADER);
    return n.put("leader", d == null ? null : d.value().owner()).put("revision", view.revision());
  }

  private ObjectNode partitions() {
    ObjectNode n = Json.object();
    ArrayNode a = n.putArray("partitions");
    for (Partition p : membership.partitions()) {
      ObjectNode o = a.addObject().put("part", p.toString()).put("owner", membership.owner(p));
      o.put("granted_tasks", view.grantedCount(p));
    }
    return n;
  }

  private ObjectNode machines() {
    ObjectNode n = Json.object();
    ArrayNode a = n.putArray("machines");
    for (StateCache.Entry<Machine> e : new TreeMap<>(view.machines).values()) {
      Machine m = e.value();
      ObjectNode o = a.addObject().put("name", m.name()).put("type", m.type());
      o.put("zone", m.zone()).put("spot", m.spot()).put("part", m.partition().toString());
      o.put("condition", m.condition().name().toLowerCase(java.util.Locale.ROOT));
      o.put("draining", view.cordons.contains(m.name()) || view.drains.containsKey(m.name()));
      ArrayNode t = o.putArray("tasks");
      m.tasks().keySet().forEach(id -> t.add(id.toString()));
    }
    return n;
  }

  private void metrics(long request) {
    if (metrics == null) {
      metrics = new Metrics();
      metrics.gauge("baygw.revision", "Revision the copy has reached", view, StateCache::revision);
      metrics.gauge("baygw.machines", "Machines on record", view, v -> v.machines.size());
      metrics.gauge("baygw.jobs", "Jobs on record", view, v -> v.jobs.size());
      metrics.gauge(
          "baygw.unmet", "Tasks without room, at the leader", scheduler, Scheduler::unmetTasks);
      metrics.counter("baygw.rounds", "Rounds searched", workers, w -> w.rounds().searchedRounds());
      metrics.counter(
          "baygw.rounds.better", "Rounds that improved", workers, w -> w.rounds().improvedRounds());
      metrics.counter("baygw.moves", "Moves planned", workers, w -> w.rounds().plannedMoves());
      metrics.histogram("baygw.launch.ms", "From acceptance to launch", workers.launchMs());
      metrics.histogram("baygw.write.ms", "Conditional writes, with their wait", store.writeMs());
      if (standby != null) {
        standby.register(metrics);
      }
    }
    out.answer(request, 200, metrics.page().getBytes(StandardCharsets.UTF_8));
  }

  private void error(long request, int status, String why) {
    out.answer(request, status, Json.bytes(Json.object().put("error", why)));
  }

  private void later(long request) {
    out.answer(
        request,
        503,
        Json.bytes(Json.object().put("error", "the state service does not answer")),
        Constants.RETRY_AFTER_S);
  }
}
