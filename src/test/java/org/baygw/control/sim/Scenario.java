package org.baygw.control.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.baygw.control.config.Features;
import org.baygw.control.config.Settings;

/** Plays one scenario file; docs/TESTING.md describes its lines. */
final class Scenario {
  private static final Features FEATURES = new Features(Features.Standby.DEFAULTS);

  private final List<String> failures = new ArrayList<>();
  private final List<String[]> setUp = new ArrayList<>();
  private final List<String[]> expectations = new ArrayList<>();
  private final List<Settings.Team> teams = new ArrayList<>();
  private List<String> zones = List.of("a");
  private int controllers = 3;
  private long seed = 1;
  private long end = 60_000;
  private SimulatedCluster world;
  private ScenarioActions actions;

  private long troublesEnd;

  /** Warm standby that keeps so few decisions for one that lags. */
  private static Features keeping(int decisions) {
    Features.Standby usual = Features.Standby.DEFAULTS;
    return new Features(
        new Features.Standby(usual.batchMs(), usual.heartbeatMs(), usual.suspectMs(), decisions));
  }

  /** Plays the text and returns what was not as expected. */
  static List<String> play(String text) {
    return prepare(text).playOut();
  }

  /** Reads a scenario, to be played out later. */
  static Scenario prepare(String text) {
    Scenario s = new Scenario();
    for (String line : text.split("\n")) {
      String l = line.strip();
      if (!l.isEmpty() && !l.startsWith("#")) {
        s.read(l.split("\\s+"));
      }
    }
    return s;
  }

  /** Plays it and returns what was not as expected. */
  List<String> playOut() {
    run();
    return failures;
  }

  /** The cluster that it was played in. */
  SimulatedCluster world() {
    return world;
  }

  private void read(String[] w) {
    switch (w[0]) {
      case "seed" -> seed = Long.parseLong(w[1]);
      case "controllers" -> controllers = Integer.parseInt(w[1]);
      case "zones" -> zones = List.of(w).subList(1, w.length);
      case "team" -> {
        Map<String, String> o = ScenarioWords.options(w, 2);
        teams.add(
            Settings.Team.of(
                w[1],
                Double.parseDouble(o.getOrDefault("cpus", "0")),
                Double.parseDouble(o.getOrDefault("max", "0")),
                0,
                0));
      }
      case "run" -> end = ScenarioWords.seconds(w[1]);
      case "expect" -> expectations.add(w);
      case "machines", "at", "set" -> setUp.add(w);
      default -> throw new IllegalArgumentException("no such line: " + String.join(" ", w));
    }
  }

  private void run() {
    setUpWorld();
    begin();
    world.runUntil(end);
    judge();
  }

  /** Makes the cluster and schedules what happens in it. */
  void setUpWorld() {
    if (teams.isEmpty()) {
      teams.add(new Settings.Team("red", 64, 256, 0, 0));
    }
    world = new SimulatedCluster(seed, controllers, zones, teams);
    actions = new ScenarioActions(world, new ScenarioUsers(world, failures), failures);
    for (String[] w : setUp) {
      switch (w[0]) {
        case "machines" -> {
          Map<String, String> o = ScenarioWords.options(w, 1);
          for (int i = 0; i < Integer.parseInt(o.getOrDefault("count", "1")); i++) {
            world.cloud.add(o.getOrDefault("zone", "a"), o.containsKey("spot"), 0);
          }
        }
        case "set" -> {
          Map<String, String> o = ScenarioWords.options(w, 1);
          o.forEach(
              (k, v) -> {
                switch (k) {
                  case "slow-boots" -> world.cloud.nextBootSlowly(Integer.parseInt(v), 4);
                  case "spot-capacity" -> world.cloud.spotCapacity = Integer.parseInt(v);
                  case "capacity" -> world.cloud.capacity = Integer.parseInt(v);
                  case "boot" -> world.cloud.bootMs = ScenarioWords.seconds(v);
                  case "never-boots" -> world.cloud.nextNeverBoots(Integer.parseInt(v));
                  case "lease" -> world.leaseMs = ScenarioWords.seconds(v);
                  case "cancel" -> world.cancelMs = ScenarioWords.seconds(v);
                  case "rps" -> world.stateRps = Double.parseDouble(v);
                  case "write-rps" -> {
                    world.stateWriteRps = Double.parseDouble(v);
                    world.state.limit();
                  }
                  case "value-kb" -> world.stateValueKb = Double.parseDouble(v);
                  case "backlog" -> world.state.backlog = Integer.parseInt(v);
                  case "standby" -> world.features = FEATURES;
                  case "standby-kept" -> world.features = keeping(Integer.parseInt(v));
                  case "history" -> world.state.keepHistory(Integer.parseInt(v));
                  default -> throw new IllegalArgumentException(k);
                }
              });
        }
        default -> {
          if (w[2].equals("every")) {
            repeat(w);
          } else {
            schedule(w);
          }
        }
      }
    }
  }

  /** Starts the controllers. */
  void begin() {
    world.nodes.values().forEach(SimulatedCluster.Node::start);
    world.after(troublesEnd, world.checker::watchWaiting);
  }

  /** When the scenario is over, in ms. */
  long end() {
    return end;
  }

  /** What was not as expected; to be called when it is over. */
  List<String> judge() {
    world.checker.over(troublesEnd);
    ScenarioExpectations judge = new ScenarioExpectations(world, failures);
    expectations.forEach(judge::expect);
    if (world.state.malformed != null) {
      failures.add("the state service was asked for " + world.state.malformed);
    }
    if (world.cloud.malformed != null) {
      failures.add("the cloud was asked for " + world.cloud.malformed);
    }
    if (!judge.expectsBroken() && !world.checker.broken.isEmpty()) {
      failures.add("broken: " + world.checker.broken);
    }
    return failures;
  }

  private void schedule(String[] w) {
    // "late": a copy of a message is trouble until it has come.
    troublesEnd =
        Math.max(
            troublesEnd,
            ScenarioWords.seconds(w[1])
                + ScenarioWords.seconds(ScenarioWords.word(w, "for", "0"))
                + ScenarioWords.seconds(ScenarioWords.word(w, "late", "0")));
    world.after(ScenarioWords.seconds(w[1]), () -> actions.act(w));
  }

  /** at 2 every 0.5 until 60 submit run-# ...: the same again and again, # being a number. */
  private void repeat(String[] w) {
    int n = 0;
    for (long t = ScenarioWords.seconds(w[1]);
        t <= ScenarioWords.seconds(w[5]);
        t += ScenarioWords.seconds(w[3])) {
      List<String> one = new ArrayList<>(List.of("at", String.valueOf(t / 1000.0)));
      for (int i = 6; i < w.length; i++) {
        one.add(w[i].replace("#", String.valueOf(n)));
      }
      n++;
      schedule(one.toArray(new String[0]));
    }
  }
}
