package org.baygw.control.quota;

import java.util.Comparator;
import org.baygw.control.Constants;
import org.baygw.control.model.JobSpec;

/**
 * A job with tasks that wait for a grant, as of one scheduler pass.
 *
 * @param stamp revision of the job's key, a condition of its grants
 * @param teamWithoutGuarantee whether its team has no guarantee
 * @param guaranteed whether it fits into its team's guarantee together with the team's earlier jobs
 * @param unstartedMs ms since acceptance if no task is live or done, else 0
 * @param missedObjectives number of its class's objectives that it would miss even if it started
 *     now
 * @param remainingCpuS remaining CPU seconds, by the user's estimate
 * @param liveByZone number of its live tasks in each zone
 */
record QueuedJob(
    String id,
    JobSpec spec,
    long acceptedMs,
    long stamp,
    boolean teamWithoutGuarantee,
    boolean guaranteed,
    long unstartedMs,
    int missedObjectives,
    double remainingCpuS,
    int pending,
    int[] liveByZone) {

  /** The order in which jobs are scheduled. */
  static final Comparator<QueuedJob> ORDER =
      Comparator.comparing(
              (QueuedJob job) -> job.spec().priority() == JobSpec.Priority.PRODUCTION ? 0 : 1)
          // Jobs that may preempt others come first: otherwise capacity would be granted to the
          // next job and taken back again.
          .thenComparing(job -> job.overdue() ? 0 : 1)
          .thenComparing(job -> job.guaranteed() ? 0 : 1)
          // Low-priority jobs of teams without guarantee must not displace other jobs, not even
          // those that will miss their objectives.
          .thenComparing(
              job ->
                  job.teamWithoutGuarantee() && job.spec().priority() == JobSpec.Priority.LOW
                      ? 1
                      : 0)
          // More jobs finish in time if those that can no longer do so, and long jobs, come later.
          .thenComparing(QueuedJob::missedObjectives)
          .thenComparing(job -> job.spec().priority())
          .thenComparing(job -> job.teamWithoutGuarantee() ? 1 : 0)
          .thenComparing(QueuedJob::remainingCpuS)
          .thenComparing(QueuedJob::acceptedMs)
          .thenComparing(QueuedJob::id);

  /**
   * Whether the job has waited so long without a start that it precedes others: a guaranteed job
   * does so sooner than another. Without this rule large jobs would starve while small ones keep
   * arriving.
   */
  boolean overdue() {
    return unstartedMs > (guaranteed ? Constants.GUARANTEED_OVERDUE_MS : Constants.STARVED_MS);
  }

  /** What the job is entitled to. */
  UnmetDemand.Entitlement entitlement() {
    boolean mayReclaim = guaranteed && unstartedMs > Constants.RECLAIM_MS;
    return new UnmetDemand.Entitlement(
        guaranteed, mayReclaim, teamWithoutGuarantee, unstartedMs == 0);
  }
}
