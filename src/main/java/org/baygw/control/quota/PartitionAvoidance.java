package org.baygw.control.quota;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.baygw.control.Constants;
import org.baygw.control.core.Clock;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Job;
import org.baygw.control.model.Partition;
import org.baygw.control.model.Progress;
import org.baygw.control.model.TaskId;
import org.baygw.control.store.StateCache;

/**
 * Which partitions gave a job's tasks back without having placed them. Only the partition's owner
 * knows why, such as a machine that fails them all, and its room would draw them there for ever.
 */
final class PartitionAvoidance {
  private final Clock clock;
  private final StateCache view;
  private final Membership membership;

  /** Tasks that were granted and on no machine yet when last looked at. */
  private final Map<TaskId, Partition> waiting = new HashMap<>();

  /** By job, the partitions to avoid and until when. */
  private final Map<String, Map<Partition, Long>> avoided = new HashMap<>();

  PartitionAvoidance(Clock clock, StateCache view, Membership membership) {
    this.clock = clock;
    this.view = view;
    this.membership = membership;
  }

  /** The partitions that get tasks of the job only if no other has room. */
  Set<Partition> of(String job) {
    return avoided.getOrDefault(job, Map.of()).keySet();
  }

  /** Compares what waits for a machine now with what did when this was last called. */
  void update() {
    long now = clock.now();
    for (Iterator<Map.Entry<TaskId, Partition>> it = waiting.entrySet().iterator();
        it.hasNext(); ) {
      Map.Entry<TaskId, Partition> entry = it.next();
      if (!view.unplaced(entry.getValue()).contains(entry.getKey())) {
        it.remove();
        if (cameBackUnplaced(entry.getKey())) {
          avoided
              .computeIfAbsent(entry.getKey().job(), k -> new HashMap<>())
              .put(entry.getValue(), now + Constants.AVOID_MS);
        }
      }
    }
    for (Partition part : membership.partitions()) {
      view.unplaced(part).forEach(task -> waiting.put(task, part));
    }
    avoided.values().forEach(partitions -> partitions.values().removeIf(until -> now >= until));
    avoided.values().removeIf(Map::isEmpty);
  }

  private boolean cameBackUnplaced(TaskId task) {
    StateCache.Entry<Job> job = view.jobs.get(task.job());
    Progress progress = view.progress(task.job(), task.index() / Constants.CHUNK_TASKS);
    return job != null
        && job.value().open()
        && progress != null
        && !progress.done.get(task.index())
        && !view.taskMachines.containsKey(task);
  }
}
