package org.baygw.control.standby;

import org.baygw.control.Constants;
import org.baygw.control.core.Clock;
import org.baygw.control.membership.Membership;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A planned handover of all roles of this controller: it makes known that it leaves, lets its
 * standbys catch up for a moment, stops giving orders, and deletes its claims. Nobody waits for a
 * lease to run out.
 */
final class Handover {
  /** How far it is. */
  enum Phase {
    /** None was asked for. */
    NONE,
    /** Its member key is to say that it leaves, so that the others claim what it releases. */
    ANNOUNCING,
    /** Its standbys are to catch up. */
    FLUSHING,
    /** No orders are given while the claims are being deleted. */
    RELEASING,
    /** It holds no role. */
    RELEASED
  }

  /** The logs and streams of the roles that are handed over. */
  interface Roles {
    /** Whether all standbys have all decisions. */
    boolean upToDate();

    /** The claims are gone: the standbys are told. */
    void released();
  }

  private static final Logger LOG = LoggerFactory.getLogger(Handover.class);

  private final Clock clock;
  private final Membership membership;
  private final Roles roles;
  private Phase phase = Phase.NONE;
  private long flushUntil;
  private long releasingSince;
  private boolean ending;

  Handover(Clock clock, Membership membership, Roles roles) {
    this.clock = clock;
    this.membership = membership;
    this.roles = roles;
  }

  Phase phase() {
    return phase;
  }

  /**
   * Whether orders are to be withheld. Not for longer than a write takes: where the state service
   * does not answer this controller stays active as far as anybody can tell, and its workers'
   * leases must not end.
   */
  boolean releasing() {
    return phase == Phase.RELEASING && clock.now() - releasingSince < Constants.HANDOVER_FLUSH_MS;
  }

  /** Begins, if none is under way. */
  void begin() {
    if (phase == Phase.NONE) {
      enter(Phase.ANNOUNCING);
    }
  }

  /** Begins, and ends this controller's membership after it: the process is about to end. */
  void beginToEnd() {
    ending = true;
    begin();
  }

  /** This controller takes roles again. */
  void cancel() {
    if (phase != Phase.RELEASING) {
      enter(Phase.NONE);
    }
  }

  /** Whether nothing is left that the end of the process would interrupt. */
  boolean ended() {
    return ending && phase == Phase.RELEASED && membership.hasLeft();
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
        if (ending) {
          membership.end();
        }
      }
      default -> {
        // The write's outcome goes on.
      }
    }
  }

  private void release() {
    enter(Phase.RELEASING);
    releasingSince = clock.now();
    boolean begun =
        membership.release(
            ok -> {
              // Where claims are left, of many or after a conflict, they are released next. A
              // conflict without any left is a release whose first answer was lost.
              boolean left = membership.holdsAnyRole();
              if (!left) {
                roles.released();
              }
              enter(left ? Phase.FLUSHING : Phase.RELEASED);
            });
    if (!begun) {
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
