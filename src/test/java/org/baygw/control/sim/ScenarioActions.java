package org.baygw.control.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.baygw.control.core.Json;

/** What happens in a scenario: what users do, and the troubles. */
final class ScenarioActions {
  private final SimulatedCluster world;
  private final ScenarioUsers users;
  private final List<String> failures;

  ScenarioActions(SimulatedCluster world, ScenarioUsers users, List<String> failures) {
    this.world = world;
    this.users = users;
    this.failures = failures;
  }

  /** The controller that leads by the state service, or null. */
  SimulatedCluster.Node leader() {
    JsonNode claim = world.state.value("b/claim/leader");
    return claim == null ? null : world.nodes.get(claim.path("owner").asText());
  }

  void restart(SimulatedCluster.Node node) {
    if (node.lives()) {
      node.crash(); // it has not ended by itself
    }
    node.start();
  }

  /** Asks a controller to hand its roles over, and to take them again after some time. */
  void handover(String label, String method, long forMs) {
    world.call(
        "operator",
        label + ":8081",
        method,
        "/admin/v1/handover",
        new byte[0],
        5_000,
        (status, body) -> {});
    if (forMs > 0) {
      world.after(forMs, () -> handover(label, "DELETE", 0));
    }
  }

  List<String> names(String pattern) {
    if (pattern.equals("controllers")) {
      return world.labels;
    }
    if (pattern.equals("workers")) {
      return List.copyOf(world.workers.keySet());
    }
    return List.of(pattern);
  }

  /** Breaks a rule in the world itself, to show that the checker sees it. */
  void violate(String[] w) {
    if (w[3].equals("silence")) {
      users.unasked.add(w[4]);
    } else if (w[3].equals("obey")) {
      world.checker.obeyed(w[4], w.length > 6 ? Long.parseLong(w[6]) : Long.MAX_VALUE, w[5]);
    } else if (w[3].equals("launch")) {
      world.workers.get(w[4]).force(w[5]);
    } else {
      world.checker.answered(
          w[4],
          Integer.parseInt(w[5]),
          Json.object().put("status", w.length > 6 ? w[6] : ""),
          world.checker.toldOf(w[4]));
    }
  }

  /** Carries out what a line says. */
  void act(String[] w) {
    long forMs = ScenarioWords.seconds(ScenarioWords.word(w, "for", "0"));
    switch (w[2]) {
      case "submit" -> users.submit(w);
      case "abort" -> users.abort(w[3], ScenarioWords.word(w, "via", null));
      case "cancel-now" ->
          users.cancelNow(w, ScenarioWords.seconds(ScenarioWords.word(w, "hang", "0")));
      case "cancel-at-end" -> {
        double share = Double.parseDouble(ScenarioWords.word(w, "share", "1"));
        world.checker.cancelAtEnd =
            id -> {
              if (world.random.nextDouble() < share) {
                users.abort(id, null);
              }
            };
        world.after(forMs, () -> world.checker.cancelAtEnd = null);
      }
      case "odd-requests" -> users.odd(world.now() + forMs);
      case "violate" -> violate(w);
      default -> actOnControllers(w);
    }
  }

  /** What is done to controllers. */
  private void actOnControllers(String[] w) {
    long forMs = ScenarioWords.seconds(ScenarioWords.word(w, "for", "0"));
    switch (w[2]) {
      case "crash" -> {
        for (SimulatedCluster.Node n : world.nodes.values()) {
          if (w[3].equals("all") || w[3].equals(n.label)) {
            n.crash();
            world.after(forMs, n::start);
          }
        }
      }
      case "crash-leader" -> {
        SimulatedCluster.Node n = leader();
        if (n == null) {
          return; // nobody holds it just now
        }
        n.crash();
        world.lastCrashAt = world.now();
        world.crashes.add(world.now());
        world.after(forMs, n::start);
      }
      case "freeze" -> world.nodes.get(w[3]).freeze(forMs);
      case "freeze-leader-sending" -> {
        SimulatedCluster.Node leader = leader();
        if (leader != null) {
          leader.freezeBeforeOrders(forMs);
        }
      }
      case "terminate" -> {
        SimulatedCluster.Node node = w[3].equals("leader") ? leader() : world.nodes.get(w[3]);
        if (node != null) {
          node.terminate();
          world.lastCrashAt = world.now();
          world.after(forMs, () -> restart(node));
        }
      }
      case "handover" -> handover(w[3], "POST", forMs);
      case "freeze-leader" -> {
        SimulatedCluster.Node leader = leader();
        if (leader != null) {
          leader.freeze(forMs);
        }
      }
      default -> actOnNetwork(w);
    }
  }

