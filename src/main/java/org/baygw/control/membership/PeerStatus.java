package org.baygw.control.membership;

import java.util.List;

/**
 * What one controller tells another about itself. A hint only: nothing durable rests on it.
 *
 * @param label the sender
 * @param revision of the state service that its copy has reached
 * @param stateAgeMs since the state service last answered it
 * @param cancellationsComplete whether the cancellations are all that it has told a user of, or may
 *     tell one of, beyond the revision that the receiver has
 * @param cancellations durable ones that the receiver may not know
 */
record PeerStatus(
    String label,
    long revision,
    long stateAgeMs,
    boolean cancellationsComplete,
    List<Cancellation> cancellations) {

  /**
   * A cancelled job.
   *
   * @param stamp the revision at which that became durable
   * @param cancelledMs time of day at which it was written
   */
  record Cancellation(String job, long stamp, long cancelledMs) {}
}
