package org.baygw.control.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Where the time from a controller's death to its successor's first order goes, in simulated time.
 * Not part of the build: {@code mvn test -Dtest=FailoverMeasurement [-Dkills=100]
 * [-Dstandby=true]}.
 */
final class FailoverMeasurement {
  private static final int KILLS = Integer.getInteger("kills", 100);
  private static final boolean STANDBY = Boolean.getBoolean("standby");

  /**
   * Twenty machines with short tasks and services; the leader's controller dies at a random time.
   */
  private static String day(long seed) {
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
    FailoverParts leader = new FailoverParts("leader");
    FailoverParts partitions = new FailoverParts("partition owner");
    for (long seed = 1; seed <= KILLS; seed++) {
      Scenario scenario = Scenario.prepare(day(seed));
      assertEquals(List.of(), scenario.playOut(), "day " + seed);
      SimulatedCluster world = scenario.world();
      long diedAt = world.lastCrashAt;
      for (Map.Entry<String, FailoverProbe.Failover> entry : world.probe.latest.entrySet()) {
        if (entry.getValue().freedAt >= diedAt) {
          boolean leads = entry.getKey().equals(FailoverProbe.LEADER);
          if (leads || entry.getValue().workers > 0) {
            (leads ? leader : partitions).add(entry.getValue(), diedAt);
          }
        }
      }
    }
    System.out.println(leader.table() + partitions.table());
    assertTrue(leader.count() > 0);
  }
}
