package org.baygw.control.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;

/**
 * Measures the phases from a controller's crash to its successors' first orders, with real
 * processes in real time, and plays random scenarios of kills and pauses. Not part of the build;
 * needs the built jar: {@code mvn test -Dtest=FailoverOnLoopback#kills -DargLine="-Dclusters=4
 * -Dkills=25 -Dstandby=true"}, {@code #randomDays} with {@code -Dseconds=300}.
 */
final class FailoverOnLoopback {
  private static final int CLUSTERS = Integer.getInteger("clusters", 4);
  private static final int KILLS = Integer.getInteger("kills", 25);
  private static final int SECONDS = Integer.getInteger("seconds", 300);
  private static final long FIRST = Long.getLong("first", 1);
  private static final boolean STANDBY = Boolean.getBoolean("standby");
  private static final Path LOGS = Path.of("target/loopback");

  private interface ScenarioSource {
    String text(long seed);
  }

  /** Plays one scenario for each cluster, all at the same time. */
  private static List<Scenario> play(ScenarioSource source) throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(CLUSTERS);
    List<Future<Scenario>> played = new ArrayList<>();
    for (long seed = FIRST; seed < FIRST + CLUSTERS; seed++) {
      long scenarioSeed = seed;
      played.add(threads.submit(() -> play(scenarioSeed, source.text(scenarioSeed))));
    }
    List<Scenario> scenarios = new ArrayList<>();
    for (Future<Scenario> scenario : played) {
      scenarios.add(scenario.get());
    }
    threads.shutdown();
    return scenarios;
  }

  private static Scenario play(long seed, String text) throws Exception {
    Scenario scenario = Scenario.prepare(text);
    Path logs = LOGS.resolve(seed + (STANDBY ? "-on" : "-off"));
    List<String> failures =
        ProcessScenarios.play(scenario, ProcessScenarios.command(STANDBY), logs);
    assertEquals(List.of(), failures, "seed " + seed);
    return scenario;
  }

  @Test
  void kills() throws Exception {
    FailoverPhases leader = new FailoverPhases("leader");
    FailoverPhases partitions = new FailoverPhases("partition owner");
    for (Scenario scenario : play(seed -> ProcessScenarios.kills(seed, KILLS))) {
      ProcessScenarios.measure(scenario.cluster(), leader, partitions);
    }
    System.out.println(leader.table() + partitions.table());
  }

  @Test
  void pauses() throws Exception {
    int done = 0;
    for (Scenario scenario : play(seed -> ProcessScenarios.pauses(seed, SECONDS))) {
      done += scenario.cluster().checker.doneToldAt.size();
    }
    System.out.println(CLUSTERS + " scenarios of pauses, " + done + " jobs done");
  }

  /** Prints the resources used without faults: after the start, under steady work, when idle. */
  @Test
  void cost() throws Exception {
    Scenario scenario =
        Scenario.prepare(
            "zones a b\nmachines zone=a count=6\nmachines zone=b count=5\nset boot=4 capacity=14\n"
                + "at 25 every 0.4 until 85 submit run-# tasks=2 run=4 cpus=2\nrun 150");
    Path logs = LOGS.resolve("cost" + (STANDBY ? "-on" : "-off"));
    Files.createDirectories(logs);
    scenario.setUpCluster();
    try (ProcessCluster cluster =
        new ProcessCluster(scenario.cluster(), ProcessScenarios.command(STANDBY), logs)) {
      scenario.start();
      for (int second : new int[] {25, 85, 90, 150}) {
        cluster.runUntil(second * 1_000L);
        System.out.println("standby " + STANDBY + ", after " + second + " s: " + cluster.usage());
      }
    }
    assertEquals(List.of(), scenario.evaluate());
  }

  @Test
  void randomDays() throws Exception {
    int done = 0;
    for (Scenario scenario : play(seed -> ProcessScenarios.random(seed, SECONDS))) {
      done += scenario.cluster().checker.doneToldAt.size();
    }
    System.out.println(CLUSTERS + " random scenarios of " + SECONDS + " s, " + done + " jobs done");
  }
}
