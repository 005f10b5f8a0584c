package org.baygw.control.quota;

import org.baygw.control.Constants;
import org.baygw.control.model.JobSpec;

/**
 * Tasks of a job for which the latest pass found no capacity.
 *
 * @param zone the only zone in which they may run; null if they may run in any
 * @param count number of tasks
 * @param waitedMs ms for which the job has had such tasks
 * @param entitlement what the job is entitled to
 */
public record UnmetDemand(
    JobSpec spec, String zone, int count, long waitedMs, Entitlement entitlement) {

  /**
   * What a job is entitled to.
   *
   * @param guaranteed whether it fits into its team's guarantee together with the team's earlier
   *     jobs
   * @param mayReclaim whether capacity that other teams borrow may be reclaimed for it
   * @param teamWithoutGuarantee whether its team has no guarantee
   * @param started whether a task of it is live or done
   */
  public record Entitlement(
      boolean guaranteed, boolean mayReclaim, boolean teamWithoutGuarantee, boolean started) {}

  /** The same demand for the remaining tasks. */
  UnmetDemand withCount(int remaining) {
    return new UnmetDemand(spec, zone, remaining, waitedMs, entitlement);
  }

  /**
   * Whether this is low-priority work of a team without guarantee that may use spot machines. No
   * on-demand machine is rented for it, unless it has waited for so long without a start that it
   * might not start in time.
   */
  public boolean canWaitForSpot() {
    return entitlement.teamWithoutGuarantee()
        && spec.spot()
        && spec.priority() == JobSpec.Priority.LOW
        && (entitlement.started() || waitedMs < Constants.STARVED_MS);
  }
}
