package org.baygw.control.workers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.model.Job;
import org.baygw.control.model.Machine;
import org.baygw.control.model.Partition;
import org.baygw.control.model.PartitionRecord;
import org.baygw.control.model.Progress;
import org.baygw.control.model.Records;
import org.baygw.control.model.TaskId;
import org.baygw.control.placement.MachineCapacity;
import org.baygw.control.store.Keys;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The only writer of a partition's record under one claim. Each write combines all changes since
 * the previous one: tasks proved to have ended, tasks placed, and conditions of machines. A task is
 * in the record before its launch is sent and until it is proved to have left its machine.
 */
final class PartitionWriter {
  /** Access to worker sessions and to the writers of other partitions. */
  interface Context {
    /** The session of the worker on one of the partition's machines, or null. */
    WorkerSession session(String machine);

    /** The writer of a partition, or null if this controller does not own it. */
    PartitionWriter writer(Partition part);

    /** Called once tasks have been durably placed on the machines. */
    void placed(Set<String> machines);
  }

  private static final Logger LOG = LoggerFactory.getLogger(PartitionWriter.class);

  /** Writes of a move beside its own page: the job's progress and another partition's page. */
  private static final int MOVE_WRITES = 2;

  /** Conditions of a placement beside those on pages and jobs: the list of leaving machines. */
  private static final int OTHER_CONDITIONS = 2;

  final Partition partition;
  final long claim;
  private final Clock clock;
  private final Settings settings;
  private final Store store;
  private final StateCache view;
  private final TerminationEvidence evidence;
  private final FirstFitPlacer placer;
  private final ConsolidationRound rounds;
  private final Context context;
  private final Set<String> dirty = new LinkedHashSet<>();

  /** Tasks that a write in progress adds to machines or removes from them. */
  private final Set<TaskId> tasksInWrite = new HashSet<>();

  private boolean queued;
  private boolean writing;
  private long lastWrite = Long.MIN_VALUE / 2;
  private long nextPlacement;
  private long seenChanges = -1;

  /**
   * A write being prepared: changed pages of the record, and the other keys that are written with
   * them. Pages are copied only when needed, so that the cost of a write depends on what it
   * changes.
   */
  private final class Draft implements FirstFitPlacer.RecordSpace {
    final Txn txn = new Txn().when(Keys.claim(partition.toString()), claim);
    final int pages = view.pages().count(partition);
    private final Map<Integer, PartitionRecord> copies = new HashMap<>();
    private final Map<Integer, Integer> sizes = new HashMap<>();
    final Set<Integer> changedPages = new LinkedHashSet<>();
    final Map<String, Map<TaskId, Integer>> taskLists = new LinkedHashMap<>();
    final Map<Integer, Map<String, TreeMap<Integer, Integer>>> doneTasks = new HashMap<>();
    final Map<Integer, Map<String, TreeMap<Integer, Integer>>> returnedTasks = new HashMap<>();
    final Set<String> handledMachines = new HashSet<>();
    final Set<String> placedOn = new LinkedHashSet<>();
    final List<Runnable> onSuccess = new ArrayList<>();
    PartitionWriter moveTarget;

    int pageOf(String machine) {
      return PartitionRecord.pageOf(machine, pages);
    }

    /** The editable copy of a page, without ended tasks that their progress includes. */
    PartitionRecord editable(int page) {
      PartitionRecord copy = copies.get(page);
      if (copy == null) {
        copy = view.pages().get(partition, page).copy();
        EndedTasks.removeRecorded(copy, view);
        copies.put(page, copy);
      }
      return copy;
    }

