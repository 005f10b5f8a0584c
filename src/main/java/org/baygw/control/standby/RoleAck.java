package org.baygw.control.standby;

/**
 * A standby's answer about one role.
 *
 * @param epoch the latest epoch that it follows
 * @param applied the number of the last decision that it has applied, or {@link #NEEDS_SNAPSHOT}
 * @param partsReceived of the snapshot that it is being sent
 */
record RoleAck(Role role, long epoch, long applied, int partsReceived) {
  static final long NEEDS_SNAPSHOT = -1;
}
