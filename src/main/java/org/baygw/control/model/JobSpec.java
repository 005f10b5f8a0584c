package org.baygw.control.model;

import java.util.List;
import org.baygw.control.Constants;

/** What a user asked for. Lists and zone are empty or null where anything is allowed. */
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

  /** Urgency, highest first. */
  public enum Priority {
    PRODUCTION,
    HIGH,
    NORMAL,
    LOW
  }

  public boolean checkpoints() {
    return checkpointS > 0;
  }

  /** s a task gets to save when it is stopped. */
  public double graceS() {
    return saveS * Constants.GRACE_SAVES + Constants.GRACE_S;
  }

  public boolean typeAllowed(String type) {
    return types.isEmpty() || types.contains(type);
  }

  /** Most tasks that may be in one zone at a time. */
  public int zoneCap() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
