package org.baygw.control.quota;

import org.baygw.control.model.JobSpec;

/**
 * Tasks of a job that found no room in the latest pass.
 *
 * @param zone the only zone in which they may be; null where any will do
 * @param reclaims whether room that other teams borrow may be taken back for them
 * @param waitedMs how long the job has had such tasks
 */
public record UnmetDemand(JobSpec spec, String zone, boolean reclaims, int count, long waitedMs) {
  /** The same demand for the tasks that are left. */
  UnmetDemand withCount(int left) {
    return new UnmetDemand(spec, zone, reclaims, left, waitedMs);
  }
}
