package org.baygw.control.membership;

import java.util.List;

/**
 * A status message that controllers exchange. It is a hint only: no durable change depends on it.
 *
 * @param label the sender
 * @param revision the revision of the state service that the sender's state cache has reached
 * @param stateAgeMs time since the state service last answered the sender
 * @param cancellationsComplete whether the list holds all cancellations after the receiver's
 *     revision that the sender has confirmed, or may confirm, to a user
 * @param cancellations durable cancellations that the receiver may not know
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
   * @param stamp the revision at which the cancellation became durable
   * @param cancelledMs time of day at which the cancellation was written
   */
  record Cancellation(String job, long stamp, long cancelledMs) {}
}
