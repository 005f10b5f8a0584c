package org.baygw.control.model;

import java.util.LinkedHashMap;
import java.util.Map;

/** A machine's record: what it is, and every task that may be on it, with its attempt. */
public record Machine(
    String name,
    String type,
    String zone,
    boolean spot,
    String addr,
    Condition condition,
    Map<TaskId, Integer> tasks) {

  /** Whether it is fit for new tasks. */
  public enum Condition {
    OK,
    /** Its spot notice came. */
    LEAVING,
    /** It fails what it is given, or it is silent: it is to be returned. */
    GIVE_UP
  }

  public Part part() {
    return Part.of(name, zone);
  }

  public Machine with(Condition c) {
    return new Machine(name, type, zone, spot, addr, c, tasks);
  }

  public Machine withTasks(Map<TaskId, Integer> next) {
    return new Machine(name, type, zone, spot, addr, condition, new LinkedHashMap<>(next));
  }
}
