package org.baygw.control.store;

/** Names of the keys in the state service. */
public final class Keys {
  public static final String ROOT = "b/";
  public static final String TYPES = ROOT + "types";
  public static final String PARAMS = ROOT + "params";
  public static final String DESK = "desk";

  public static String job(String id) {
    return ROOT + "job/" + id;
  }

  public static String progress(String job, int chunk) {
    return ROOT + "prog/" + job + "/" + chunk;
  }

  public static String machine(String name) {
    return ROOT + "run/" + name;
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

  public static String drain(String machine) {
    return ROOT + "drain/" + machine;
  }

  /** An operator wants the machine emptied and returned. */
  public static String cordon(String machine) {
    return ROOT + "cordon/" + machine;
  }

  private Keys() {}
}
