package org.baygw.control.standby;

import org.baygw.control.Constants;
import org.baygw.control.core.Clock;
import org.baygw.control.membership.Membership;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A planned handover of all roles of this controller: it announces that it is leaving, gives its
 * standbys a short time to catch up, stops issuing orders and deletes its claims. Successors need
 * not wait for a lease to expire.
 */
final class Handover {
  /** The progress of a handover. */
  enum Phase {
    /** No handover was requested. */
    NONE,
    /** Marking the member key as leaving, so that other controllers claim the released roles. */
    ANNOUNCING,
    /** Waiting for the standbys to catch up. */
    FLUSHING,
    /** Deleting the claims; orders are withheld for a limited time, see {@link #releasing}. */
    RELEASING,
    /** This controller holds no role. */
    RELEASED
  }

  /** The logs and streams of the roles that are handed over. */
  interface Roles {
    /** Whether all standbys have acknowledged all decisions. */
    boolean upToDate();

    /** Notifies the standbys that the claims have been deleted. */
    void onReleased();
  }

  private static final Logger LOG = LoggerFactory.getLogger(Handover.class);

  private final Clock clock;
  private final Membership membership;
  private final Roles roles;
  private Phase phase = Phase.NONE;
  private long flushUntil;
  private long releasingSince;
  private boolean shuttingDown;

  Handover(Clock clock, Membership membership, Roles roles) {
    this.clock = clock;
    this.membership = membership;
    this.roles = roles;
  }

  Phase phase() {
    return phase;
  }

  /**
   * Whether orders must be withheld because the claims are being deleted. Limited to the time that
   * a write should take: if the state service does not answer by then, this controller is still
   * active as far as anyone can tell, and the leases of its workers must not expire.
   */
  boolean releasing() {
    return phase == Phase.RELEASING && clock.now() - releasingSince < Constants.HANDOVER_FLUSH_MS;
  }

  /** Begins a handover unless one is in progress. */
  void begin() {
    if (phase == Phase.NONE) {
      enter(Phase.ANNOUNCING);
    }
  }

  /** Begins a handover after which this controller ends its membership, so the process can exit. */
  void beginShutdown() {
    shuttingDown = true;
    begin();
  }

  /** Cancels the handover unless claims are being deleted; this controller takes roles again. */
  void cancel() {
    if (phase != Phase.RELEASING) {
      enter(Phase.NONE);
    }
  }

  /** Whether the process can exit without interrupting the handover. */
  boolean shutdownComplete() {
    return shuttingDown && phase == Phase.RELEASED && membership.hasLeft();
  }

  void tick() {
    switch (phase) {
      case NONE -> membership.setLeaving(false);
      case ANNOUNCING -> {
        membership.setLeaving(true);
        if (membership.leaving()) {
          flushUntil = clock.now() + Constants.HANDOVER_FLUSH_MS;
          enter(Phase.FLUSHING);
        }
      }
      case FLUSHING -> {
        if (roles.upToDate() || clock.now() >= flushUntil) {
          release();
        }
      }
      case RELEASED -> {
        if (shuttingDown) {
          membership.end();
        }
      }
      default -> {
        // RELEASING: the outcome of the write starts the next phase.
      }
    }
  }

  private void release() {
    enter(Phase.RELEASING);
    releasingSince = clock.now();
    boolean started =
        membership.release(
            ok -> {
              // Claims that are left, because of the limit for one write or after a conflict, are
              // released next. A conflict with no claim left means that an earlier attempt had
              // succeeded and its answer was lost.
              boolean claimsLeft = membership.holdsAnyRole();
              if (!claimsLeft) {
                roles.onReleased();
              }
              enter(claimsLeft ? Phase.FLUSHING : Phase.RELEASED);
            });
    if (!started) {
      enter(Phase.FLUSHING);
    }
  }

  private void enter(Phase next) {
    if (phase != next) {
      LOG.info("handover: {} after {}", next, phase);
      phase = next;
    }
  }
}
