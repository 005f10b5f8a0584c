package org.baygw.control.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import org.baygw.control.core.Json;

/** Executes the actions of a scenario: users' requests and faults. */
final class ScenarioActions {
  private final SimulatedCluster cluster;
  private final ScenarioUsers users;
  private final List<String> failures;

  ScenarioActions(SimulatedCluster cluster, ScenarioUsers users, List<String> failures) {
    this.cluster = cluster;
    this.users = users;
    this.failures = failures;
  }

  /** The leader's controller according to the state service, or null. */
  SimulatedCluster.Node leader() {
    JsonNode claim = cluster.state.value("b/claim/leader");
    return claim == null ? null : cluster.nodes.get(claim.path("owner").asText());
  }

  void restart(SimulatedCluster.Node node) {
    if (node.isAlive()) {
      node.crash(); // it has not shut down in time
    }
    node.start();
  }

  /** Asks a controller to hand its roles over and, if a time is given, to take them back then. */
  void handover(String label, String method, long forMs) {
    cluster.call(
        "operator",
        label + ":8081",
        method,
        "/admin/v1/handover",
        new byte[0],
        5_000,
        (status, body) -> {});
    if (forMs > 0) {
      cluster.after(forMs, () -> handover(label, "DELETE", 0));
    }
  }

  List<String> hostsNamed(String pattern) {
    if (pattern.equals("controllers")) {
      return cluster.labels;
    }
    if (pattern.equals("workers")) {
      return List.copyOf(cluster.workers.keySet());
    }
    return List.of(pattern);
  }

  /** Breaks a rule in the cluster on purpose, to test that the checker detects it. */
  void violate(String[] words) {
    if (words[3].equals("silence")) {
      users.unpolled.add(words[4]);
    } else if (words[3].equals("obey")) {
      cluster.checker.obeyed(
          words[4], words.length > 6 ? Long.parseLong(words[6]) : Long.MAX_VALUE, words[5]);
    } else if (words[3].equals("launch")) {
      cluster.workers.get(words[4]).launchUnrequested(words[5]);
    } else {
      cluster.checker.answered(
          words[4],
          Integer.parseInt(words[5]),
          Json.object().put("status", words.length > 6 ? words[6] : ""),
          cluster.checker.lastStatusTold(words[4]));
    }
  }

  /** Executes the action of one scenario line. */
  void act(String[] words) {
    long forMs = ScenarioWords.millis(ScenarioWords.wordAfter(words, "for", "0"));
    switch (words[2]) {
      case "submit" -> users.submit(words);
      case "abort" -> users.abort(words[3], ScenarioWords.wordAfter(words, "via", null));
      case "cancel-now" ->
          users.cancelNow(words, ScenarioWords.millis(ScenarioWords.wordAfter(words, "hang", "0")));
      case "cancel-at-end" -> {
        double share = Double.parseDouble(ScenarioWords.wordAfter(words, "share", "1"));
        cluster.checker.cancelAtEnd =
            id -> {
              if (cluster.random.nextDouble() < share) {
                users.abort(id, null);
              }
            };
        cluster.after(forMs, () -> cluster.checker.cancelAtEnd = null);
      }
      case "odd-requests" -> users.sendOddRequests(cluster.now() + forMs);
      case "violate" -> violate(words);
      default -> actOnControllers(words);
    }
  }

  /** Executes an action on controllers. */
  private void actOnControllers(String[] words) {
    long forMs = ScenarioWords.millis(ScenarioWords.wordAfter(words, "for", "0"));
    switch (words[2]) {
      case "crash" -> {
        for (SimulatedCluster.Node node : cluster.nodes.values()) {
          if (words[3].equals("all") || words[3].equals(node.label)) {
            node.crash();
            cluster.after(forMs, node::start);
          }
        }
      }
      case "crash-leader" -> {
        SimulatedCluster.Node node = leader();
        if (node == null) {
          return; // no controller is the leader now
        }
        node.crash();
        cluster.lastCrashAt = cluster.now();
        cluster.leaderCrashTimes.add(cluster.now());
        cluster.after(forMs, node::start);
      }
      case "freeze" -> cluster.nodes.get(words[3]).freeze(forMs);
      case "freeze-leader-sending" -> {
        SimulatedCluster.Node leader = leader();
        if (leader != null) {
          leader.freezeBeforeOrders(forMs);
        }
      }
      case "terminate" -> {
        SimulatedCluster.Node node =
            words[3].equals("leader") ? leader() : cluster.nodes.get(words[3]);
        if (node != null) {
          node.terminate();
          cluster.lastCrashAt = cluster.now();
          cluster.after(forMs, () -> restart(node));
        }
      }
      case "handover" -> handover(words[3], "POST", forMs);
      case "freeze-leader" -> {
        SimulatedCluster.Node leader = leader();
        if (leader != null) {
          leader.freeze(forMs);
        }
      }
      default -> actOnNetwork(words);
    }
  }

