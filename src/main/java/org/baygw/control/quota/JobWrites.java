package org.baygw.control.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.baygw.control.Constants;
import org.baygw.control.model.Partition;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;

/**
 * The scheduler's writes that are under way, one for each job at most. What they grant counts until
 * it is certain how they ended: the tasks against their team's limit, and the room that they take,
 * or the next pass would give the same room away again.
 */
final class JobWrites {
  private final Store store;
  private final Runnable settled;

  /** Tasks that the write of a job grants. */
  private final Map<String, Integer> grants = new HashMap<>();

  /** The partitions to which it grants them. */
  private final Map<String, Map<Partition, Integer>> partitions = new HashMap<>();

  /**
   * @param settled called whenever a write has ended
   */
  JobWrites(Store store, Runnable settled) {
    this.store = store;
    this.settled = settled;
  }

  boolean busy(String job) {
    return grants.containsKey(job);
  }

  /** Tasks that a write under way grants, 0 where there is none. */
  int granting(String job) {
    return grants.getOrDefault(job, 0);
  }

  int count() {
    return grants.size();
  }

  /** Adds the tasks that are being granted to a partition to a count of tasks by job. */
  void addGrantsTo(Partition partition, Map<String, Integer> tasksByJob) {
    partitions.forEach(
        (job, counts) -> tasksByJob.merge(job, counts.getOrDefault(partition, 0), Integer::sum));
  }

  /** A write that grants tasks. */
  void grant(String job, Map<Partition, Integer> tasks, Txn txn) {
    partitions.put(job, tasks);
    int count = tasks.values().stream().mapToInt(n -> n).sum();
    write(job, count, Store.Urgency.GRANT, txn, ok -> {});
  }

  /** A write that grants nothing. */
  void write(String job, Store.Urgency urgency, Txn txn) {
    write(job, 0, urgency, txn, ok -> {});
  }

  /** The same, and what to do when it has ended. */
  void write(String job, Store.Urgency urgency, Txn txn, Consumer<Boolean> then) {
    write(job, 0, urgency, txn, then);
  }

  private void write(
      String job, int count, Store.Urgency urgency, Txn txn, Consumer<Boolean> then) {
    grants.put(job, count);
    store.txnWithRetry(
        urgency,
        txn,
        Constants.STATE_TIMEOUT_MS,
        ok -> {
          grants.remove(job);
          partitions.remove(job);
          then.accept(ok);
          settled.run();
        });
  }
}
