package org.baygw.control.standby;

import java.util.List;

/** All that one controller tells another of the roles that it is active for. */
record ReplicationMessage(String sender, List<RoleUpdate> updates) {
  /** The answer to such a message. */
  record Answer(String sender, List<RoleAck> acks) {}
}
