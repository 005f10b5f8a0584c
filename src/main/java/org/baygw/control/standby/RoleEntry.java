package org.baygw.control.standby;

import org.baygw.control.model.Partition;

/** One role at this controller: a replica while it is standby, a log and stream while active. */
final class RoleEntry {
  final Role role;

  /** The partition that the role owns; null for leadership. */
  final Partition partition;

  final Takeover takeover;

  /** Null until an active controller has sent an update. */
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
