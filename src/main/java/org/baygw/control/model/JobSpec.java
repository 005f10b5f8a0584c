package org.baygw.control.model;

import java.util.List;
import org.baygw.control.Constants;

/**
 * A job as a user requested it.
 *
 * @param types allowed machine types; empty if any type is allowed
 * @param zone required zone; null if any zone is allowed
 * @param deadlineS null if the job has no deadline
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    boolean service,
    Priority priority,
    int tasks,
    double cpus,
    double gpus,
    double memoryGb,
    String image,
    double imageGb,
    List<String> types,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spot,
    double estimateS,
    double checkpointS,
    double saveS,
    Double deadlineS) {

  /** Priorities, highest first. */
  public enum Priority {
    PRODUCTION,
    HIGH,
    NORMAL,
    LOW
  }

  public boolean checkpoints() {
    return checkpointS > 0;
  }

  /** Seconds that a stopped task is given to save its state. */
  public double graceS() {
    return saveS * Constants.GRACE_SAVE_FACTOR + Constants.GRACE_S;
  }

  public boolean typeAllowed(String type) {
    return types.isEmpty() || types.contains(type);
  }

  /** The maximum number of tasks in one zone at a time. */
  public int maxTasksPerZone() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
