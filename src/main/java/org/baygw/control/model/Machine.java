package org.baygw.control.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baygw.control.Constants;

/**
 * A machine: what it is (its own record), every task that may be on it, with its attempt, and its
 * condition (its partition's record), and the images it probably has (known by watching).
 */
public record Machine(
    String name,
    String type,
    String zone,
    boolean spot,
    String addr,
    Condition condition,
    Map<TaskId, Integer> tasks,
    List<String> images,
    Partition part) {

  /** Whether it is fit for new tasks. */
  public enum Condition {
    OK,
    /** Its spot notice came. */
    LEAVING,
    /** It neither reports nor answers. */
    SILENT,
    /** It fails what it is given: it gets no more, and is to be returned. */
    SICK
  }

  public Machine with(Condition c) {
    return new Machine(name, type, zone, spot, addr, c, tasks, images, part);
  }

  public Machine withTasks(Map<TaskId, Integer> next) {
    return new Machine(
        name, type, zone, spot, addr, condition, new LinkedHashMap<>(next), images, part);
  }

  /** Notes that the machine fetches this image; the ones used last are kept. */
  public Machine withImage(String image) {
    List<String> next = new ArrayList<>(images);
    next.remove(image);
    next.add(image);
    int from = Math.max(0, next.size() - Constants.MACHINE_IMAGES);
    return new Machine(
        name,
        type,
        zone,
        spot,
        addr,
        condition,
        tasks,
        List.copyOf(next.subList(from, next.size())),
        part);
  }
}
