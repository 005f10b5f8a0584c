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
import org.baygw.control.core.FailureCounters;
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
import org.baygw.control.workers.MessageCounters;
import org.baygw.control.workers.Workers;

/**
 * The operators' HTTP API: adjustable parameters, members, partitions, machines, draining and
 * metrics.
 */
public final class Admin {
  private static final String ROOT = "/admin/v1";

  private final Clock clock;
  private final Outbox out;
  private final Settings settings;
  private final Store store;
  private final StateCache cache;
  private final Membership membership;
  private final Workers workers;
  private final Scheduler scheduler;
  private final StandbyService standby;
  private final FailureCounters failures;
  private Metrics metrics;

  public Admin(
      Clock clock,
      Outbox out,
      Settings settings,
      Store store,
      StateCache cache,
      Membership membership,
      Workers workers,
      Scheduler scheduler,
      StandbyService standby,
      FailureCounters failures) {
    this.failures = failures;
    this.clock = clock;
    this.out = out;
    this.settings = settings;
    this.store = store;
    this.cache = cache;
    this.membership = membership;
    this.workers = workers;
    this.scheduler = scheduler;
    this.standby = standby;
  }

  /** Handles a request to a path of this API; returns false for any other path. */
  public boolean handle(long request, String method, String path, byte[] body) {
    switch (path) {
      case "/metrics" -> requireMethod("GET", request, method, () -> metrics(request));
      case ROOT + "/members" ->
          requireMethod("GET", request, method, () -> answerWhenCurrent(request, () -> members()));
      case ROOT + "/partitions" ->
          requireMethod(
              "GET", request, method, () -> answerWhenCurrent(request, () -> partitions()));
      case ROOT + "/machines" ->
          requireMethod("GET", request, method, () -> answerWhenCurrent(request, () -> machines()));
      case ROOT + "/params" -> {
        if (method.equals("PUT")) {
          updateParameters(request, body);
        } else {
          requireMethod(
              "GET",
              request,
              method,
              () -> answerWhenCurrent(request, () -> cache.params.toJson()));
        }
      }
      default -> {
        String prefix = ROOT + "/machines/";
        if (!path.startsWith(prefix) || !path.endsWith("/drain")) {
          return false;
        }
        String name = path.substring(prefix.length(), path.length() - "/drain".length());
        requireMethod("POST", request, method, () -> drain(request, name));
      }
    }
    return true;
  }

  private void requireMethod(String allowedMethod, long request, String method, Runnable action) {
    if (allowedMethod.equals(method)) {
      action.run();
    } else {
      error(request, 405, "wrong method");
    }
  }

  private interface BodySupplier {
    ObjectNode get();
  }

  private void answerWhenCurrent(long request, BodySupplier bodySupplier) {
    whenCurrent(request, ok -> out.answer(request, 200, Json.bytes(bodySupplier.get())));
  }

  private void whenCurrent(long request, Consumer<Boolean> then) {
    if (!store.loaded()) {
      unavailable(request);
      return;
    }
    store.whenCurrent(
        ok -> {
          if (ok) {
            then.accept(true);
          } else {
            unavailable(request);
          }
        });
  }

  private void updateParameters(long request, byte[] body) {
    JsonNode changes = Json.parseStrict(body);
    if (!changes.isObject()) {
      error(request, 400, "body: not a JSON object");
      return;
    }
    whenCurrent(
        request,
        ok -> {
          SchedulingParameters next;
          try {
            next = cache.params.merge(changes);
          } catch (IllegalArgumentException e) {
            error(request, 400, e.getMessage());
            return;
          }
          Txn txn =
              new Txn().when(Keys.PARAMS, cache.stamp(Keys.PARAMS)).put(Keys.PARAMS, next.toJson());
          write(request, txn, () -> next.toJson());
        });
  }

  private void drain(long request, String name) {
    whenCurrent(
        request,
        ok -> {
          StateCache.Entry<Machine> machine = cache.machines.get(name);
          if (machine == null) {
            error(request, 404, "no such machine");
            return;
          }
          Txn txn = new Txn().put(Keys.cordon(name), Json.object().put("since_ms", clock.wall()));
          write(request, txn, () -> Json.object().put("machine", name).put("status", "draining"));
        });
  }

  private void write(long request, Txn txn, BodySupplier bodySupplier) {
    store.txn(
        Store.Urgency.SUBMIT,
        txn,
        Constants.SUBMIT_WAIT_MS,
        outcome -> {
          switch (outcome) {
            case OK -> out.answer(request, 200, Json.bytes(bodySupplier.get()));
            case CONFLICT -> error(request, 409, "modified concurrently");
            default -> unavailable(request);
          }
        });
  }

