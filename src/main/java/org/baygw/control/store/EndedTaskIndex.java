package org.baygw.control.store;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import org.baygw.control.Constants;
import org.baygw.control.model.Progress;

/** Ended tasks that the pages of the partitions' records list, by job and page. */
final class EndedTaskIndex {
  private final Map<String, Map<String, PageChange.EndedTasks>> byJob = new HashMap<>();

  /** Replaces what a page lists of a job. */
  void set(String job, String pageKey, PageChange.EndedTasks ended) {
    if (!ended.isEmpty()) {
      byJob.computeIfAbsent(job, k -> new HashMap<>()).put(pageKey, ended);
      return;
    }
    Map<String, PageChange.EndedTasks> byPage = byJob.get(job);
    if (byPage != null && byPage.remove(pageKey) != null && byPage.isEmpty()) {
      byJob.remove(job);
    }
  }

  /** A chunk's stored progress with the ended tasks that pages list. */
  Progress merge(String job, int chunk, Progress stored) {
    Progress merged = stored.copy();
    int from = Progress.firstIndex(chunk);
    int to = from + Constants.CHUNK_TASKS;
    for (PageChange.EndedTasks ended : byJob.getOrDefault(job, Map.of()).values()) {
      BitSet done = ended.done();
      for (int i = done.nextSetBit(from); i >= 0 && i < to; i = done.nextSetBit(i + 1)) {
        merged.complete(i);
      }
      for (Map.Entry<Integer, Integer> requeued : ended.requeued().entrySet()) {
        if (merged.isLive(requeued.getKey(), requeued.getValue())) {
          merged.requeue(requeued.getKey());
        }
      }
    }
    return merged;
  }
}
