package org.baygw.control.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the built jar on loopback: three controllers as processes that are killed (SIGKILL), paused
 * (SIGSTOP), terminated (SIGTERM) and told to hand over, while users submit, poll and cancel.
 * Checks the rules and that jobs get done, not how long anything took.
 */
final class ProcessesIT {
  private static final int SECONDS = 95;

  @TempDir Path logs;

  private Scenario play(String text, boolean standby) throws Exception {
    Scenario scenario = Scenario.prepare(text);
    assertEquals(
        List.of(),
        ProcessScenarios.play(scenario, ProcessScenarios.command(standby), logs),
        logs());
    return scenario;
  }

  /** The last lines of each process's log, shown when a check fails. */
  private String logs() throws Exception {
    StringBuilder all = new StringBuilder();
    for (String label : List.of("yurt-0", "yurt-1", "yurt-2")) {
      Path log = logs.resolve(label + ".log");
      List<String> lines = Files.exists(log) ? Files.readAllLines(log) : List.of();
      int first = Math.max(0, lines.size() - 40);
      all.append(label).append(":\n").append(String.join("\n", lines.subList(first, lines.size())));
      all.append('\n');
    }
    return all.toString();
  }

  @Test
  void keepsTheRulesThroughKillsPausesAndHandovers() throws Exception {
    Scenario scenario = play(ProcessScenarios.random(1, SECONDS), true);
    Map<String, Long> done = scenario.cluster().checker.doneToldAt;
    assertTrue(done.size() > 30, "only " + done.size() + " jobs are done");
    String log = logs();
    assertTrue(log.contains("RoleTable - role"), log);
    assertFalse(log.contains("an input failed"), log);
  }

  @Test
  void loadsNoStandbyClassesWhenStandbyIsOff() throws Exception {
    List<String> command = new ArrayList<>(ProcessScenarios.command(false));
    command.add(1, "-Xlog:class+load:stderr");
    Scenario scenario =
        Scenario.prepare(
            "machines count=3\nat 3 submit run-1 tasks=2 run=2\nat 9 crash-leader for 1\nrun 22");
    assertEquals(List.of(), ProcessScenarios.play(scenario, command, logs));
    for (String label : List.of("yurt-0", "yurt-1", "yurt-2")) {
      String log = Files.readString(logs.resolve(label + ".log"));
      assertTrue(log.contains("org.baygw.control.Controller "), label);
      for (String off : List.of("org.baygw.control.standby", "org.pcollections", "roaringbitmap")) {
        assertFalse(log.contains(off), label + " loaded " + off);
      }
    }
  }
}
