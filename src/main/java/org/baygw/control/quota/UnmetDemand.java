package org.baygw.control.quota;

import org.baygw.control.Constants;
import org.baygw.control.model.JobSpec;

/**
 * Tasks of a job that found no room in the latest pass.
 *
 * @param zone the only zone in which they may be; null where any will do
 * @param count how many tasks
 * @param waitedMs how long the job has had such tasks
 * @param standing what the job is entitled to
 */
public record UnmetDemand(JobSpec spec, String zone, int count, long waitedMs, Standing standing) {

  /**
   * What a job is entitled to.
   *
   * @param guaranteed whether it fits into its team's guarantee together with the team's earlier
   *     jobs
   * @param reclaims whether room that other teams borrow may be taken back for it
   * @param guest whether its team has no guarantee at all
   * @param begun whether a task of it runs or is done
   */
  public record Standing(boolean guaranteed, boolean reclaims, boolean guest, boolean begun) {}

  /** The same demand for the tasks that are left. */
  UnmetDemand withCount(int left) {
    return new UnmetDemand(spec, zone, left, waitedMs, standing);
  }

  /**
   * Whether it is a guest's work for idle times that may use spot machines: no ordinary machine is
   * rented for it, unless it has not begun for so long that it might not begin in time at all.
   */
  public boolean canWaitForSpot() {
    return standing.guest()
        && spec.spot()
        && spec.priority() == JobSpec.Priority.LOW
        && (standing.begun() || waitedMs < Constants.STARVED_MS);
  }
}
