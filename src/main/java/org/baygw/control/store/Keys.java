package org.baygw.control.store;

import org.baygw.control.model.Partition;

/** Names of the keys in the state service. */
public final class Keys {
  public static final String ROOT = "b/";
  public static final String TYPES = ROOT + "types";
  public static final String PARAMS = ROOT + "params";

  /** The leader's role, as named in its claim's key. */
  public static final String LEADER = "leader";

  /** Number of partitions per zone; written once. */
  public static final String LAYOUT = ROOT + "layout";

  public static String job(String id) {
    return ROOT + "job/" + id;
  }

  public static String progress(String job, int chunk) {
    return ROOT + "prog/" + job + "/" + chunk;
  }

  public static String machine(String name) {
    return ROOT + "machine/" + name;
  }

  /** Page of a partition's record, which has the tasks on the partition's machines. */
  public static String record(Partition partition, int page) {
    return record(partition.toString()) + (page == 0 ? "" : "/" + page);
  }

  /** First page of a partition's record. */
  static String record(String partition) {
    return ROOT + "run/" + partition;
  }

  public static String claim(String role) {
    return ROOT + "claim/" + role;
  }

  public static String member(String label) {
    return ROOT + "member/" + label;
  }

  public static String rental(String booking) {
    return ROOT + "rent/" + booking;
  }

  /** Machines of a partition that are being drained. */
  public static String drain(Partition partition) {
    return ROOT + "drain/" + partition;
  }

  /** Marks a machine that an operator wants emptied and returned. */
  public static String cordon(String machine) {
    return ROOT + "cordon/" + machine;
  }

  private Keys() {}
}
