package org.baygw.control.quota;

import java.util.Comparator;
import org.baygw.control.Constants;
import org.baygw.control.model.JobSpec;

/**
 * A job with tasks that wait for a grant, as one pass sees it.
 *
 * @param stamp revision of the job's key, a condition of its grants
 * @param guest whether its team has no guarantee at all
 * @param guaranteed whether it fits into its team's guarantee together with the team's earlier jobs
 * @param idleMs its age if none of its tasks runs or is done, else 0
 * @param missedAims how many of its class's aims it would miss even if it started now
 * @param workS CPU seconds that are left, by the user's estimate
 * @param zoneLive its live tasks in each zone
 */
record QueuedJob(
    String id,
    JobSpec spec,
    long acceptedMs,
    long stamp,
    boolean guest,
    boolean guaranteed,
    long idleMs,
    int missedAims,
    double workS,
    int pending,
    int[] zoneLive) {

  /** The order in which jobs are served. */
  static final Comparator<QueuedJob> ORDER =
      Comparator.comparing(
              (QueuedJob job) -> job.spec().priority() == JobSpec.Priority.PRODUCTION ? 0 : 1)
          // First what may stop others, or the room would go to the next in line and be taken
          // again.
          .thenComparing(job -> job.overdue() ? 0 : 1)
          .thenComparing(job -> job.guaranteed() ? 0 : 1)
          // A guest's idle-time work must crowd out nobody else's, also not what is late already.
          .thenComparing(
              job -> job.guest() && job.spec().priority() == JobSpec.Priority.LOW ? 1 : 0)
          // More jobs are in time if those that can no longer be, and the long ones, let others
          // pass.
          .thenComparing(QueuedJob::missedAims)
          .thenComparing(job -> job.spec().priority())
          .thenComparing(job -> job.guest() ? 1 : 0)
          .thenComparing(QueuedJob::workS)
          .thenComparing(QueuedJob::acceptedMs)
          .thenComparing(QueuedJob::id);

  /**
   * Whether it has waited so long with nothing started that it goes before the others: soon within
   * a guarantee, and later in any case, or large jobs would never begin while small ones come.
   */
  boolean overdue() {
    return idleMs > (guaranteed ? Constants.FIRST_MS : Constants.STARVED_MS);
  }

  /** What it is entitled to. */
  UnmetDemand.Standing standing() {
    boolean reclaims = guaranteed && idleMs > Constants.RECLAIM_MS;
    return new UnmetDemand.Standing(guaranteed, reclaims, guest, idleMs == 0);
  }
}
