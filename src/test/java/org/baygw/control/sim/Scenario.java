package org.baygw.control.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.baygw.control.config.Features;
import org.baygw.control.config.Settings;

/** Plays one scenario file; docs/TESTING.md describes its lines. */
final class Scenario {
  private static final Features STANDBY_FEATURES = new Features(Features.Standby.DEFAULTS);

  private final List<String> failures = new ArrayList<>();
  private final List<String[]> setUp = new ArrayList<>();
  private final List<String[]> expectations = new ArrayList<>();
  private final List<Settings.Team> teams = new ArrayList<>();
  private List<String> zones = List.of("a");
  private int controllers = 3;
  private long seed = 1;
  private long endMs = 60_000;
  private SimulatedCluster cluster;
  private ScenarioActions actions;

  private long faultsEndAt;

  /** Warm standby that keeps only this many decisions for a standby that lags. */
  private static Features standbyKeeping(int decisions) {
    Features.Standby defaults = Features.Standby.DEFAULTS;
    return new Features(
        new Features.Standby(
            defaults.batchMs(), defaults.heartbeatMs(), defaults.suspectMs(), decisions));
  }

  /** Plays the scenario in the text and returns its failures. */
  static List<String> play(String text) {
    return prepare(text).runToEnd();
  }

  /** Parses a scenario, to be played later. */
  static Scenario prepare(String text) {
    Scenario scenario = new Scenario();
    for (String line : text.split("\n")) {
      String stripped = line.strip();
      if (!stripped.isEmpty() && !stripped.startsWith("#")) {
        scenario.parseLine(stripped.split("\\s+"));
      }
    }
    return scenario;
  }

  /** Plays the scenario and returns its failures. */
  List<String> runToEnd() {
    run();
    return failures;
  }

  /** The cluster in which the scenario is played. */
  SimulatedCluster cluster() {
    return cluster;
  }

  private void parseLine(String[] words) {
    switch (words[0]) {
      case "seed" -> seed = Long.parseLong(words[1]);
      case "controllers" -> controllers = Integer.parseInt(words[1]);
      case "zones" -> zones = List.of(words).subList(1, words.length);
      case "team" -> {
        Map<String, String> options = ScenarioWords.options(words, 2);
        teams.add(
            Settings.Team.of(
                words[1],
                Double.parseDouble(options.getOrDefault("cpus", "0")),
                Double.parseDouble(options.getOrDefault("max", "0")),
                0,
                0));
      }
      case "run" -> endMs = ScenarioWords.millis(words[1]);
      case "expect" -> expectations.add(words);
      case "machines", "at", "set" -> setUp.add(words);
      default ->
          throw new IllegalArgumentException("unknown scenario line: " + String.join(" ", words));
    }
  }

  private void run() {
    setUpCluster();
    start();
    cluster.runUntil(endMs);
    evaluate();
  }

  /** Creates the cluster and schedules the scenario's actions. */
  void setUpCluster() {
    if (teams.isEmpty()) {
      teams.add(new Settings.Team("red", 64, 256, 0, 0));
    }
    cluster = new SimulatedCluster(seed, controllers, zones, teams);
    actions = new ScenarioActions(cluster, new ScenarioUsers(cluster, failures), failures);
    for (String[] words : setUp) {
      switch (words[0]) {
        case "machines" -> {
          Map<String, String> options = ScenarioWords.options(words, 1);
          if (options.containsKey("first")) {
            cluster.cloud.nextNumber(Integer.parseInt(options.get("first")));
          }
          for (int i = 0; i < Integer.parseInt(options.getOrDefault("count", "1")); i++) {
            cluster.cloud.add(options.getOrDefault("zone", "a"), options.containsKey("spot"), 0);
          }
        }
        case "set" -> {
          Map<String, String> options = ScenarioWords.options(words, 1);
          options.forEach(
              (k, v) -> {
                switch (k) {
                  case "slow-boots" -> cluster.cloud.nextBootSlowly(Integer.parseInt(v), 4);
                  case "spot-capacity" -> cluster.cloud.spotCapacity = Integer.parseInt(v);
                  case "capacity" -> cluster.cloud.capacity = Integer.parseInt(v);
                  case "boot" -> cluster.cloud.bootMs = ScenarioWords.millis(v);
                  case "never-boots" -> cluster.cloud.nextNeverBoots(Integer.parseInt(v));
                  case "lease" -> cluster.leaseMs = ScenarioWords.millis(v);
                  case "cancel" -> cluster.cancelMs = ScenarioWords.millis(v);
                  case "rps" -> cluster.stateRps = Double.parseDouble(v);
                  case "write-rps" -> {
                    cluster.stateWriteRps = Double.parseDouble(v);
                    cluster.state.enforceRates();
                  }
                  case "txn-ops" -> cluster.stateTxnOps = Integer.parseInt(v);
                  case "value-kb" -> cluster.stateValueKb = Double.parseDouble(v);
                  case "backlog" -> cluster.state.maxAnswerChanges = Integer.parseInt(v);
                  case "standby" -> cluster.features = STANDBY_FEATURES;
                  case "standby-kept" -> cluster.features = standbyKeeping(Integer.parseInt(v));
                  case "history" -> cluster.state.keepHistory(Integer.parseInt(v));
                  default -> throw new IllegalArgumentException(k);
                }
              });
        }
        default -> {
          if (words[2].equals("every")) {
            scheduleRepeatedly(words);
          } else {
            schedule(words);
          }
        }
      }
    }
  }

