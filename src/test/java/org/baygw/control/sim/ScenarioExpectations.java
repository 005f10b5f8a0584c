package org.baygw.control.sim;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks a scenario's expectations at its end. */
final class ScenarioExpectations {
  private final SimulatedCluster cluster;
  private final List<String> failures;
  private boolean expectsViolation;
  private final Set<String> expectedReplacements = new HashSet<>();

  ScenarioExpectations(SimulatedCluster cluster, List<String> failures) {
    this.cluster = cluster;
    this.failures = failures;
  }

  /** Whether the scenario expects a rule to be broken. */
  boolean expectsViolation() {
    return expectsViolation;
  }

  /** Whether the scenario expects the controller's core to be replaced. */
  boolean expectsReplacedCore(String label) {
    return expectedReplacements.contains(label);
  }

  void checkAtMost(String what, double value, String limit) {
    if (value > Double.parseDouble(limit)) {
      failures.add(value + " " + what + ":\n" + cluster.work.table());
    }
  }

  void expect(String[] words) {
    switch (words[1]) {
      case "done" -> {
        Long at = cluster.checker.doneToldAt.get(words[2]);
        long by =
            ScenarioWords.millis(
                ScenarioWords.wordAfter(words, "by", String.valueOf(cluster.now() / 1000.0)));
        if (at == null || at > by) {
          failures.add(words[2] + " was told done at " + at + ", expected by " + by);
        }
      }
      case "told" -> {
        String told = cluster.checker.lastStatusTold(words[2]);
        if (!words[3].equals(told)) {
          failures.add(words[2] + " was last told " + told);
        }
        Long at = cluster.checker.cancelledToldAt.get(words[2]);
        long by =
            ScenarioWords.millis(
                ScenarioWords.wordAfter(words, "by", String.valueOf(cluster.now() / 1000.0)));
        if (words[3].equals("cancelled") && (at == null || at > by)) {
          failures.add(words[2] + " was told cancelled at " + at);
        }
      }
      case "on" -> {
        int on = cluster.checker.tasksOn(words[2]);
        if (on != Integer.parseInt(words[3])) {
          failures.add(words[2] + " has " + on + " tasks on machines");
        }
      }
      case "begun" -> {
        Long at = cluster.checker.firstStartedAt.get(words[2]);
        if (at == null || at > ScenarioWords.millis(ScenarioWords.wordAfter(words, "by", "0"))) {
          failures.add(words[2] + " first started at " + at);
        }
      }
      case "changes-a-start-at-most" -> {
        int changes = cluster.state.writes.values().stream().mapToInt(i -> i).sum();
        if (changes > Double.parseDouble(words[2]) * cluster.checker.starts) {
          failures.add(
              changes
                  + " changes for "
                  + cluster.checker.starts
                  + " starts: "
                  + cluster.state.writes
                  + ", "
                  + cluster.state.refusals
                  + " requests refused");
        }
      }
      case "broken" -> {
        expectsViolation = true;
        if (cluster.checker.violations.stream().noneMatch(b -> b.startsWith(words[2] + ":"))) {
          failures.add(
              "the checker did not detect " + words[2] + " but " + cluster.checker.violations);
        }
      }
      default -> expectOfCluster(words);
    }
  }

  /**
   * Checks the time from the last crash of the leader's controller, or termination of any
   * controller, to the first order of each role that has since changed its owner. Partitions
   * without workers are left out.
   */
  void checkFirstOrders(long withinMs) {
    int found = 0;
    Map<String, FailoverProbe.Failover> failovers = cluster.probe.firstSince(cluster.lastCrashAt);
    for (Map.Entry<String, FailoverProbe.Failover> entry : failovers.entrySet()) {
      FailoverProbe.Failover failover = entry.getValue();
      boolean leads = entry.getKey().equals(FailoverProbe.LEADER);
      if (!leads && failover.workers == 0) {
        continue;
      }
      found++;
      if (failover.firstOrderAt < 0 || failover.firstOrderAt - cluster.lastCrashAt > withinMs) {
        failures.add(
            entry.getKey()
                + ": first order "
                + (failover.firstOrderAt - cluster.lastCrashAt)
                + " ms after the crash or termination");
      }
    }
    if (found == 0) {
      failures.add("no role changed hands");
    }
  }

  /** Sums a value of the administration API's warm standby status over the controllers. */
  long standbySum(String pointer) {
    long sum = 0;
    for (SimulatedCluster.Node node : cluster.nodes.values()) {
      if (node.core != null) {
        sum += node.standbyStatus().at(pointer).asLong();
      }
    }
    return sum;
  }

