package org.baygw.control.sim;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/** Histograms of the phases from a controller's crash to its successors' first orders. */
final class FailoverPhases {
  private static final long MAX_MS = 600_000;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final String title;
  private final Histogram crashToLeaseExpiry = new Histogram(MAX_MS, SIGNIFICANT_DIGITS);
  private final Histogram leaseExpiryToClaim = new Histogram(MAX_MS, SIGNIFICANT_DIGITS);
  private final Histogram claimToOrder = new Histogram(MAX_MS, SIGNIFICANT_DIGITS);
  private final Histogram crashToLaunch = new Histogram(MAX_MS, SIGNIFICANT_DIGITS);
  private final Histogram crashToOrder = new Histogram(MAX_MS, SIGNIFICANT_DIGITS);
  private int withoutOrder;

  FailoverPhases(String title) {
    this.title = title;
  }

  void add(FailoverProbe.Failover failover, long crashedAt) {
    crashToLeaseExpiry.recordValue(failover.claimEndedAt - crashedAt);
    if (failover.claimedAt < 0 || failover.firstOrderAt < 0) {
      withoutOrder++;
      return;
    }
    leaseExpiryToClaim.recordValue(failover.claimedAt - failover.claimEndedAt);
    claimToOrder.recordValue(failover.firstOrderAt - failover.claimedAt);
    crashToOrder.recordValue(failover.firstOrderAt - crashedAt);
    if (failover.firstLaunchAt >= 0) {
      crashToLaunch.recordValue(failover.firstLaunchAt - crashedAt);
    }
  }

  long count() {
    return crashToLeaseExpiry.getTotalCount();
  }

  String table() {
    return String.format(
        Locale.ROOT,
        "%s: %d failovers, %d without an order in time%n%s%s%s%s%s",
        title,
        count(),
        withoutOrder,
        line("crash to lease expiry", crashToLeaseExpiry),
        line("lease expiry to claim", leaseExpiryToClaim),
        line("claim to first order", claimToOrder),
        line("crash to first order", crashToOrder),
        line("crash to first launch", crashToLaunch));
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
