package org.baygw.control.standby;

import java.util.List;

/** An update on one role that an active controller sends its standby. */
sealed interface RoleUpdate {
  Role role();

  long epoch();

  /**
   * Decisions in order; a heartbeat has none.
   *
   * @param first the sequence number of the first decision
   */
  record LogUpdate(Role role, long epoch, long first, List<Decision> decisions)
      implements RoleUpdate {}

  /**
   * A part of a snapshot.
   *
   * @param sequence the sequence number of the last decision in the snapshot
   * @param part the index of this part, from 0
   */
  record SnapshotPart(
      Role role, long epoch, long sequence, int part, boolean last, List<Decision> decisions)
      implements RoleUpdate {}

  /**
   * The active controller has released the role and issues no more orders for it.
   *
   * @param finalSequence the sequence number of its last decision
   */
  record Release(Role role, long epoch, long finalSequence) implements RoleUpdate {}
}