  void checkStandbyStatus(String pointer, long least, long most) {
    long sum = standbySum(pointer);
    if (sum < least || sum > most) {
      failures.add(pointer + " is " + sum + " in total");
    }
  }

  /** Checks the replication traffic of each controller, in KB/s. */
  void checkReplicationRate(double maxKbPerS) {
    for (SimulatedCluster.Node node : cluster.nodes.values()) {
      double bytes = node.standbyStatus().at("/replication/bytes_sent").asDouble();
      double kbPerS = bytes / 1024 / (cluster.now() / 1000.0);
      if (kbPerS > maxKbPerS) {
        failures.add(node.label + " sends " + kbPerS + " KB/s of replication");
      }
    }
  }

  /** Checks an expectation on records, claims and machines. */
  private void expectOfCluster(String[] words) {
    switch (words[1]) {
      case "pages-at-least" -> {
        int most = cluster.state.maxPages();
        if (most < Integer.parseInt(words[2])) {
          failures.add("no partition's record has more than " + most + " pages");
        }
      }
      case "claim-changes-at-most" -> {
        int changes = cluster.state.writes.getOrDefault("claim", 0);
        if (changes > Integer.parseInt(words[2])) {
          failures.add(changes + " claim changes");
        }
      }
      case "claims-released-at-most" -> {
        if (cluster.state.claimsReleased > Integer.parseInt(words[2])) {
          failures.add(cluster.state.claimsReleased + " claims were released");
        }
      }
      case "never-left" -> {
        if (cluster.checker.jobsWithStoppedTask.contains(words[2])) {
          failures.add("a task of " + words[2] + " left its machine");
        }
      }
      case "starts-at-most" -> {
        if (cluster.checker.starts > Integer.parseInt(words[2])) {
          failures.add(cluster.checker.starts + " starts");
        }
      }
      case "rentals-at-most" -> {
        if (cluster.cloud.rentals > Integer.parseInt(words[2])) {
          failures.add(cluster.cloud.rentals + " rentals");
        }
      }
      case "repeats-at-least" -> {
        int repeats =
            cluster.repeatedRequests.repeats.values().stream().mapToInt(count -> count).sum();
        if (repeats < Integer.parseInt(words[2])) {
          failures.add("only " + repeats + " requests arrived once more");
        }
      }
      case "machines-at-most" -> {
        if (cluster.cloud.size() > Integer.parseInt(words[2])) {
          failures.add(cluster.cloud.size() + " machines");
        }
      }
      case "all-own-partitions" -> {
        for (String label : cluster.labels) {
          if (!cluster.state.ownsPartition(label)) {
            failures.add(label + " holds no partition");
          }
        }
      }
      case "core-replaced" -> {
        expectedReplacements.add(words[2]);
        if (cluster.nodes.get(words[2]).failures.replacedCores() == 0) {
          failures.add("the core of " + words[2] + " was not replaced");
        }
      }
      case "no-machine-on-record" -> {
        if (cluster.state.hasKeysUnder("b/machine/")) {
          failures.add("the state service has a record of a machine");
        }
      }
      default -> expectWork(words);
    }
  }

  /** Checks limits on resource use and on the cores' work, so that neither grows unnoticed. */
  void expectWork(String[] words) {
    switch (words[1]) {
      case "first-orders-within" -> checkFirstOrders(ScenarioWords.millis(words[2]));
      case "replicated-kb-at-most" -> checkReplicationRate(Double.parseDouble(words[2]));
      case "standby-report" ->
          checkStandbyStatus(words[2], Long.parseLong(words[3]), Long.parseLong(words[4]));
      case "orders-after-release-at-most" -> {
        if (cluster.ordersAfterRelease > Integer.parseInt(words[2])) {
          failures.add(cluster.ordersAfterRelease + " orders after a release");
        }
      }
      case "stale-orders-at-most" -> {
        if (cluster.staleOrders > Integer.parseInt(words[2])) {
          failures.add(cluster.staleOrders + " orders of processes that had been replaced");
        }
      }
      case "machines-used-at-least" -> {
        if (cluster.checker.machinesUsed.size() < Integer.parseInt(words[2])) {
          failures.add("only " + cluster.checker.machinesUsed.size() + " machines had a task");
        }
      }
      case "inputs-a-start-at-most" ->
          checkAtMost(
              "inputs a start", (double) cluster.work.inputs() / cluster.checker.starts, words[2]);
      case "allocated-kb-a-start-at-most" ->
          checkAtMost(
              "KB a start", cluster.work.bytes() / 1024.0 / cluster.checker.starts, words[2]);
      default -> throw new IllegalArgumentException("unknown expectation: " + words[1]);
    }
  }
}