  private ObjectNode members() {
    ObjectNode body = Json.object();
    ArrayNode array = body.putArray("members");
    cache.members.forEach(
        (label, entry) -> {
          ObjectNode item = array.addObject().put("label", label).put("zone", entry.value().zone());
          item.put("self", label.equals(settings.label()));
        });
    StateCache.Entry<StateCache.Claim> leader = cache.claims.get(Keys.LEADER);
    return body.put("leader", leader == null ? null : leader.value().owner())
        .put("revision", cache.revision());
  }

  private ObjectNode partitions() {
    ObjectNode body = Json.object();
    ArrayNode array = body.putArray("partitions");
    for (Partition partition : membership.partitions()) {
      ObjectNode item =
          array
              .addObject()
              .put("part", partition.toString())
              .put("owner", membership.owner(partition));
      item.put("granted_tasks", cache.grantedCount(partition));
    }
    return body;
  }

  private ObjectNode machines() {
    ObjectNode body = Json.object();
    ArrayNode array = body.putArray("machines");
    for (StateCache.Entry<Machine> entry : new TreeMap<>(cache.machines).values()) {
      Machine machine = entry.value();
      ObjectNode item = array.addObject().put("name", machine.name()).put("type", machine.type());
      item.put("zone", machine.zone())
          .put("spot", machine.spot())
          .put("part", machine.partition().toString());
      item.put("condition", machine.condition().name().toLowerCase(java.util.Locale.ROOT));
      item.put(
          "draining",
          cache.cordons.contains(machine.name()) || cache.drains.containsKey(machine.name()));
      ArrayNode tasks = item.putArray("tasks");
      machine.tasks().keySet().forEach(id -> tasks.add(id.toString()));
    }
    return body;
  }

  private void metrics(long request) {
    if (metrics == null) {
      metrics = new Metrics();
      metrics.gauge("baygw.revision", "Revision the copy has reached", cache, StateCache::revision);
      metrics.gauge("baygw.machines", "Machines on record", cache, v -> v.machines.size());
      metrics.gauge("baygw.jobs", "Jobs on record", cache, v -> v.jobs.size());
      metrics.gauge(
          "baygw.unmet", "Tasks without room, at the leader", scheduler, Scheduler::unmetTasks);
      metrics.counter("baygw.rounds", "Rounds searched", workers, w -> w.rounds().searchedRounds());
      metrics.counter(
          "baygw.rounds.better", "Rounds that improved", workers, w -> w.rounds().improvedRounds());
      metrics.counter("baygw.moves", "Moves planned", workers, w -> w.rounds().plannedMoves());
      metrics.histogram("baygw.launch.ms", "From acceptance to launch", workers.launchMs());
      metrics.histogram("baygw.write.ms", "Conditional writes, with their wait", store.writeMs());
      metrics.counter(
          "baygw.writes.rejected",
          "Conditional writes rejected as malformed or too large",
          store,
          Store::rejectedWriteCount);
      metrics.counter(
          "baygw.inputs.failed",
          "Inputs, or parts of them, that ended with an exception",
          failures,
          FailureCounters::failedInputs);
      metrics.counter(
          "baygw.cores.replaced",
          "Cores replaced since their state cache could not be relied on",
          failures,
          FailureCounters::replacedCores);
      metrics.gauge(
          "baygw.values.undecodable",
          "Keys whose latest value cannot be decoded",
          cache,
          StateCache::undecodableCount);
      registerMessageCounters(workers.messageCounters());
      if (standby != null) {
        standby.register(metrics);
      }
    }
    out.answer(request, 200, metrics.scrape().getBytes(StandardCharsets.UTF_8));
  }

  private void registerMessageCounters(MessageCounters counters) {
    metrics.counter(
        "baygw.orders.launch", "Launch orders sent", counters, MessageCounters::launches);
    metrics.counter("baygw.orders.kill", "Kill orders sent", counters, MessageCounters::kills);
    metrics.counter(
        "baygw.orders.forget", "Forget orders sent", counters, MessageCounters::forgets);
    metrics.counter(
        "baygw.calls.refused",
        "Direct calls that a worker refused (409)",
        counters,
        MessageCounters::refusedCalls);
    metrics.counter(
        "baygw.calls.unanswered",
        "Direct calls without an answer",
        counters,
        MessageCounters::unansweredCalls);
    metrics.counter(
        "baygw.reports.outdated",
        "Reports dropped as repeated or outdated",
        counters,
        MessageCounters::outdatedReports);
    metrics.counter(
        "baygw.reports.newer.token",
        "Reports refused because they carry a newer token",
        counters,
        MessageCounters::newerTokenReports);
  }

  private void error(long request, int status, String reason) {
    out.answer(request, status, Json.bytes(Json.object().put("error", reason)));
  }

  private void unavailable(long request) {
    out.answer(
        request,
        503,
        Json.bytes(Json.object().put("error", "the state service does not answer")),
        Constants.RETRY_AFTER_S);
  }
}
