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
 * The partitions that returned tasks of a job without placing them. Only a partition's owner knows
 * the reason, such as a machine on which all of them fail, and its free capacity would attract the
 * tasks again and again.
 */
final class PartitionAvoidance {
  private final Clock clock;
  private final StateCache cache;
  private final Membership membership;

  /** Granted tasks that were on no machine at the last update. */
  private final Map<TaskId, Partition> unplaced = new HashMap<>();

  /** By job, the partitions to avoid and the time at which that ends. */
  private final Map<String, Map<Partition, Long>> avoidedUntil = new HashMap<>();

  PartitionAvoidance(Clock clock, StateCache cache, Membership membership) {
    this.clock = clock;
    this.cache = cache;
    this.membership = membership;
  }

  /** The partitions that get tasks of the job only if no other has capacity. */
  Set<Partition> avoidedPartitions(String job) {
    return avoidedUntil.getOrDefault(job, Map.of()).keySet();
  }

  /** Compares the tasks that wait for a machine with those of the previous call. */
  void update() {
    long now = clock.now();
    for (Iterator<Map.Entry<TaskId, Partition>> it = unplaced.entrySet().iterator();
        it.hasNext(); ) {
      Map.Entry<TaskId, Partition> entry = it.next();
      if (!cache.unplaced(entry.getValue()).contains(entry.getKey())) {
        it.remove();
        if (returnedUnplaced(entry.getKey())) {
          avoidedUntil
              .computeIfAbsent(entry.getKey().job(), k -> new HashMap<>())
              .put(entry.getValue(), now + Constants.PARTITION_AVOID_MS);
        }
      }
    }
    for (Partition partition : membership.partitions()) {
      cache.unplaced(partition).forEach(task -> unplaced.put(task, partition));
    }
    avoidedUntil
        .values()
        .forEach(partitions -> partitions.values().removeIf(until -> now >= until));
    avoidedUntil.values().removeIf(Map::isEmpty);
  }

  private boolean returnedUnplaced(TaskId task) {
    StateCache.Entry<Job> job = cache.jobs.get(task.job());
    Progress progress = cache.progress(task.job(), Progress.chunkOf(task.index()));
    return job != null
        && job.value().open()
        && progress != null
        && !progress.isDone(task.index())
        && cache.machinesWith(task).isEmpty();
  }
}
