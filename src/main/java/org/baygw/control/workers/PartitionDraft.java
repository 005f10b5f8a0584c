package org.baygw.control.workers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.model.Partition;
import org.baygw.control.model.PartitionRecord;
import org.baygw.control.model.Records;
import org.baygw.control.model.TaskId;
import org.baygw.control.store.Keys;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Txn;

/**
 * A write being prepared: changed pages of the record, and the other keys that are written with
 * them. Pages are copied only when needed, so that the cost of a write depends on what it changes.
 */
final class PartitionDraft implements BestFitPlacer.RecordSpace {
  final Txn txn;
  final int pages;
  private final Partition partition;
  private final Settings settings;
  private final StateCache cache;
  private final Map<Integer, PartitionRecord> copies = new HashMap<>();
  private final Map<Integer, Integer> sizes = new HashMap<>();
  final Set<Integer> changedPages = new LinkedHashSet<>();
  final Map<String, Map<TaskId, Integer>> tasksOn = new LinkedHashMap<>();
  final Map<Integer, Map<String, TreeMap<Integer, Integer>>> doneTasks = new HashMap<>();
  final Map<Integer, Map<String, TreeMap<Integer, Integer>>> returnedTasks = new HashMap<>();
  final Set<String> handledMachines = new HashSet<>();
  final Set<String> placedOn = new LinkedHashSet<>();
  final List<Runnable> onSuccess = new ArrayList<>();
  PartitionWriter moveTarget;

  /**
   * @param claim the stamp of the claim under which the partition is owned
   */
  PartitionDraft(Partition partition, long claim, Settings settings, StateCache cache) {
    this.partition = partition;
    this.settings = settings;
    this.cache = cache;
    this.txn = new Txn().when(Keys.claim(partition.toString()), claim);
    this.pages = cache.pages().count(partition);
  }

  /** Maximum number of pages in one write: its other operations are for jobs and moves. */
  static int maxPages(Settings settings, StateCache cache, Partition partition) {
    int maxPages = (int) Math.ceil(settings.state().txnOps() * Constants.RECORD_WRITE_SHARE);
    return Math.min(maxPages, cache.pages().count(partition));
  }

  /** Limit of a page in bytes. */
  static int pageLimitBytes(Settings settings) {
    return (int) (settings.state().valueKb() * 1024);
  }

  int pageOf(String machine) {
    return PartitionRecord.pageOf(machine, pages);
  }

  /** The editable copy of a page, without ended tasks that their progress includes. */
  PartitionRecord editable(int page) {
    PartitionRecord copy = copies.get(page);
    if (copy == null) {
      copy = cache.pages().get(partition, page).copy();
      EndedTasks.removeRecorded(copy, cache);
      copies.put(page, copy);
    }
    return copy;
  }

  /** Size of a page in bytes, with what this write adds to it. */
  int size(int page) {
    Integer known = sizes.get(page);
    if (known == null) {
      known = cache.pages().bytes(partition, page);
      if (known > pageLimitBytes(settings) * Constants.RECORD_FULL_SHARE) {
        known = editable(page).size(); // the copy leaves out ended tasks that progress includes
      }
      sizes.put(page, known);
    }
    return known;
  }

  /** The page with the fewest bytes, among the changed ones if there are any. */
  int smallestPage() {
    int best = -1;
    for (int page = 0; page < pages; page++) {
      if ((changedPages.isEmpty() || changedPages.contains(page))
          && (best < 0 || size(page) < size(best))) {
        best = page;
      }
    }
    return best;
  }

  int writes() {
    return txn.writeCount() + changedPages.size();
  }

  boolean changed() {
    return writes() > 0;
  }

  /** Whether the page is in this write or fits its limits on pages, bytes and operations. */
  boolean canChange(int page) {
    if (changedPages.contains(page)) {
      return true;
    }
    int bytes = size(page);
    for (int other : changedPages) {
      bytes += size(other);
    }
    return changedPages.size() < maxPages(settings, cache, partition)
        && bytes < Constants.MAX_BODY_BYTES * Constants.RECORD_WRITE_SHARE
        && writes() < settings.state().txnOps();
  }

  void markChanged(int page) {
    changedPages.add(page);
  }

  /** Sets the number of pages of the record, which is stored on the first page. */
  void setPages(int count) {
    copies.put(0, editable(0).withPageCount(count));
  }

  @Override
  public boolean hasSpace(String machine) {
    int page = pageOf(machine);
    return size(page) < pageLimitBytes(settings) * Constants.RECORD_FULL_SHARE && canChange(page);
  }

  @Override
  public boolean reserve(String machine, int bytes) {
    int page = pageOf(machine);
    boolean newlyChanged = changedPages.add(page);
    sizes.put(page, size(page) + bytes);
    return newlyChanged || !hasSpace(machine);
  }

  Map<TaskId, Integer> editableTasks(String machine) {
    markChanged(pageOf(machine));
    return tasksOn.computeIfAbsent(machine, k -> new LinkedHashMap<>(cache.tasksOn(machine)));
  }

  void addEnded(
      Map<Integer, Map<String, TreeMap<Integer, Integer>>> ended,
      int page,
      TaskId task,
      int value) {
    markChanged(page);
    ended
        .computeIfAbsent(page, k -> new HashMap<>())
        .computeIfAbsent(task.job(), k -> new TreeMap<>())
        .put(task.index(), value);
  }

  /** Adds the changed pages to the transaction. */
  Txn buildTxn() {
    tasksOn.forEach(
        (machine, tasks) -> {
          PartitionRecord record = editable(pageOf(machine));
          if (tasks.isEmpty()) {
            record.tasksByMachine().remove(machine);
          } else {
            record.tasksByMachine().put(machine, PartitionRecord.tasks(tasks));
          }
        });
    doneTasks.forEach(
        (page, m) ->
            m.forEach((job, l) -> EndedTasks.add(editable(page).completedByJob(), job, l)));
    returnedTasks.forEach(
        (page, m) -> m.forEach((job, l) -> EndedTasks.add(editable(page).requeuedByJob(), job, l)));
    // The first page holds the number of pages, which determines the page of each machine.
    txn.when(Keys.record(partition, 0), cache.stamp(Keys.record(partition, 0)));
    for (int page : changedPages) {
      String key = Keys.record(partition, page);
      txn.when(key, cache.stamp(key)).put(key, Records.partitionRecord(editable(page)));
    }
    return txn;
  }
}
