package org.baygw.control.standby;

import java.util.List;

/** What an active controller tells its standby of one role. */
sealed interface RoleUpdate {
  Role role();

  long epoch();

  /**
   * Decisions in order; none as a sign of life.
   *
   * @param first the number of the first of them
   */
  record LogUpdate(Role role, long epoch, long first, List<Decision> decisions)
      implements RoleUpdate {}

  /**
   * A part of a snapshot.
   *
   * @param sequence the number of the last decision that the snapshot holds
   * @param part counted from 0
   */
  record SnapshotPart(
      Role role, long epoch, long sequence, int part, boolean last, List<Decision> decisions)
      implements RoleUpdate {}

  /**
   * The active controller has given the role up and gives no more orders for it.
   *
   * @param finalSequence the number of its last decision
   */
  record Release(Role role, long epoch, long finalSequence) implements RoleUpdate {}
}
