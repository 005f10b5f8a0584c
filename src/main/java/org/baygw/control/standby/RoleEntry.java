package org.baygw.control.standby;

import org.baygw.control.model.Partition;

/** All that a controller has of one role: as standby a replica, as active a log and its stream. */
final class RoleEntry {
  final Role role;

  /** The partition whose ownership the role is; null for leadership. */
  final Partition partition;

  final Takeover takeover;

  /** Null until an active controller has sent something. */
  Replica replica;

  /** Null unless this controller is active. */
  DecisionLog log;

  /** Null unless this controller is active and has a standby. */
  ReplicationStream stream;

  /** The controller that would succeed the active one, as last looked at; null where none would. */
  String standby;

  RoleEntry(Role role, Partition partition, long suspectMs) {
    this.role = role;
    this.partition = partition;
    this.takeover = new Takeover(role, suspectMs);
  }

  /** Whether this controller gives the orders of the role. */
  boolean active() {
    return log != null;
  }
}
