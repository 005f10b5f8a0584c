package org.baygw.control.workers;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.baygw.control.model.PartitionRecord;
import org.baygw.control.model.Progress;
import org.baygw.control.store.StateCache;

/**
 * The lists of ended tasks on a page of a partition's record, which keeps them until their job's
 * progress includes them.
 */
final class EndedTasks {
  /** Adds tasks of a job to a page's list of ended tasks. */
  static void add(Map<String, String> texts, String job, TreeMap<Integer, Integer> added) {
    TreeMap<Integer, Integer> all = PartitionRecord.indexes(texts.get(job));
    all.putAll(added);
    texts.put(job, PartitionRecord.indexes(all));
  }

  /**
   * Removes ended tasks that their job's progress includes, or whose job has no progress any more.
   */
  static void removeRecorded(PartitionRecord page, StateCache cache) {
    removeMatching(
        page.completedByJob(),
        (job, index, attempt) -> {
          Progress progress = cache.storedProgress(job, Progress.chunkOf(index));
          return progress == null || progress.isDone(index);
        });
    removeMatching(
        page.requeuedByJob(),
        (job, index, attempt) -> {
          Progress progress = cache.storedProgress(job, Progress.chunkOf(index));
          return progress == null || !progress.isLive(index, attempt);
        });
  }

  private interface Recorded {
    boolean recorded(String job, int index, int attempt);
  }

  private static void removeMatching(Map<String, String> texts, Recorded recorded) {
    for (String job : List.copyOf(texts.keySet())) {
      TreeMap<Integer, Integer> indexes = PartitionRecord.indexes(texts.get(job));
      if (indexes.entrySet().removeIf(e -> recorded.recorded(job, e.getKey(), e.getValue()))) {
        if (indexes.isEmpty()) {
          texts.remove(job);
        } else {
          texts.put(job, PartitionRecord.indexes(indexes));
        }
      }
    }
  }

  private EndedTasks() {}
}
