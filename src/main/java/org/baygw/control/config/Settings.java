package org.baygw.control.config;

import java.util.List;
import org.baygw.control.Constants;

/**
 * The platform's settings file, validated.
 *
 * @param timeBoundMs largest error, in ms, of any controller's time of day
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

  /** A team's guaranteed resources (cpus, gpus) and its limits (cpusMax, gpusMax). */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
    /**
     * Creates a team. A team whose limits are both 0, such as a guest team, is unlimited: with a
     * limit of 0, none of its jobs could ever run.
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

    /** Returns whether any resources are guaranteed to the team; guest teams have no guarantee. */
    public boolean hasGuarantee() {
      return cpus > 0 || gpus > 0;
    }
  }

  /**
   * The completion time objective for a class of jobs: either a number of seconds or a multiple of
   * the job's deadline. The component that does not apply is 0.
   */
  public record Objective(String jobClass, double withinS, double deadlineFactor) {}

  /** Workers' report period, lease duration and time limit for cancellations, in seconds. */
  public record WorkerTimes(double reportS, double leaseS, double cancelS) {
    /**
     * Greatest age, in ms of this controller's monotonic clock, of a cancellation watermark that is
     * recent enough to renew a lease: the time limit for a cancellation minus the lease duration.
     */
    public long watermarkMaxAgeMs() {
      return (long)
          (cancelS * 1000 * (1 - Constants.CLOCK_DRIFT)
              - leaseS * 1000 * (1 + Constants.CLOCK_DRIFT)
              - Constants.CANCEL_MARGIN_MS);
    }

    /**
     * Period, in ms, at which the cancellation watermark is refreshed: a fraction of its greatest
     * age, at most {@code maxMs}.
     */
    public long watermarkPeriodMs(long maxMs) {
      return Math.max(
          Constants.WATERMARK_PERIOD_MIN_MS,
          Math.min(maxMs, watermarkMaxAgeMs() / Constants.WATERMARK_ATTEMPTS));
    }
  }

  /** Limits of the state service. */
  public record StateLimits(double rps, double writeRps, double valueKb, int txnOps) {
    /**
     * Largest value to store, in bytes: the limit on values, or what a write can hold besides its
     * other changes if that is less.
     */
    public int maxValueBytes() {
      double writeBytes = Constants.MAX_BODY_BYTES * Constants.RECORD_WRITE_SHARE;
      return (int) Math.min(valueKb * 1024, writeBytes);
    }
  }

  /** Request limit of the cloud and the lag of its machine list. */
  public record CloudLimits(double rps, double listLagS) {}

  /**
   * The resources of its machine that this controller may use.
   *
   * @param cpuShare fraction of one core
   */
  public record Resources(double cpuShare, int maxConnections) {
    /**
     * Returns the period, in ms, at which periodic work takes no more than a share of this
     * controller's CPU time, within the given bounds.
     *
     * @param costMs CPU time of one run on a whole core
     */
    public long periodMs(double costMs, double share, long minMs, long maxMs) {
      return Math.max(minMs, Math.min(maxMs, Math.round(costMs / (share * cpuShare))));
    }
  }

  /** Longest time, in ms, between two ticks of the core; inputs may cause earlier ones. */
  public long tickMs() {
    return resources.periodMs(
        Constants.TICK_COST_MS, Constants.TICK_CPU_SHARE, Constants.TICK_MS, Constants.TICK_MAX_MS);
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
