package org.baygw.control.workers;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.baygw.control.Constants;
import org.baygw.control.model.PartitionRecord;
import org.baygw.control.model.Progress;
import org.baygw.control.store.StateCache;

/**
 * The ended tasks on a page of a partition's record: they stand there until their job's progress
 * has them.
 */
final class EndedTasks {
  /** Adds tasks of a job to those that a page has already. */
  static void add(Map<String, String> texts, String job, TreeMap<Integer, Integer> more) {
    TreeMap<Integer, Integer> all = PartitionRecord.indexes(texts.get(job));
    all.putAll(more);
    texts.put(job, PartitionRecord.indexes(all));
  }

  /** Forgets ended tasks that their job's progress has taken over, or that need none any more. */
  static void forgetKnown(PartitionRecord r, StateCache view) {
    forget(
        r.done(),
        (job, i, attempt) -> {
          Progress p = view.storedProgress(job, i / Constants.CHUNK_TASKS);
          return p == null || p.done.get(i);
        });
    forget(
        r.back(),
        (job, i, attempt) -> {
          Progress p = view.storedProgress(job, i / Constants.CHUNK_TASKS);
          return p == null || !p.isLive(i, attempt);
        });
  }

  private interface Known {
    boolean known(String job, int index, int attempt);
  }

  private static void forget(Map<String, String> texts, Known known) {
    for (String job : List.copyOf(texts.keySet())) {
      TreeMap<Integer, Integer> list = PartitionRecord.indexes(texts.get(job));
      if (list.entrySet().removeIf(e -> known.known(job, e.getKey(), e.getValue()))) {
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