  /** Executes a fault of the network or of an external service. */
  private void actOnNetwork(String[] words) {
    long forMs = ScenarioWords.millis(ScenarioWords.wordAfter(words, "for", "0"));
    switch (words[2]) {
      case "cut" -> {
        NetworkCuts.Kind kind = NetworkCuts.Kind.valueOf(words[5].toUpperCase().replace('-', '_'));
        for (String from : hostsNamed(words[3])) {
          for (String to : hostsNamed(words[4])) {
            cluster.cuts.begin(from, to, kind, forMs);
          }
        }
      }
      case "apart" -> {
        // Isolates a controller from the state service and its peers, not from workers and users.
        for (String other : hostsNamed("controllers")) {
          cluster.cuts.begin(words[3], other, NetworkCuts.Kind.DROP, forMs);
          cluster.cuts.begin(other, words[3], NetworkCuts.Kind.DROP, forMs);
        }
        cluster.cuts.begin(words[3], "state", NetworkCuts.Kind.HOLD, forMs);
        cluster.cuts.begin("state", words[3], NetworkCuts.Kind.DROP, forMs);
      }
      case "mute" -> hostsNamed(words[3]).forEach(host -> cluster.mute(host, forMs));
      case "late-writes" ->
          cluster.state.lateWrites(
              Double.parseDouble(ScenarioWords.wordAfter(words, "share", "1")), forMs);
      case "cut-zone-workers" -> {
        // Isolates a zone's workers from controllers of other zones, but not from those of its own.
        for (WorkerStub worker : cluster.workers.values()) {
          for (SimulatedCluster.Node node : cluster.nodes.values()) {
            if (worker.zone.equals(words[3]) && !node.zone.equals(words[3])) {
              cluster.cuts.begin(worker.name, node.label, NetworkCuts.Kind.DROP, forMs);
              cluster.cuts.begin(node.label, worker.name, NetworkCuts.Kind.DROP, forMs);
            }
          }
        }
      }
      case "copies" -> {
        for (String host : hostsNamed(words[3])) {
          cluster.duplicateReports(
              host, ScenarioWords.millis(ScenarioWords.wordAfter(words, "late", "0")), forMs);
        }
      }
      case "repeat" -> repeatRequests(words, forMs);
      case "state-outage" ->
          cluster.state.outage(ScenarioWords.wordAfter(words, "only", null), forMs);
      case "malformed-reads" -> cluster.state.malformedReads(words[3], forMs);
      case "cloud-outage" -> cluster.cloud.outage(forMs);
      case "capacity" -> cluster.cloud.capacity = Integer.parseInt(words[3]);
      default -> actOnMachines(words);
    }
  }

  /** Lets requests to the receivers that the line names arrive once more. */
  private void repeatRequests(String[] words, long forMs) {
    double share = Double.parseDouble(ScenarioWords.wordAfter(words, "share", "1"));
    long delayMs = ScenarioWords.millis(ScenarioWords.wordAfter(words, "late", "0"));
    for (RepeatedRequests.Receiver receiver : RepeatedRequests.Receiver.values()) {
      if (words[3].equals("all") || words[3].equalsIgnoreCase(receiver.name())) {
        cluster.repeatedRequests.begin(receiver, share, delayMs, forMs);
      }
    }
  }

  /** Executes an action on machines. */
  private void actOnMachines(String[] words) {
    long forMs = ScenarioWords.millis(ScenarioWords.wordAfter(words, "for", "0"));
    switch (words[2]) {
      case "hang" -> cluster.workers.get(words[3]).hang(forMs);
      case "hang-some" -> {
        int count = Integer.parseInt(words[3]);
        if (cluster.workers.size() < count) {
          failures.add("only " + cluster.workers.size() + " machines exist that can hang");
        }
        cluster.workers.values().stream().limit(count).forEach(worker -> worker.hang(forMs));
      }
      case "take" -> cluster.cloud.remove(words[3]);
      case "add-machine" -> {
        Map<String, String> options = ScenarioWords.options(words, 3);
        cluster.cloud.nextNumber(Integer.parseInt(options.get("number")));
        cluster.cloud.add(options.getOrDefault("zone", "a"), options.containsKey("spot"), 0);
      }
      case "sick" -> {
        WorkerStub worker = cluster.workers.get(words[3]);
        worker.sick = true;
        if (forMs > 0) {
          cluster.after(forMs, () -> worker.sick = false);
        }
      }
      case "notice" -> {
        cluster.workers.get(words[3]).reclaimAt = cluster.now() + forMs;
        cluster.after(forMs, () -> cluster.cloud.remove(words[3]));
      }
      default -> throw new IllegalArgumentException("unknown action: " + words[2]);
    }
  }
}
