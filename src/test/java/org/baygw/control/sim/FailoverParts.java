package org.baygw.control.sim;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/** Where the time from a controller's end to its successors' first orders goes, over many ends. */
final class FailoverParts {
  private static final long MAX_MS = 600_000;
  private static final int DIGITS = 3;

  private final String title;
  private final Histogram leaseEnd = new Histogram(MAX_MS, DIGITS);
  private final Histogram claim = new Histogram(MAX_MS, DIGITS);
  private final Histogram order = new Histogram(MAX_MS, DIGITS);
  private final Histogram launch = new Histogram(MAX_MS, DIGITS);
  private final Histogram total = new Histogram(MAX_MS, DIGITS);
  private int withoutOrder;

  FailoverParts(String title) {
    this.title = title;
  }

  void add(FailoverProbe.Failover failover, long endedAt) {
    leaseEnd.recordValue(failover.freedAt - endedAt);
    if (failover.claimedAt < 0 || failover.firstOrderAt < 0) {
      withoutOrder++;
      return;
    }
    claim.recordValue(failover.claimedAt - failover.freedAt);
    order.recordValue(failover.firstOrderAt - failover.claimedAt);
    total.recordValue(failover.firstOrderAt - endedAt);
    if (failover.firstLaunchAt >= 0) {
      launch.recordValue(failover.firstLaunchAt - endedAt);
    }
  }

  long count() {
    return leaseEnd.getTotalCount();
  }

  String table() {
    return String.format(
        Locale.ROOT,
        "%s: %d failovers, %d without an order in time%n%s%s%s%s%s",
        title,
        count(),
        withoutOrder,
        line("end to the lease's end", leaseEnd),
        line("lease's end to the claim", claim),
        line("claim to the first order", order),
        line("end to the first order", total),
        line("end to the first launch", launch));
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
