package org.baygw.control.standby;

import org.baygw.control.model.Partition;
import org.baygw.control.store.Keys;

/**
 * A responsibility for which one controller at a time is active: leadership or the ownership of a
 * partition. A role has the name of its claim, and the claim's stamp is the role's epoch.
 */
record Role(String name) implements Comparable<Role> {
  static final Role LEADER = new Role(Keys.LEADER);

  static Role of(Partition partition) {
    return new Role(partition.toString());
  }

  @Override
  public int compareTo(Role other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
