package org.baygw.control.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Measures the phases from a controller's crash to its successor's first order, in simulated time.
 * Not part of the build: {@code mvn test -Dtest=FailoverMeasurement [-Dkills=100]
 * [-Dstandby=true]}.
 */
final class FailoverMeasurement {
  private static final int KILLS = Integer.getInteger("kills", 100);
  private static final boolean STANDBY = Boolean.getBoolean("standby");

  /**
   * Twenty machines with short tasks and a service; the leader's controller crashes at a time that
   * depends on the seed.
   */
  private static String scenarioText(long seed) {
    double at = 30 + (seed * 37 % 100) / 20.0;
    return String.format(
        Locale.ROOT,
        """
        seed %d
        %s
        zones a b
        machines zone=a count=12
        machines zone=b count=8
        at 1 submit run-900001 service tasks=4 spread
        at 2 every 0.5 until 55 submit run-# tasks=3 run=6 cpus=2
        at %.2f crash-leader for 30
        run 58
        """,
        seed,
        STANDBY ? "set standby=on" : "",
        at);
  }

  @Test
  void measures() {
    FailoverPhases leader = new FailoverPhases("leader");
    FailoverPhases partitions = new FailoverPhases("partition owner");
    for (long seed = 1; seed <= KILLS; seed++) {
      Scenario scenario = Scenario.prepare(scenarioText(seed));
      assertEquals(List.of(), scenario.runToEnd(), "seed " + seed);
      SimulatedCluster cluster = scenario.cluster();
      long crashedAt = cluster.lastCrashAt;
      for (Map.Entry<String, FailoverProbe.Failover> entry : cluster.probe.latest.entrySet()) {
        if (entry.getValue().claimEndedAt >= crashedAt) {
          boolean leads = entry.getKey().equals(FailoverProbe.LEADER);
          if (leads || entry.getValue().workers > 0) {
            (leads ? leader : partitions).add(entry.getValue(), crashedAt);
          }
        }
      }
    }
    System.out.println(leader.table() + partitions.table());
    assertTrue(leader.count() > 0);
  }
}
