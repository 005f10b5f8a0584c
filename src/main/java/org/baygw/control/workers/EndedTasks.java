package org.baygw.control.workers;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.baygw.control.Constants;
import org.baygw.control.model.PartitionRecord;
import org.baygw.control.model.Progress;
import org.baygw.control.store.StateCache;

/**
 * The lists of ended tasks on a page of a partition's record, which keeps them until their job's
 * progress includes them.
 */
final class EndedTasks {
  /** Adds tasks of a job to a page's list of ended tasks. */
  static void add(Map<String, String> texts, String job, TreeMap<Integer, Integer> more) {
    TreeMap<Integer, Integer> all = PartitionRecord.indexes(texts.get(job));
    all.putAll(more);
    texts.put(job, PartitionRecord.indexes(all));
  }

  /**
   * Removes ended tasks that their job's progress includes, or whose job has no progress any more.
   */
  static void removeRecorded(PartitionRecord r, StateCache view) {
    removeMatching(
        r.done(),
        (job, i, attempt) -> {
          Progress p = view.written(job, i / Constants.CHUNK_TASKS);
          return p == null || p.done.get(i);
        });
    removeMatching(
        r.back(),
        (job, i, attempt) -> {
          Progress p = view.written(job, i / Constants.CHUNK_TASKS);
          return p == null || !p.isLive(i, attempt);
        });
  }

  private interface Recorded {
    boolean recorded(String job, int index, int attempt);
  }

  private static void removeMatching(Map<String, String> texts, Recorded known) {
    for (String job : List.copyOf(texts.keySet())) {
      TreeMap<Integer, Integer> list = PartitionRecord.indexes(texts.get(job));
      if (list.entrySet().removeIf(e -> known.recorded(job, e.getKey(), e.getValue()))) {
        if (list.isEmpty()) {
          texts.remove(job);
        } else {
          texts.put(job, PartitionRecord.indexes(list));
        }
      }
    }
  }

  private EndedTasks() {}
}