    /** Size of a page in bytes, with what this write adds to it. */
    int size(int page) {
      Integer known = sizes.get(page);
      if (known == null) {
        known = view.pages().bytes(partition, page);
        if (known > pageLimitBytes() * Constants.RECORD_FULL_SHARE) {
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
      return txn.writes() + changedPages.size();
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
      return changedPages.size() < maxPagesPerWrite()
          && bytes < Constants.MAX_BODY * Constants.RECORD_WRITE_SHARE
          && writes() < settings.state().txnOps();
    }

    void markChanged(int page) {
      changedPages.add(page);
    }

    /** Sets the number of pages of the record, which is stored on the first page. */
    void setPages(int count) {
      copies.put(0, editable(0).withPages(count));
    }

    @Override
    public boolean hasSpace(String machine) {
      int page = pageOf(machine);
      return size(page) < pageLimitBytes() * Constants.RECORD_FULL_SHARE && canChange(page);
    }

    @Override
    public boolean reserve(String machine, int bytes) {
      int page = pageOf(machine);
      boolean fresh = changedPages.add(page);
      sizes.put(page, size(page) + bytes);
      return fresh || !hasSpace(machine);
    }

    Map<TaskId, Integer> editableTasks(String machine) {
      markChanged(pageOf(machine));
      return taskLists.computeIfAbsent(machine, k -> new LinkedHashMap<>(view.on(machine)));
    }

    void addEnded(
        Map<Integer, Map<String, TreeMap<Integer, Integer>>> ended, int page, TaskId t, int value) {
      markChanged(page);
      ended
          .computeIfAbsent(page, k -> new HashMap<>())
          .computeIfAbsent(t.job(), k -> new TreeMap<>())
          .put(t.index(), value);
    }

    /** Adds the changed pages to the transaction. */
    Txn buildTxn() {
      taskLists.forEach(
          (machine, tasks) -> {
            PartitionRecord r = editable(pageOf(machine));
            if (tasks.isEmpty()) {
              r.on().remove(machine);
            } else {
              r.on().put(machine, PartitionRecord.tasks(tasks));
            }
          });
      doneTasks.forEach(
          (page, m) -> m.forEach((job, l) -> EndedTasks.add(editable(page).done(), job, l)));
      returnedTasks.forEach(
          (page, m) -> m.forEach((job, l) -> EndedTasks.add(editable(page).back(), job, l)));
      // The first page holds the number of pages, which determines the page of each machine.
      txn.when(Keys.record(partition, 0), view.stamp(Keys.record(partition, 0)));
      for (int page : changedPages) {
        String key = Keys.record(partition, page);
        txn.when(key, view.stamp(key)).put(key, Records.record(editable(page)));
      }
      return txn;
    }
  }

  /** Maximum number of pages in one write: its other operations are for jobs and moves. */
  private int maxPagesPerWrite() {
    int most = (int) Math.ceil(settings.state().txnOps() * Constants.RECORD_WRITE_SHARE);
    return Math.min(most, view.pages().count(partition));
  }

  PartitionWriter(
      Partition part,
      long claim,
      Clock clock,
      Settings settings,
      Store store,
      StateCache view,
      TerminationEvidence evidence,
      FirstFitPlacer placer,
      ConsolidationRound rounds,
      Context owner) {
    this.partition = part;
    this.claim = claim;
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.view = view;
    this.evidence = evidence;
    this.placer = placer;
    this.rounds = rounds;
    this.context = owner;
  }

  /** Marks a machine on which tasks may have ended or whose condition has changed. */
  void dirty(String machine) {
    dirty.add(machine);
  }

  /** Whether a write in progress involves the task: launches and forgets wait for its outcome. */
  boolean inWrite(TaskId t) {
    return tasksInWrite.contains(t);
  }

  /** Starts a write if there are changes and no write is in progress. */
  void writeIfDue() {
    long now = clock.now();
    if (queued || writing) {
      return;
    }
    boolean place = !view.unplaced(partition).isEmpty() && now >= nextPlacement;
    if (dirty.isEmpty() && !place) {
      return;
    }
    long pace =
        Constants.RECORD_WRITE_INTERVAL_MS
            + Constants.RECORD_WRITE_INTERVAL_PER_PAGE_MS * (maxPagesPerWrite() - 1);
    if (store.scarce() && now < lastWrite + pace) {
      return; // changes until then share the write
    }
    queued = true;
    Draft[] made = new Draft[1];
    store.settle(
        Store.Urgency.LAUNCH,
        () -> {
          made[0] = writing ? null : buildDraft();
          if (made[0] == null) {
            return null;
          }
          writing = true;
          lastWrite = clock.now();
          return made[0].txn;
        },
        ok -> {
          queued = false;
          if (made[0] != null) {
            writeFinished(made[0], ok);
          }
        });
  }

  private void writeFinished(Draft d, boolean ok) {
    writing = false;
    tasksInWrite.clear();
    nextPlacement = 0;
    if (d.moveTarget != null) {
      d.moveTarget.writing = false;
      d.moveTarget.tasksInWrite.clear();
    }
    if (ok) {
      d.onSuccess.forEach(Runnable::run);
      context.placed(d.placedOn);
    } else {
      dirty.addAll(d.handledMachines); // to be checked again
    }
  }

  private int pageLimitBytes() {
    return (int) (settings.state().valueKb() * 1024);
  }

  private Draft buildDraft() {
    tasksInWrite.clear();
    Draft split = splitPages();
    if (split != null) {
      return split;
    }
    Draft d = new Draft();
    for (String name : List.copyOf(dirty)) {
      int page = d.pageOf(name);
      if (d.size(page) < pageLimitBytes() - Constants.RECORD_SPARE_BYTES
          && d.canChange(page)
          && d.handledMachines.size() < Constants.MACHINES_PER_WRITE) {
        dirty.remove(name);
        d.handledMachines.add(name);
        applyMachineChanges(d, name);
      }
    }
    completeJobs(d);
    placeTasks(d);
    if (!d.changed()) {
      nextPlacement = clock.now() + Constants.PLACEMENT_RETRY_MS;
      tasksInWrite.clear();
      return null;
    }
    d.buildTxn();
    return d;
  }

  /**
   * Prepares a write that splits pages in order, as many as it can hold and until their number has
   * doubled; null if no split is needed. All changed pages are written together under the claim,
   * with the number of pages on the first one, so that readers find each machine on the page that
   * the number determines: before the write, after it, and if this controller fails at any time.
   * The write contains nothing else. The number of pages has no upper bound.
   */
  private Draft splitPages() {
    if (!splitNeeded()) {
      return null;
    }
    int before = view.pages().count(partition);
    Draft d = new Draft();
    d.markChanged(0);
    int after = before;
    int bytes = d.size(0);
    while (after < 2 * before) {
      int page = PartitionRecord.nextSplit(after);
      int writes = d.changedPages.contains(page) ? 1 : 2;
      bytes += d.changedPages.contains(page) ? 0 : d.size(page);
      if (after > before
          && (d.writes() + writes > settings.state().txnOps()
              || bytes > Constants.MAX_BODY * Constants.RECORD_WRITE_SHARE)) {
        break;
      }
      d.markChanged(page);
      d.markChanged(after);
      moveMachines(d.editable(page), d.editable(after), after, after + 1);
      after++;
    }
    d.setPages(after);
    d.buildTxn();
    LOG.info("{}: splitting its record into {} pages", partition, after);
    return d;
  }

  /**
   * Whether to split pages: one is large, and the others are not nearly empty. Pages are split in
   * order, so a single large page alone would have all pages before it split first.
   */
  private boolean splitNeeded() {
    int pages = view.pages().count(partition);
    int most = 0;
    int sum = 0;
    for (int page = 0; page < pages; page++) {
      int bytes = view.pages().onBytes(partition, page);
      most = Math.max(most, bytes);
      sum += bytes;
    }
    return most > pageLimitBytes() * Constants.RECORD_SPLIT_SHARE
        && sum > pages * pageLimitBytes() * Constants.RECORD_SPLIT_MEAN_SHARE;
  }

  /** Moves the machines that belong on a new page to it, given the new number of pages. */
  private static void moveMachines(PartitionRecord from, PartitionRecord to, int page, int pages) {
    moveMachines(from.on(), to.on(), page, pages);
    moveMachines(from.conditions(), to.conditions(), page, pages);
  }

  private static void moveMachines(
      Map<String, String> from, Map<String, String> to, int page, int pages) {
    from.entrySet()
        .removeIf(
            entry -> {
              boolean moves = PartitionRecord.pageOf(entry.getKey(), pages) == page;
              if (moves) {
                to.put(entry.getKey(), entry.getValue());
              }
              return moves;
            });
  }

  /** Removes tasks that are proved to have left a machine, and updates the machine's condition. */
  private void applyMachineChanges(Draft d, String name) {
    StateCache.Entry<Machine> e = view.machines.get(name);
    if (e == null) {
      return;
    }
    Machine m = e.value();
    WorkerSession a = context.session(name);
    boolean gone = view.drains.get(name) == StateCache.Drain.GONE;
    Map<TaskId, TerminationEvidence.End> ends = evidence.endedTasks(a, m);
    for (Map.Entry<TaskId, TerminationEvidence.End> end : ends.entrySet()) {
      TaskId t = end.getKey();
      int attempt = d.editableTasks(name).remove(t);
      tasksInWrite.add(t);
      if (view.grant(t) != null && view.grant(t).attempt() == attempt) {
        if (end.getValue() == TerminationEvidence.End.DONE) {
          d.addEnded(d.doneTasks, d.pageOf(name), t, 1);
        } else if (gone || !moveTask(d, a, t)) {
          d.addEnded(d.returnedTasks, d.pageOf(name), t, attempt);
        }
      }
      rounds.dropMove(t);
      d.onSuccess.add(() -> placer.failures().taskEnded(partition, a, t, end.getValue()));
    }
    Machine.Condition wanted = a.condition == null ? m.condition() : a.condition;
    String condition = wanted == Machine.Condition.OK ? null : wanted.name();
    if (gone) {
      condition = null;
      if ((d.taskLists.containsKey(name) ? d.taskLists.get(name) : m.tasks()).isEmpty()) {
        // One operation stays reserved for the page from which the machine's condition is removed.
        if (d.txn.writes() < Constants.DELETES_PER_WRITE
            && d.writes() + 1 < settings.state().txnOps()) {
          d.txn.delete(Keys.machine(name));
        } else {
          dirty.add(name);
        }
      }
    }
    Map<String, String> conditions = d.editable(d.pageOf(name)).conditions();
    if (!Objects.equals(condition, conditions.get(name))) {
      d.markChanged(d.pageOf(name));
      if (condition == null) {
        conditions.remove(name);
      } else {
        conditions.put(name, condition);
        d.onSuccess.add(() -> LOG.info("machine {}: condition is now {}", name, wanted));
      }
    }
  }

  /**
   * Adds the task to the machine that a round chose, under the next attempt, in the write that
   * removes it from its present one. Returns false if the move cannot be made now.
   */
  private boolean moveTask(Draft d, WorkerSession from, TaskId t) {
    String name = rounds.target(t, from.name);
    StateCache.Entry<Machine> e = name == null ? null : view.machines.get(name);
    StateCache.Entry<Job> j = view.jobs.get(t.job());
    if (e == null || d.moveTarget != null || !view.runs(t.job()) || view.grant(t).stop()) {
      return false;
    }
    Machine to = e.value();
    PartitionWriter there = context.writer(to.part());
    WorkerSession a = there == null ? null : there.context.session(name);
    if (a == null || there != this && there.writing || !placer.placeable(a, to)) {
      return false;
    }
    MachineCapacity r = placer.freeCapacity(a, to);
    if (r == null
        || !r.fits(j.value().spec())
        || d.taskLists.containsKey(name)
        || there == this && !d.canChange(d.pageOf(name))
        || d.writes() + MOVE_WRITES > settings.state().txnOps()) {
      return false;
    }
    int chunk = t.index() / Constants.CHUNK_TASKS;
    String progress = Keys.progress(t.job(), chunk);
    Progress p = view.progress(t.job(), chunk).copy();
    p.back(t.index());
    int attempt = p.grant(t.index(), to.part());
    d.txn
        .when(progress, view.stamp(progress))
        .put(progress, Records.progress(p))
        .when(Keys.drain(to.part()), view.stamp(Keys.drain(to.part())))
        .when(Keys.job(t.job()), j.stamp());
    if (there == this) {
      d.editableTasks(name).put(t, attempt);
    } else {
      int page = PartitionRecord.pageOf(name, view.pages().count(to.part()));
      String first = Keys.record(to.part(), 0);
      String key = Keys.record(to.part(), page);
      PartitionRecord next = view.pages().get(to.part(), page).copy();
      Map<TaskId, Integer> on = new LinkedHashMap<>(view.on(name));
      on.put(t, attempt);
      next.on().put(name, PartitionRecord.tasks(on));
      d.txn
          .when(first, view.stamp(first))
          .when(key, view.stamp(key))
          .when(Keys.claim(to.part().toString()), there.claim)
          .put(key, Records.record(next));
      d.moveTarget = there;
      there.writing = true;
      there.tasksInWrite.add(t);
    }
    d.placedOn.add(name);
    return true;
  }

  /** Marks jobs as done whose last tasks end in this write, and deletes their progress. */
  private void completeJobs(Draft d) {
    Map<String, Integer> ended = new LinkedHashMap<>();
    d.doneTasks
        .values()
        .forEach(m -> m.forEach((job, l) -> ended.merge(job, l.size(), Integer::sum)));
    for (String job : ended.keySet()) {
      StateCache.Entry<Job> j = view.jobs.get(job);
      if (j == null
          || !j.value().open()
          || view.done(job) + ended.get(job) < j.value().spec().tasks()) {
        continue;
      }
      int writes = 1 + j.value().chunks();
      if (d.writes() + writes > settings.state().txnOps()) {
        continue; // the leader marks the job as done
      }
      LOG.debug(
          "job {} ({}) done after {} ms: {} tasks, estimated at {} s each",
          job,
          j.value().spec().jobClass(),
          clock.wall() - j.value().acceptedMs(),
          j.value().spec().tasks(),
          j.value().spec().estimateS());
      d.txn.when(Keys.job(job), j.stamp()).put(Keys.job(job), Records.job(j.value().done()));
      for (int c = 0; c < j.value().chunks(); c++) {
        d.txn.delete(Keys.progress(job, c));
      }
      d.doneTasks.values().forEach(m -> m.remove(job));
      d.changedPages.forEach(page -> d.editable(page).done().remove(job));
      d.changedPages.forEach(page -> d.editable(page).back().remove(job));
    }
  }

  private void placeTasks(Draft d) {
    int conditions =
        settings.state().txnOps() * 4 - d.txn.conditions() - maxPagesPerWrite() - OTHER_CONDITIONS;
    FirstFitPlacer.Plan plan = placer.plan(partition, claim, tasksInWrite, conditions, d);
    plan.returned()
        .forEach(
            (t, attempt) -> {
              d.addEnded(d.returnedTasks, d.smallestPage(), t, attempt);
              tasksInWrite.add(t);
            });
    if (plan.placements().isEmpty()) {
      return;
    }
    // No task may be placed on a machine once its return has been decided.
    d.txn.when(Keys.drain(partition), view.stamp(Keys.drain(partition)));
    plan.placements()
        .forEach(
            (name, tasks) -> {
              d.editableTasks(name).putAll(tasks);
              tasksInWrite.addAll(tasks.keySet());
              d.placedOn.add(name);
              for (TaskId t : tasks.keySet()) {
                // The job must not have been cancelled. The grant needs no condition: while the job
                // is open, only this record can return it.
                d.txn.when(Keys.job(t.job()), view.stamp(Keys.job(t.job())));
                Job j = view.jobs.get(t.job()).value();
                LOG.debug(
                    "placing task {} ({}) on {} after {} ms, image cached: {}",
                    t,
                    j.spec().jobClass(),
                    name,
                    clock.wall() - j.acceptedMs(),
                    view.machines.get(name).value().images().contains(j.spec().image()));
              }
            });
  }
}