  /** What is done to messages and to the services outside. */
  private void actOnNetwork(String[] w) {
    long forMs = ScenarioWords.seconds(ScenarioWords.word(w, "for", "0"));
    switch (w[2]) {
      case "cut" -> {
        SimulatedCluster.Cut kind =
            SimulatedCluster.Cut.valueOf(w[5].toUpperCase().replace('-', '_'));
        for (String a : names(w[3])) {
          for (String b : names(w[4])) {
            world.cut(a, b, kind, forMs);
          }
        }
      }
      case "apart" -> {
        // Cut off from the state service and the siblings, not from workers and users.
        for (String other : names("controllers")) {
          world.cut(w[3], other, SimulatedCluster.Cut.DROP, forMs);
          world.cut(other, w[3], SimulatedCluster.Cut.DROP, forMs);
        }
        world.cut(w[3], "state", SimulatedCluster.Cut.HOLD, forMs);
        world.cut("state", w[3], SimulatedCluster.Cut.DROP, forMs);
      }
      case "mute" -> names(w[3]).forEach(m -> world.mute(m, forMs));
      case "late-writes" ->
          world.state.lateWrites(Double.parseDouble(ScenarioWords.word(w, "share", "1")), forMs);
      case "cut-zone-workers" -> {
        // Cut off from the controllers of other zones; what its own controllers say still arrives.
        for (WorkerStub worker : world.workers.values()) {
          for (SimulatedCluster.Node n : world.nodes.values()) {
            if (worker.zone.equals(w[3]) && !n.zone.equals(w[3])) {
              world.cut(worker.name, n.label, SimulatedCluster.Cut.DROP, forMs);
              world.cut(n.label, worker.name, SimulatedCluster.Cut.DROP, forMs);
            }
          }
        }
      }
      case "copies" -> {
        for (String m : names(w[3])) {
          world.copies(m, ScenarioWords.seconds(ScenarioWords.word(w, "late", "0")), forMs);
        }
      }
      case "state-outage" -> world.state.outage(ScenarioWords.word(w, "only", null), forMs);
      case "cloud-outage" -> world.cloud.outage(forMs);
      case "capacity" -> world.cloud.capacity = Integer.parseInt(w[3]);
      default -> actOnMachines(w);
    }
  }

  /** What is done to machines. */
  private void actOnMachines(String[] w) {
    long forMs = ScenarioWords.seconds(ScenarioWords.word(w, "for", "0"));
    switch (w[2]) {
      case "hang" -> world.workers.get(w[3]).hang(forMs);
      case "hang-some" -> {
        int count = Integer.parseInt(w[3]);
        if (world.workers.size() < count) {
          failures.add("only " + world.workers.size() + " machines are there to hang");
        }
        world.workers.values().stream().limit(count).forEach(m -> m.hang(forMs));
      }
      case "take" -> world.cloud.take(w[3]);
      case "sick" -> world.workers.get(w[3]).sick = true;
      case "notice" -> {
        world.workers.get(w[3]).noticeUntil = world.now() + forMs;
        world.after(forMs, () -> world.cloud.take(w[3]));
      }
      default -> throw new IllegalArgumentException("no such act: " + w[2]);
    }
  }
}
