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
  /** Bytes of a page besides its entries: the names of its fields, and the number of pages. */
  private static final int PAGE_FIELDS_BYTES = 80;

  /** Bytes of a changed page in a write besides its entries: also its key and its condition. */
  private static final int PAGE_FRAME_BYTES = 300;

  /** Stands for a completed task in place of an attempt, and is not written. */
  private static final int COMPLETED = 1;

  final Txn txn;
  final int pages;
  private final Partition partition;
  private final Settings.StateLimits limits;
  private final StateCache cache;
  private final Map<Integer, PartitionRecord> copies = new HashMap<>();
  private final Map<Integer, Integer> sizes = new HashMap<>();
  final Set<Integer> changedPages = new LinkedHashSet<>();
  final Map<String, Map<TaskId, Integer>> tasksOn = new LinkedHashMap<>();
  final Map<Integer, Map<String, TreeMap<Integer, Integer>>> completedTasks = new HashMap<>();
  final Map<Integer, Map<String, TreeMap<Integer, Integer>>> returnedTasks = new HashMap<>();
  final Set<String> handledMachines = new HashSet<>();
  final Set<String> placedOn = new LinkedHashSet<>();
  final List<Runnable> onSuccess = new ArrayList<>();
  PartitionWriter moveTarget;

  /** Jobs of placed tasks, whose keys will be conditions of the write. */
  private final Set<String> placedJobs = new HashSet<>();

  /** Bytes of the changed pages and of the conditions of placed jobs. */
  private int pendingBytes;

  /** Bytes counted for removals from the machine whose changes are being applied. */
  private int reservedForRemovals;

  /** The page that takes tasks which return to the queue without having been on a machine. */
  private int returnPage = -1;

  /**
   * @param claim the stamp of the claim under which the partition is owned
   */
  PartitionDraft(Partition partition, long claim, Settings.StateLimits limits, StateCache cache) {
    this.partition = partition;
    this.limits = limits;
    this.cache = cache;
    this.txn = new Txn().when(Keys.claim(partition.toString()), claim);
    this.pages = cache.pages().count(partition);
  }

  /** Maximum number of pages in one write: its other operations are for jobs and moves. */
  static int maxPages(Settings.StateLimits limits, StateCache cache, Partition partition) {
    int maxPages = (int) Math.ceil(limits.txnOps() * Constants.RECORD_WRITE_SHARE);
    return Math.min(maxPages, cache.pages().count(partition));
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
      if (known > limits.maxValueBytes() * Constants.RECORD_FULL_SHARE) {
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

  /** Whether the write stays within the limit on its size with so many more bytes. */
  boolean hasSpaceFor(int bytes) {
    return txn.bytes() + pendingBytes + bytes <= Constants.MAX_BODY_BYTES;
  }

  /** Whether the page can be changed within the write's limits on pages, bytes and operations. */
  boolean canChange(int page) {
    if (changedPages.contains(page)) {
      return hasSpaceFor(Constants.RECORD_SPARE_BYTES);
    }
    int pageBytes = size(page) + PAGE_FRAME_BYTES;
    boolean fits =
        changedPages.size() < maxPages(limits, cache, partition)
            && pendingBytes + pageBytes < Constants.MAX_BODY_BYTES * Constants.RECORD_WRITE_SHARE
            && hasSpaceFor(pageBytes + Constants.RECORD_SPARE_BYTES);
    return writes() < limits.txnOps() && (changedPages.isEmpty() || fits);
  }

  void markChanged(int page) {
    if (changedPages.add(page)) {
      pendingBytes += size(page) + PAGE_FRAME_BYTES;
    }
  }

  /** Counts bytes that this write adds to a page. */
  void grow(int page, int bytes) {
    markChanged(page);
    sizes.put(page, size(page) + bytes);
    pendingBytes += bytes;
  }

  private boolean pageHasSpaceFor(int page, int bytes) {
    return size(page) + bytes <= limits.maxValueBytes() - PAGE_FIELDS_BYTES && hasSpaceFor(bytes);
  }

  /** Sets the number of pages of the record, which is stored on the first page. */
  void setPages(int count) {
    copies.put(0, editable(0).withPageCount(count));
  }

  @Override
  public boolean hasSpace(String machine) {
    int page = pageOf(machine);
    return size(page) < limits.maxValueBytes() * Constants.RECORD_FULL_SHARE && canChange(page);
  }

  @Override
  public boolean reserve(String machine, String job, int bytes) {
    int page = pageOf(machine);
    boolean newlyChanged = !changedPages.contains(page);
    grow(page, bytes);
    if (placedJobs.add(job)) {
      pendingBytes += Txn.conditionBytes(Keys.job(job));
    }
    return newlyChanged || !hasSpace(machine);
  }

  @Override
  public boolean reserveReturned(TaskId task, int attempt) {
    int bytes = endedBytes(task, attempt);
    if (returnPage < 0 || !pageHasSpaceFor(returnPage, bytes)) {
      returnPage = smallestPage();
    }
    boolean fits = canChange(returnPage) && pageHasSpaceFor(returnPage, bytes);
    if (fits) {
      addReturned(returnPage, task, attempt);
    }
    return fits;
  }

  Map<TaskId, Integer> editableTasks(String machine) {
    markChanged(pageOf(machine));
    return tasksOn.computeIfAbsent(machine, k -> new LinkedHashMap<>(cache.tasksOn(machine)));
  }

  /** The tasks on a machine, with what this write changes. */
  Map<TaskId, Integer> tasks(String machine) {
    Map<TaskId, Integer> changed = tasksOn.get(machine);
    return changed == null ? cache.tasksOn(machine) : changed;
  }

  /**
   * Removes an ended task from its machine, if the page and the write have space for that: the
   * machine's list of tasks may become longer, and the task moves to a list of ended tasks.
   */
  boolean removeTask(String machine, TaskId task) {
    Map<TaskId, Integer> tasks = tasks(machine);
    int attempt = tasks.get(task);
    int page = pageOf(machine);
    int listGrowth = splitsRange(tasks, task) ? 2 * indexBytes(task, attempt) : 1;
    if (!pageHasSpaceFor(page, listGrowth + endedBytes(task, attempt))) {
      return false;
    }
    grow(page, listGrowth);
    reservedForRemovals += listGrowth;
    editableTasks(machine).remove(task);
    return true;
  }

  /** Whether the task is in the middle of a range of indexes, which its removal splits. */
  private static boolean splitsRange(Map<TaskId, Integer> tasks, TaskId task) {
    Integer attempt = tasks.get(task);
    return attempt.equals(tasks.get(new TaskId(task.job(), task.index() - 1)))
        && attempt.equals(tasks.get(new TaskId(task.job(), task.index() + 1)));
  }

  /** Most bytes of a task in a list of indexes, such as 1234*2 with a comma. */
  private static int indexBytes(TaskId task, int attempt) {
    int bytes = String.valueOf(task.index()).length() + 1;
    return attempt == 1 ? bytes : bytes + 1 + String.valueOf(attempt).length();
  }

  /** Most bytes that a task adds to a page's lists of ended tasks. */
  private static int endedBytes(TaskId task, int attempt) {
    return indexBytes(task, attempt) + task.job().length() + Constants.RECORD_ENTRY_BYTES;
  }

  /** Counts the actual size of a machine's list of tasks, in place of what removals reserved. */
  void tasksRemoved(String machine) {
    int page = pageOf(machine);
    Map<TaskId, Integer> tasks = tasks(machine);
    String before = cache.pages().get(partition, page).tasksByMachine().getOrDefault(machine, "");
    int growth =
        tasks.isEmpty()
            ? -before.length() - machine.length() - Constants.RECORD_ENTRY_BYTES
            : PartitionRecord.tasks(tasks).length() - before.length();
    grow(page, growth - reservedForRemovals);
    reservedForRemovals = 0;
  }

  /** Adds a completed task to a page. */
  void addCompleted(int page, TaskId task) {
    boolean listed = cache.pages().get(partition, page).completedByJob().containsKey(task.job());
    addEnded(completedTasks, page, task, COMPLETED, listed);
  }

  /** Adds a task that ended without completing, or was on no machine, to a page. */
  void addReturned(int page, TaskId task, int attempt) {
    boolean listed = cache.pages().get(partition, page).requeuedByJob().containsKey(task.job());
    addEnded(returnedTasks, page, task, attempt, listed);
  }

  private void addEnded(
      Map<Integer, Map<String, TreeMap<Integer, Integer>>> ended,
      int page,
      TaskId task,
      int value,
      boolean jobListed) {
    Map<String, TreeMap<Integer, Integer>> byJob =
        ended.computeIfAbsent(page, k -> new HashMap<>());
    boolean listed = jobListed || byJob.containsKey(task.job());
    grow(page, listed ? indexBytes(task, value) : endedBytes(task, value));
    byJob.computeIfAbsent(task.job(), k -> new TreeMap<>()).put(task.index(), value);
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
    completedTasks.forEach(
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