  /** Starts the controllers and schedules the check for waiting jobs. */
  void start() {
    cluster.nodes.values().forEach(SimulatedCluster.Node::start);
    cluster.after(faultsEndAt, cluster.checker::watchWaitingJobs);
  }

  /** The scenario's end, in ms. */
  long endMs() {
    return endMs;
  }

  /** Checks the expectations and returns the failures; to be called at the scenario's end. */
  List<String> evaluate() {
    cluster.checker.checkForgotten(faultsEndAt);
    ScenarioExpectations expected = new ScenarioExpectations(cluster, failures);
    expectations.forEach(expected::expect);
    if (cluster.state.firstLimitViolation != null) {
      failures.add("over a limit of the state service: " + cluster.state.firstLimitViolation);
    }
    if (cluster.cloud.firstLimitViolation != null) {
      failures.add("over a limit of the cloud: " + cluster.cloud.firstLimitViolation);
    }
    for (SimulatedCluster.Node node : cluster.nodes.values()) {
      if (node.failures.failedInputs() > 0) {
        failures.add(node.label + ": " + node.failures.failedInputs() + " inputs failed");
      }
      if (node.failures.replacedCores() > 0 && !expected.expectsReplacedCore(node.label)) {
        failures.add(node.label + ": its core was replaced");
      }
    }
    if (!expected.expectsViolation() && !cluster.checker.violations.isEmpty()) {
      failures.add("broken: " + cluster.checker.violations);
    }
    return failures;
  }

  private void schedule(String[] words) {
    // A duplicate that is delivered late is a fault until its delivery.
    long lateMs = ScenarioWords.millis(ScenarioWords.wordAfter(words, "late", "0"));
    if (words[2].equals("repeat") && lateMs == 0) {
      lateMs = RepeatedRequests.MAX_DELAY_MS;
    }
    faultsEndAt =
        Math.max(
            faultsEndAt,
            ScenarioWords.millis(words[1])
                + ScenarioWords.millis(ScenarioWords.wordAfter(words, "for", "0"))
                + lateMs);
    cluster.after(ScenarioWords.millis(words[1]), () -> actions.act(words));
  }

  /**
   * Schedules an action repeatedly, as in {@code at 2 every 0.5 until 60 submit run-# ...}, with #
   * replaced by the number of the repetition.
   */
  private void scheduleRepeatedly(String[] words) {
    int number = 0;
    for (long atMs = ScenarioWords.millis(words[1]);
        atMs <= ScenarioWords.millis(words[5]);
        atMs += ScenarioWords.millis(words[3])) {
      List<String> line = new ArrayList<>(List.of("at", String.valueOf(atMs / 1000.0)));
      for (int i = 6; i < words.length; i++) {
        line.add(words[i].replace("#", String.valueOf(number)));
      }
      number++;
      schedule(line.toArray(new String[0]));
    }
  }
}
