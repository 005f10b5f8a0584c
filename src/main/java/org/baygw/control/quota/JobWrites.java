package org.baygw.control.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.baygw.control.Constants;
import org.baygw.control.model.Partition;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;

/**
 * The scheduler's writes in flight, at most one per job. Until the outcome of a write is certain,
 * the tasks that it grants count against their team's limit and their capacity counts as taken, or
 * the next pass would grant the same capacity again.
 */
final class JobWrites {
  private final Store store;
  private final Runnable onSettled;

  /** Number of tasks that a job's write grants, 0 for writes that grant none. */
  private final Map<String, Integer> grantedTasks = new HashMap<>();

  /** Number of tasks that a job's write grants to each partition. */
  private final Map<String, Map<Partition, Integer>> grantsByPartition = new HashMap<>();

  /**
   * @param onSettled called whenever the outcome of a write is certain
   */
  JobWrites(Store store, Runnable onSettled) {
    this.store = store;
    this.onSettled = onSettled;
  }

  boolean hasWriteInFlight(String job) {
    return grantedTasks.containsKey(job);
  }

  /** Number of tasks that the job's write in flight grants; 0 if there is none. */
  int grantsInFlight(String job) {
    return grantedTasks.getOrDefault(job, 0);
  }

  int writesInFlight() {
    return grantedTasks.size();
  }

  /** Adds the tasks that writes in flight grant to a partition to the counts by job. */
  void addGrantsTo(Partition partition, Map<String, Integer> tasksByJob) {
    grantsByPartition.forEach(
        (job, counts) -> tasksByJob.merge(job, counts.getOrDefault(partition, 0), Integer::sum));
  }

  /** Sends a write that grants tasks. */
  void grant(String job, Map<Partition, Integer> tasks, Txn txn) {
    grantsByPartition.put(job, tasks);
    int count = tasks.values().stream().mapToInt(n -> n).sum();
    write(job, count, Store.Urgency.GRANT, txn, ok -> {});
  }

  /** Sends a write that grants no tasks. */
  void write(String job, Store.Urgency urgency, Txn txn) {
    write(job, 0, urgency, txn, succeeded -> {});
  }

  /** Sends a write that grants no tasks; the callback gets whether the write succeeded. */
  void write(String job, Store.Urgency urgency, Txn txn, Consumer<Boolean> onComplete) {
    write(job, 0, urgency, txn, onComplete);
  }

  private void write(
      String job, int count, Store.Urgency urgency, Txn txn, Consumer<Boolean> onComplete) {
    grantedTasks.put(job, count);
    store.txnWithRetry(
        urgency,
        txn,
        Constants.STATE_TIMEOUT_MS,
        succeeded -> {
          grantedTasks.remove(job);
          grantsByPartition.remove(job);
          onComplete.accept(succeeded);
          onSettled.run();
        });
  }
}
