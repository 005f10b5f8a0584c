package org.baygw.control.config;

import java.util.List;
import org.baygw.control.Constants;

/**
 * The platform's settings file, checked.
 *
 * @param timeBoundMs how far the time of day of any controller may be from the true one
 */
public record Settings(
    String label,
    String zone,
    Endpoint listen,
    Endpoint peerListen,
    List<Peer> peers,
    String cloudAddr,
    String stateAddr,
    List<String> zones,
    double timeBoundMs,
    List<Team> teams,
    List<Objective> objectives,
    WorkerTimes workers,
    StateLimits state,
    CloudLimits cloud,
    Resources resources) {

  /** Host and port. */
  public record Endpoint(String host, int port) {}

  /** Another controller. */
  public record Peer(String label, String zone, String addr) {}

  /** A team's guarantee and limit. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
    /**
     * A team for which the platform names no limit at all, as a guest, has none: a limit of nothing
     * would be a team whose every job can never run.
     */
    public static Team of(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
      boolean unlimited = cpusMax == 0 && gpusMax == 0;
      return new Team(
          name,
          cpus,
          unlimited ? Double.POSITIVE_INFINITY : cpusMax,
          gpus,
          unlimited ? Double.POSITIVE_INFINITY : gpusMax);
    }

    /** Whether anything is guaranteed to the team; a guest has no guarantee. */
    public boolean hasGuarantee() {
      return cpus > 0 || gpus > 0;
    }
  }

  /**
   * What is expected for a class of jobs: finished within so many seconds, or within so many times
   * its deadline. The one that does not apply is 0.
   */
  public record Objective(String jobClass, double withinS, double deadlineFactor) {}

  /** Workers' periods, in seconds. */
  public record WorkerTimes(double reportS, double leaseS, double cancelS) {
    /**
     * ms for which knowledge of cancellations is recent enough to renew a lease: what a lease
     * leaves of a cancellation's time, by this controller's steady clock.
     */
    public long watermarkMaxAgeMs() {
      return (long)
          (cancelS * 1000 * (1 - Constants.DRIFT)
              - leaseS * 1000 * (1 + Constants.DRIFT)
              - Constants.CANCEL_MARGIN_MS);
    }

    /** ms after which such knowledge is to be drawn anew, at most the given. */
    public long watermarkPeriodMs(long maxMs) {
      return Math.max(
          Constants.WATERMARK_PERIOD_MIN_MS,
          Math.min(maxMs, watermarkMaxAgeMs() / Constants.WATERMARK_TRIES));
    }
  }

  /** What the state service takes. */
  public record StateLimits(double rps, double writeRps, double valueKb, int txnOps) {}

  /** What the cloud takes. */
  public record CloudLimits(double rps, double listLagS) {}

  /**
   * What this controller has of its machine.
   *
   * @param cpuShare of one core
   */
  public record Resources(double cpuShare, int maxConnections) {
    /**
     * ms between two turns of work that comes again and again, so that it takes no more than a
     * share of what the processor gives.
     *
     * @param costMs what one turn takes on a whole core
     */
    public long periodMs(double costMs, double share, long minMs, long maxMs) {
      return Math.max(minMs, Math.min(maxMs, Math.round(costMs / (share * cpuShare))));
    }
  }

  /** ms after which the core looks at what there is to do, if nothing made it do so before. */
  public long tickMs() {
    return resources.periodMs(
        Constants.TICK_COST_MS, Constants.TICK_SHARE, Constants.TICK_MS, Constants.TICK_MOST_MS);
  }

  public Team team(String name) {
    for (Team t : teams) {
      if (t.name().equals(name)) {
        return t;
      }
    }
    return null;
  }
}
