package org.baygw.control.quota;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeMap;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Partition;
import org.baygw.control.model.PartitionRecord;
import org.baygw.control.model.Progress;
import org.baygw.control.store.Keys;
import org.baygw.control.store.ProgressCodec;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;

/**
 * Writes ended tasks from a partition's record into the progress of their jobs where the record
 * grows large. Elsewhere they need no write of their own: the job's next grant includes them, or
 * the job is done first.
 */
final class ProgressFolding {
  private final Settings settings;
  private final StateCache cache;
  private final Membership membership;
  private final JobWrites writes;
  private final ProgressCodec codec;
  private final int limitBytes;

  ProgressFolding(
      Settings settings,
      StateCache cache,
      Membership membership,
      JobWrites writes,
      ProgressCodec codec) {
    this.settings = settings;
    this.codec = codec;
    this.cache = cache;
    this.membership = membership;
    this.writes = writes;
    this.limitBytes = (int) (settings.state().maxValueBytes() * Constants.RECORD_ENDED_SHARE);
  }

  void run() {
    for (String job : jobsInLargeRecords()) {
      TreeMap<Integer, StateCache.Entry<Progress>> chunks = cache.progress.get(job);
      boolean due =
          cache.jobs.containsKey(job)
              && chunks != null
              && !writes.hasWriteInFlight(job)
              && writes.writesInFlight() <= Constants.FOLD_MAX_WRITES;
      if (due) {
        Txn txn = fold(job, chunks);
        if (txn.writeCount() > 0) {
          writes.write(job, Store.Urgency.GRANT, txn);
        }
      }
    }
  }

  private Set<String> jobsInLargeRecords() {
    Set<String> jobs = new LinkedHashSet<>();
    for (Partition partition : membership.partitions()) {
      for (int i = 0; i < cache.pages().count(partition); i++) {
        if (cache.pages().endedBytes(partition, i) > limitBytes) {
          PartitionRecord page = cache.pages().get(partition, i);
          jobs.addAll(page.completedByJob().keySet());
          jobs.addAll(page.requeuedByJob().keySet());
        }
      }
    }
    return jobs;
  }

  private Txn fold(String job, TreeMap<Integer, StateCache.Entry<Progress>> chunks) {
    Txn txn = new Txn().when(Keys.claim(Keys.LEADER), membership.leaderClaimStamp());
    chunks.forEach(
        (chunk, entry) -> {
          Progress written = cache.storedProgress(job, chunk);
          String key = Keys.progress(job, chunk);
          if (written != null
              && differs(written, entry.value())
              && txn.hasSpaceFor(key, codec.maxBytes(chunk), settings.state())) {
            txn.when(key, cache.stamp(key)).put(key, codec.encode(chunk, entry.value()));
          }
        });
    return txn;
  }

  private static boolean differs(Progress written, Progress current) {
    return written.live.size() != current.live.size() || !written.sameDone(current);
  }
}
