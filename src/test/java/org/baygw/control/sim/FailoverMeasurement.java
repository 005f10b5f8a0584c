package org.baygw.control.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;

/**
 * Where the time from a controller's death to its successor's first order goes, in simulated time.
 * Not part of the build: {@code mvn test -Dtest=FailoverMeasurement [-Dkills=100]
 * [-Dstandby=true]}.
 */
final class FailoverMeasurement {
  private static final int KILLS = Integer.getInteger("kills", 100);
  private static final boolean STANDBY = Boolean.getBoolean("standby");
  private static final long MAX_MS = 120_000;
  private static final String PARTITIONS = "partition owner";

  /** Times of many failovers of one kind of role. */
  private static final class Parts {
    final Histogram leaseEnd = new Histogram(MAX_MS, 3);
    final Histogram claim = new Histogram(MAX_MS, 3);
    final Histogram order = new Histogram(MAX_MS, 3);
    final Histogram launch = new Histogram(MAX_MS, 3);
    final Histogram total = new Histogram(MAX_MS, 3);
    int withoutOrder;

    void add(FailoverProbe.Failover failover, long diedAt) {
      leaseEnd.recordValue(failover.freedAt - diedAt);
      if (failover.claimedAt < 0 || failover.firstOrderAt < 0) {
        withoutOrder++;
        return;
      }
      claim.recordValue(failover.claimedAt - failover.freedAt);
      order.recordValue(failover.firstOrderAt - failover.claimedAt);
      total.recordValue(failover.firstOrderAt - diedAt);
      if (failover.firstLaunchAt >= 0) {
        launch.recordValue(failover.firstLaunchAt - diedAt);
      }
    }

    String table(String title) {
      return String.format(
          Locale.ROOT,
          "%s: %d failovers, %d without an order in time%n%s%s%s%s%s",
          title,
          leaseEnd.getTotalCount(),
          withoutOrder,
          line("death to the lease's end", leaseEnd),
          line("lease's end to the claim", claim),
          line("claim to the first order", order),
          line("death to the first order", total),
          line("death to the first launch", launch));
    }

    private static String line(String name, Histogram h) {
      return String.format(
          Locale.ROOT,
          "  %-26s p50 %6d  p99 %6d  max %6d ms (%d)%n",
          name,
          h.getValueAtPercentile(50),
          h.getValueAtPercentile(99),
          h.getMaxValue(),
          h.getTotalCount());
    }
  }

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
    Parts leader = new Parts();
    Parts partitions = new Parts();
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
    System.out.println(leader.table("leader") + partitions.table(PARTITIONS));
    assertTrue(leader.leaseEnd.getTotalCount() > 0);
  }
}
