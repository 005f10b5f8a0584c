package org.baygw.control.sim;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;

/** Loopback scenarios from a seed: processes are killed, paused and terminated at random. */
final class ProcessScenarios {
  private static final Path DEPLOY = Path.of("deploy/service.toml");
  private static final String FEATURES = "--features";

  /** Time between measured kills: the killed controller is back and settled by the next. */
  private static final double KILL_PERIOD_S = 18;

  private ProcessScenarios() {}

  /** The deployed command line, with or without the features file. */
  static List<String> command(boolean standby) throws IOException {
    String text = Files.readString(DEPLOY);
    int at = text.indexOf("run = \"") + "run = \"".length();
    List<String> words =
        new ArrayList<>(List.of(text.substring(at, text.indexOf('"', at)).split(" ")));
    int features = words.indexOf(FEATURES);
    if (features >= 0) {
      words.subList(features, features + 2).clear();
    }
    if (standby) {
      words.addAll(words.size() - 1, List.of(FEATURES, "deploy/features.toml"));
    }
    return words;
  }

  private static String setUp(long seed) {
    return String.format(
        Locale.ROOT,
        "seed %d%nzones a b%nset boot=4 capacity=14%nmachines zone=a count=6%n"
            + "machines zone=b count=5%nat 3 submit run-900001 service tasks=4 spread%n",
        seed);
  }

  /**
   * Kills, pauses, terminations, handovers and cancellations, one after another, while requests to
   * workers, state service and cloud arrive once more.
   */
  static String random(long seed, int seconds) {
    Random random = new Random(seed);
    StringBuilder lines = new StringBuilder(setUp(seed));
    double lastFault = seconds - 35;
    lines.append(
        String.format(
            Locale.ROOT, "at 4 every 0.5 until %.1f submit run-# tasks=2 run=5%n", lastFault));
    lines.append(
        String.format(Locale.ROOT, "at 5 repeat all share 0.5 for %.1f%n", lastFault - 20));
    for (double at = 10; at < lastFault; at += 2.5 + random.nextDouble() * 5) {
      double span = 0.2 + random.nextDouble() * (random.nextBoolean() ? 2 : 9);
      String controller = "yurt-" + random.nextInt(3);
      String fault =
          switch (random.nextInt(8)) {
            case 0 -> "crash " + controller;
            case 1 -> "crash-leader";
            case 2 -> "freeze " + controller;
            case 3, 4 -> "freeze-leader";
            case 5 -> "terminate leader";
            case 6 -> "handover " + controller;
            default -> "cancel-now count=2";
          };
      lines.append(String.format(Locale.ROOT, "at %.2f %s for %.2f%n", at, fault, span));
    }
    return lines.append("run ").append(seconds).append("\n").toString();
  }

  /**
   * The leader's controller is paused repeatedly, each time for about the rest of its membership
   * lease.
   */
  static String pauses(long seed, int seconds) {
    Random random = new Random(seed);
    StringBuilder lines = new StringBuilder(setUp(seed));
    double last = seconds - 30;
    lines.append(
        String.format(Locale.ROOT, "at 4 every 0.4 until %.1f submit run-# tasks=2 run=5%n", last));
    for (double at = 12; at < last; at += 10) {
      double span = 3.6 + random.nextDouble();
      lines.append(String.format(Locale.ROOT, "at %.2f freeze-leader for %.2f%n", at, span));
    }
    return lines.append("run ").append(seconds).append("\n").toString();
  }

  /** The leader's controller is killed repeatedly and restarted 9 s later. */
  static String kills(long seed, int count) {
    Random random = new Random(seed);
    double end = 15 + count * KILL_PERIOD_S;
    StringBuilder lines = new StringBuilder(setUp(seed));
    lines.append(
        String.format(
            Locale.ROOT, "at 3 every 0.4 until %.1f submit run-# tasks=2 run=4 cpus=2%n", end));
    for (int i = 0; i < count; i++) {
      double at = 12 + i * KILL_PERIOD_S + random.nextDouble() * 2;
      lines.append(String.format(Locale.ROOT, "at %.2f crash-leader for 9%n", at));
    }
    return lines.append("run ").append((int) end + 15).append("\n").toString();
  }

  /** Plays a scenario with real processes and returns its failures. */
  static List<String> play(Scenario scenario, List<String> command, Path logs)
      throws IOException, InterruptedException {
    Files.createDirectories(logs);
    scenario.setUpCluster();
    try (ProcessCluster cluster = new ProcessCluster(scenario.cluster(), command, logs)) {
      scenario.start();
      cluster.runUntil(scenario.endMs());
    }
    return scenario.evaluate();
  }

  /** Adds the failovers that began within half a period after each kill. */
  static void measure(SimulatedCluster cluster, FailoverPhases leader, FailoverPhases partitions) {
    for (long killedAt : cluster.leaderCrashTimes) {
      for (Map.Entry<String, FailoverProbe.Failover> entry :
          cluster.probe.firstSince(killedAt).entrySet()) {
        FailoverProbe.Failover failover = entry.getValue();
        boolean leads = entry.getKey().equals(FailoverProbe.LEADER);
        boolean withinPeriod = failover.claimEndedAt - killedAt < KILL_PERIOD_S * 500;
        if (withinPeriod && (leads || failover.workers > 0)) {
          (leads ? leader : partitions).add(failover, killedAt);
        }
      }
    }
  }
}
