package org.baygw.control.standby;

import java.util.List;

/** Updates from one controller to another on the roles for which the sender is active. */
record ReplicationMessage(String sender, List<RoleUpdate> updates) {
  /** The answer to a replication message. */
  record Answer(String sender, List<RoleAck> acks) {}
}
