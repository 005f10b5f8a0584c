package org.baygw.control.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baygw.control.Constants;

/**
 * A machine. Its type, zone and address come from its own record, the condition and the tasks from
 * its partition's record.
 *
 * @param tasks every task that may be on the machine, with its attempt
 * @param images images that are probably cached on the machine, inferred from its tasks
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
    Partition partition) {

  /** Whether a machine accepts new tasks, and why not. */
  public enum Condition {
    OK,
    /** The cloud has announced that it will reclaim this spot machine, or it is cordoned. */
    LEAVING,
    /** The worker neither reports nor answers. */
    SILENT,
    /** Tasks fail on it repeatedly: it gets no more tasks and will be returned. */
    SICK
  }

  public Machine withCondition(Condition newCondition) {
    return new Machine(name, type, zone, spot, addr, newCondition, tasks, images, partition);
  }

  public Machine withTasks(Map<TaskId, Integer> newTasks) {
    return new Machine(
        name, type, zone, spot, addr, condition, new LinkedHashMap<>(newTasks), images, partition);
  }

  /** Adds an image that the machine fetches; the most recently used images are kept. */
  public Machine withImage(String image) {
    List<String> newImages = new ArrayList<>(images);
    newImages.remove(image);
    newImages.add(image);
    int from = Math.max(0, newImages.size() - Constants.IMAGES_PER_MACHINE);
    return new Machine(
        name,
        type,
        zone,
        spot,
        addr,
        condition,
        tasks,
        List.copyOf(newImages.subList(from, newImages.size())),
        partition);
  }
}
