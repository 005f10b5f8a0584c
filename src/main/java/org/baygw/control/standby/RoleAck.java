package org.baygw.control.standby;

/**
 * A standby's acknowledgement for one role.
 *
 * @param epoch the latest epoch that the standby follows
 * @param applied the sequence number of the last decision applied, or {@link #NEEDS_SNAPSHOT}
 * @param partsReceived how many parts of the snapshot in progress the standby has received
 */
record RoleAck(Role role, long epoch, long applied, int partsReceived) {
  static final long NEEDS_SNAPSHOT = -1;
}
