package org.baygw.control.standby;

import org.baygw.control.model.Partition;

/**
 * One role at this controller: a replica while the controller is its standby, a log and a stream
 * while the controller is active for it.
 */
final class RoleEntry {
  final Role role;

  /** The partition that the role owns; null for leadership. */
  final Partition partition;

  final Takeover takeover;

  /** Null until an active controller has sent an update, and while this controller is active. */
  Replica replica;

  /** Null unless this controller is active. */
  DecisionLog log;

  /** Null unless this controller is active and has a standby. */
  ReplicationStream stream;

  /** Label of the active controller's successor when standbys were last chosen; null if none. */
  String standby;

  RoleEntry(Role role, Partition partition, long suspectMs) {
    this.role = role;
    this.partition = partition;
    this.takeover = new Takeover(role, suspectMs);
  }

  /** Whether this controller issues the orders of the role. */
  boolean active() {
    return log != null;
  }
}
