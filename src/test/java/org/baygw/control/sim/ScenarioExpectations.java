package org.baygw.control.sim;

import java.util.List;
import java.util.Map;

/** What is to be so when a scenario is over. */
final class ScenarioExpectations {
  private final SimulatedCluster world;
  private final List<String> failures;
  private boolean expectsBroken;

  ScenarioExpectations(SimulatedCluster world, List<String> failures) {
    this.world = world;
    this.failures = failures;
  }

  /** Whether some rule was expected to be broken. */
  boolean expectsBroken() {
    return expectsBroken;
  }

  void atMost(String what, double value, String most) {
    if (value > Double.parseDouble(most)) {
      failures.add(value + " " + what + ":\n" + world.work.table());
    }
  }

  void expect(String[] w) {
    switch (w[1]) {
      case "done" -> {
        Long at = world.checker.doneTold.get(w[2]);
        long by =
            ScenarioWords.seconds(
                ScenarioWords.word(w, "by", String.valueOf(world.now() / 1000.0)));
        if (at == null || at > by) {
          failures.add(w[2] + " was told done at " + at + ", expected by " + by);
        }
      }
      case "told" -> {
        String told = world.checker.toldOf(w[2]);
        if (!w[3].equals(told)) {
          failures.add(w[2] + " was last told " + told);
        }
        Long at = world.checker.cancelTold.get(w[2]);
        long by =
            ScenarioWords.seconds(
                ScenarioWords.word(w, "by", String.valueOf(world.now() / 1000.0)));
        if (w[3].equals("cancelled") && (at == null || at > by)) {
          failures.add(w[2] + " was told cancelled at " + at);
        }
      }
      case "on" -> {
        int on = world.checker.tasksOn(w[2]);
        if (on != Integer.parseInt(w[3])) {
          failures.add(w[2] + " has " + on + " tasks on machines");
        }
      }
      case "begun" -> {
        Long at = world.checker.begun.get(w[2]);
        if (at == null || at > ScenarioWords.seconds(ScenarioWords.word(w, "by", "0"))) {
          failures.add(w[2] + " began at " + at);
        }
      }
      case "changes-a-start-at-most" -> {
        int changes = world.state.writes.values().stream().mapToInt(i -> i).sum();
        if (changes > Double.parseDouble(w[2]) * world.checker.starts) {
          failures.add(
              changes
                  + " changes for "
                  + world.checker.starts
                  + " starts: "
                  + world.state.writes
                  + ", "
                  + world.state.refusals
                  + " requests refused");
        }
      }
      case "broken" -> {
        expectsBroken = true;
        if (world.checker.broken.stream().noneMatch(b -> b.startsWith(w[2] + ":"))) {
          failures.add("the checker did not see " + w[2] + " but " + world.checker.broken);
        }
      }
      default -> expectOfFleet(w);
    }
  }

  /**
   * How long after the last end of a controller that scenarios time its roles gave orders again.
   */
  void firstOrders(long withinMs) {
    int found = 0;
    Map<String, FailoverProbe.Failover> failovers = world.probe.firstSince(world.lastCrashAt);
    for (Map.Entry<String, FailoverProbe.Failover> entry : failovers.entrySet()) {
      FailoverProbe.Failover failover = entry.getValue();
      boolean leads = entry.getKey().equals(FailoverProbe.LEADER);
      if (!leads && failover.workers == 0) {
        continue;
      }
      found++;
      if (failover.firstOrderAt < 0 || failover.firstOrderAt - world.lastCrashAt > withinMs) {
        failures.add(
            entry.getKey()
                + ": first order "
                + (failover.firstOrderAt - world.lastCrashAt)
                + " ms after");
      }
    }
    if (found == 0) {
      failures.add("no role changed hands");
    }
  }

  /** What the administration API tells of warm standby, summed over the controllers. */
  long standbySum(String pointer) {
    long sum = 0;
    for (SimulatedCluster.Node node : world.nodes.values()) {
      if (node.core != null) {
        sum += node.standbyPage().at(pointer).asLong();
      }
    }
    return sum;
  }

  void reported(String pointer, long least, long most) {
    long sum = standbySum(pointer);
    if (sum < least || sum > most) {
      failures.add(pointer + " is " + sum + " in all");
    }
  }

  /** KB of replication a second, of the busiest controller. */
  void replicated(double most) {
    for (SimulatedCluster.Node node : world.nodes.values()) {
      double bytes = node.standbyPage().at("/replication/bytes_sent").asDouble();
      double kbPerS = bytes / 1024 / (world.now() / 1000.0);
      if (kbPerS > most) {
        failures.add(node.label + " sends " + kbPerS + " KB a second of replication");
      }
    }
  }

  /** What became of records, claims and machines. */
  private void expectOfFleet(String[] w) {
    switch (w[1]) {
      case "pages-at-least" -> {
        int most = world.state.mostPages();
        if (most < Integer.parseInt(w[2])) {
          failures.add("no part's record has more than " + most + " pages");
        }
      }
      case "claim-changes-at-most" -> {
        int changes = world.state.writes.getOrDefault("claim", 0);
        if (changes > Integer.parseInt(w[2])) {
          failures.add(changes + " changes of claims");
        }
      }
      case "never-left" -> {
        if (world.checker.everLeft.contains(w[2])) {
          failures.add("a task of " + w[2] + " left its machine");
        }
      }
      case "starts-at-most" -> {
        if (world.checker.starts > Integer.parseInt(w[2])) {
          failures.add(world.checker.starts + " starts");
        }
      }
      case "rentals-at-most" -> {
        if (world.cloud.rentals > Integer.parseInt(w[2])) {
          failures.add(world.cloud.rentals + " rentals");
        }
      }
      case "machines-at-most" -> {
        if (world.cloud.size() > Integer.parseInt(w[2])) {
          failures.add(world.cloud.size() + " machines");
        }
      }
      case "all-own-partitions" -> {
        for (String label : world.labels) {
          if (!world.state.holds(label)) {
            failures.add(label + " holds no part");
          }
        }
      }
      case "no-machine-on-record" -> {
        if (world.state.has("b/machine/")) {
          failures.add("a machine is on record");
        }
      }
      default -> expectWork(w);
    }
  }

  /** How much was used, and what the controllers' cores did: it may not grow unnoticed. */
  void expectWork(String[] w) {
    switch (w[1]) {
      case "first-orders-within" -> firstOrders(ScenarioWords.seconds(w[2]));
      case "replicated-kb-at-most" -> replicated(Double.parseDouble(w[2]));
      case "standby-report" -> reported(w[2], Long.parseLong(w[3]), Long.parseLong(w[4]));
      case "orders-after-release-at-most" -> {
        if (world.ordersAfterRelease > Integer.parseInt(w[2])) {
          failures.add(world.ordersAfterRelease + " orders after a release");
        }
      }
      case "stale-orders-at-most" -> {
        if (world.staleOrders > Integer.parseInt(w[2])) {
          failures.add(world.staleOrders + " orders of processes that had been replaced");
        }
      }
      case "machines-used-at-least" -> {
        if (world.checker.machinesUsed.size() < Integer.parseInt(w[2])) {
          failures.add("only " + world.checker.machinesUsed.size() + " machines had a task");
        }
      }
      case "inputs-a-start-at-most" ->
          atMost("inputs a start", (double) world.work.inputs() / world.checker.starts, w[2]);
      case "allocated-kb-a-start-at-most" ->
          atMost("KB a start", world.work.bytes() / 1024.0 / world.checker.starts, w[2]);
      default -> throw new IllegalArgumentException("no such expectation: " + w[1]);
    }
  }
}
