package org.baygw.control.store;

import org.baygw.control.model.Partition;

/** Names of the keys in the state service. */
public final class Keys {
  public static final String ROOT = "b/";
  public static final String TYPES = ROOT + "types";
  public static final String PARAMS = ROOT + "params";
  public static final String LEADER = "leader";

  /** How many partitions a zone has; written once. */
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

  /** A page of a partition's record: the tasks on its machines. */
  public static String record(Partition part, int page) {
    return ROOT + "run/" + part + (page == 0 ? "" : "/" + page);
  }

  public static String claim(String name) {
    return ROOT + "claim/" + name;
  }

  public static String member(String label) {
    return ROOT + "member/" + label;
  }

  public static String rental(String booking) {
    return ROOT + "rent/" + booking;
  }

  /** The machines of a partition that are on their way out. */
  public static String drain(Partition part) {
    return ROOT + "drain/" + part;
  }

  /** An operator wants the machine emptied and returned. */
  public static String cordon(String machine) {
    return ROOT + "cordon/" + machine;
  }

  private Keys() {}
}
