package org.baygw.control.workers;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.model.Job;
import org.baygw.control.model.Machine;
import org.baygw.control.model.Partition;
import org.baygw.control.model.PartitionRecord;
import org.baygw.control.model.Progress;
import org.baygw.control.model.Records;
import org.baygw.control.model.TaskId;
import org.baygw.control.placement.MachineCapacity;
import org.baygw.control.store.Keys;
import org.baygw.control.store.ProgressCodec;
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
    PartitionWriter writer(Partition partition);

    /** Called once the end of a task on a worker's machine is durable. */
    void ended(WorkerSession worker, TaskId task, int attempt, TerminationEvidence.End end);

    /** Called once tasks have been durably placed on the machines. */
    void placed(Set<String> machines);
  }

  private static final Logger LOG = LoggerFactory.getLogger(PartitionWriter.class);

  /** Writes of a move besides its own page: the job's progress and another partition's page. */
  private static final int MOVE_WRITES = 2;

  /** Most bytes of a move besides two values: its keys and conditions. */
  private static final int MOVE_SPARE_BYTES = 2_048;

  /** Conditions of a placement besides changed pages and jobs: first page, draining machines. */
  private static final int OTHER_CONDITIONS = 2;

  final Partition partition;
  final long claim;
  private final Clock clock;
  private final Settings settings;
  private final Store store;
  private final StateCache cache;
  private final TerminationEvidence evidence;
  private final BestFitPlacer placer;
  private final ConsolidationRound rounds;
  private final Context context;
  private final ProgressCodec progressCodec;
  private final Set<String> dirty = new LinkedHashSet<>();

  /** Tasks that a write in flight adds to machines or removes from them. */
  private final Set<TaskId> tasksInWrite = new HashSet<>();

  private boolean queued;
  private boolean writing;
  private long lastWrite = Long.MIN_VALUE / 2;
  private long nextPlacement;
  private long seenChanges = -1;

  PartitionWriter(
      Partition partition,
      long claim,
      Clock clock,
      Settings settings,
      Store store,
      StateCache cache,
      TerminationEvidence evidence,
      BestFitPlacer placer,
      ConsolidationRound rounds,
      Context context) {
    this.partition = partition;
    this.claim = claim;
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.cache = cache;
    this.evidence = evidence;
    this.placer = placer;
    this.rounds = rounds;
    this.context = context;
    this.progressCodec = new ProgressCodec(settings.state(), settings.zones());
  }

  /** Marks a machine on which tasks may have ended or whose condition has changed. */
  void dirty(String machine) {
    dirty.add(machine);
  }

  /** Whether a write in flight involves the task: launches and forgets wait for its outcome. */
  boolean inWrite(TaskId task) {
    return tasksInWrite.contains(task);
  }

  /** Starts a write if there are changes and no write is in flight. */
  void writeIfDue() {
    long now = clock.now();
    if (queued || writing) {
      return;
    }
    boolean placementDue = !cache.unplaced(partition).isEmpty() && now >= nextPlacement;
    if (dirty.isEmpty() && !placementDue) {
      return;
    }
    long minIntervalMs =
        Constants.RECORD_WRITE_INTERVAL_MS
            + Constants.RECORD_WRITE_INTERVAL_PER_PAGE_MS
                * (PartitionDraft.maxPages(settings.state(), cache, partition) - 1);
    if (store.writeTokensLow() && now < lastWrite + minIntervalMs) {
      return; // changes until then share the write
    }
    queued = true;
    PartitionDraft[] draft = new PartitionDraft[1];
    store.txnWithRetry(
        Store.Urgency.LAUNCH,
        () -> {
          draft[0] = writing ? null : buildDraft();
          if (draft[0] == null) {
            return null;
          }
          writing = true;
          lastWrite = clock.now();
          return draft[0].txn;
        },
        ok -> {
          queued = false;
          if (draft[0] != null) {
            writeFinished(draft[0], ok);
          }
        });
  }

  private void writeFinished(PartitionDraft draft, boolean ok) {
    writing = false;
    tasksInWrite.clear();
    nextPlacement = 0;
    if (draft.moveTarget != null) {
      draft.moveTarget.writing = false;
      draft.moveTarget.tasksInWrite.clear();
    }
    if (ok) {
      draft.onSuccess.forEach(Runnable::run);
      context.placed(draft.placedOn);
    } else {
      dirty.addAll(draft.handledMachines); // to be checked again
    }
  }

  private PartitionDraft buildDraft() {
    tasksInWrite.clear();
    PartitionDraft split = splitPages();
    if (split != null) {
      return split;
    }
    PartitionDraft draft = new PartitionDraft(partition, claim, settings.state(), cache);
    for (String name : List.copyOf(dirty)) {
      int page = draft.pageOf(name);
      if (draft.size(page) < settings.state().maxValueBytes() - Constants.RECORD_SPARE_BYTES
          && draft.canChange(page)
          && draft.handledMachines.size() < Constants.MACHINES_PER_WRITE) {
        dirty.remove(name);
        draft.handledMachines.add(name);
        applyMachineChanges(draft, name);
      }
    }
    completeJobs(draft);
    placeTasks(draft);
    if (!draft.changed()) {
      nextPlacement = clock.now() + Constants.PLACEMENT_RETRY_MS;
      tasksInWrite.clear();
      return null;
    }
    draft.buildTxn();
    return draft;
  }

  /**
   * Prepares a write that splits pages in order, as many as fit into it and at most until their
   * number has doubled; null if no split is needed. All changed pages are written together under
   * the claim, with the number of pages on the first one, so that readers find each machine on the
   * page that the number determines: before the write, after it, and if this controller crashes at
   * any time. The write contains nothing else. The number of pages has no upper bound.
   */
  private PartitionDraft splitPages() {
    if (!splitNeeded()) {
      return null;
    }
    int pagesBefore = cache.pages().count(partition);
    PartitionDraft draft = new PartitionDraft(partition, claim, settings.state(), cache);
    draft.markChanged(0);
    int pagesAfter = pagesBefore;
    int bytes = draft.size(0);
    while (pagesAfter < 2 * pagesBefore) {
      int page = PartitionRecord.nextSplit(pagesAfter);
      int writes = draft.changedPages.contains(page) ? 1 : 2;
      bytes += draft.changedPages.contains(page) ? 0 : draft.size(page);
      if (pagesAfter > pagesBefore
          && (draft.writes() + writes > settings.state().txnOps()
              || bytes > Constants.MAX_BODY_BYTES * Constants.RECORD_WRITE_SHARE)) {
        break;
      }
      draft.markChanged(page);
      draft.markChanged(pagesAfter);
      moveMachines(draft.editable(page), draft.editable(pagesAfter), pagesAfter, pagesAfter + 1);
      pagesAfter++;
    }
    draft.setPages(pagesAfter);
    draft.buildTxn();
    LOG.info("{}: splitting its record into {} pages", partition, pagesAfter);
    return draft;
  }

  /**
   * Whether to split pages: one is large, and the others are not nearly empty. Pages are split in
   * order, so a single large page alone would have all pages before it split first.
   */
  private boolean splitNeeded() {
    int pages = cache.pages().count(partition);
    int maxBytes = 0;
    int totalBytes = 0;
    for (int page = 0; page < pages; page++) {
      int bytes = cache.pages().machinesBytes(partition, page);
      maxBytes = Math.max(maxBytes, bytes);
      totalBytes += bytes;
    }
    return maxBytes > settings.state().maxValueBytes() * Constants.RECORD_SPLIT_SHARE
        && totalBytes
            > pages * settings.state().maxValueBytes() * Constants.RECORD_SPLIT_MEAN_SHARE;
  }

  /** Moves the machines that belong on a new page to it, given the new number of pages. */
  private static void moveMachines(PartitionRecord from, PartitionRecord to, int page, int pages) {
    moveMachines(from.tasksByMachine(), to.tasksByMachine(), page, pages);
    moveMachines(from.conditionsByMachine(), to.conditionsByMachine(), page, pages);
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
  private void applyMachineChanges(PartitionDraft draft, String name) {
    StateCache.Entry<Machine> entry = cache.machines.get(name);
    if (entry == null) {
      return;
    }
    Machine machine = entry.value();
    WorkerSession worker = context.session(name);
    boolean gone = cache.drains.get(name) == StateCache.Drain.GONE;
    Map<TaskId, TerminationEvidence.End> ends = evidence.endedTasks(worker, machine);
    for (Map.Entry<TaskId, TerminationEvidence.End> end : ends.entrySet()) {
      TaskId task = end.getKey();
      int attempt = draft.tasks(name).get(task);
      if (!draft.removeTask(name, task)) {
        dirty.add(name); // another write has space for it
        break;
      }
      tasksInWrite.add(task);
      if (cache.grant(task) != null && cache.grant(task).attempt() == attempt) {
        if (end.getValue().completed()) {
          draft.addCompleted(draft.pageOf(name), task);
        } else if (gone || !moveTask(draft, worker, task)) {
          draft.addReturned(draft.pageOf(name), task, attempt);
        }
      }
      rounds.dropMove(task);
      draft.onSuccess.add(
          () -> {
            placer.failures().taskEnded(partition, worker, task, end.getValue());
            context.ended(worker, task, attempt, end.getValue());
          });
    }
    if (draft.tasksOn.containsKey(name)) {
      draft.tasksRemoved(name);
    }
    Machine.Condition wanted = worker.condition == null ? machine.condition() : worker.condition;
    String condition = wanted == Machine.Condition.OK ? null : wanted.name();
    if (gone) {
      condition = null;
      if ((draft.tasksOn.containsKey(name) ? draft.tasksOn.get(name) : machine.tasks()).isEmpty()) {
        // One operation stays reserved for the page from which the machine's condition is removed.
        if (draft.txn.writeCount() < Constants.DELETES_PER_WRITE
            && draft.writes() + 1 < settings.state().txnOps()) {
          draft.txn.delete(Keys.machine(name));
        } else {
          dirty.add(name);
        }
      }
    }
    Map<String, String> conditions = draft.editable(draft.pageOf(name)).conditionsByMachine();
    if (!Objects.equals(condition, conditions.get(name))) {
      draft.markChanged(draft.pageOf(name));
      if (condition == null) {
        conditions.remove(name);
      } else {
        conditions.put(name, condition);
        int bytes = name.length() + condition.length() + Constants.RECORD_ENTRY_BYTES;
        draft.grow(draft.pageOf(name), bytes);
        draft.onSuccess.add(() -> LOG.info("machine {}: condition is now {}", name, wanted));
      }
    }
  }

  /**
   * Adds the task to the machine that a round chose, under the next attempt, in the write that
   * removes it from its present one. Returns false if the move cannot be made now.
   */
  private boolean moveTask(PartitionDraft draft, WorkerSession from, TaskId task) {
    String name = rounds.target(task, from.name);
    StateCache.Entry<Machine> entry = name == null ? null : cache.machines.get(name);
    StateCache.Entry<Job> jobEntry = cache.jobs.get(task.job());
    if (entry == null
        || draft.moveTarget != null
        || !cache.shouldRun(task.job())
        || cache.grant(task).stopRequested()) {
      return false;
    }
    Machine targetMachine = entry.value();
    PartitionWriter targetWriter = context.writer(targetMachine.partition());
    WorkerSession targetWorker = targetWriter == null ? null : targetWriter.context.session(name);
    if (targetWorker == null
        || targetWriter != this && targetWriter.writing
        || !placer.placeable(targetWorker, targetMachine)) {
      return false;
    }
    MachineCapacity capacity = placer.freeCapacity(targetWorker, targetMachine);
    if (capacity == null
        || !capacity.fits(jobEntry.value().spec())
        || draft.tasksOn.containsKey(name)
        || !hasSpaceForMove(draft, task, targetMachine)) {
      return false;
    }
    int chunk = Progress.chunkOf(task.index());
    String progressKey = Keys.progress(task.job(), chunk);
    Progress progress = cache.progress(task.job(), chunk).copy();
    progress.requeue(task.index());
    int attempt = progress.grant(task.index(), targetMachine.partition());
    ObjectNode progressValue = progressCodec.encode(chunk, progress);
    if (!progressCodec.fits(progressValue)) {
      return false;
    }
    draft
        .txn
        .when(progressKey, cache.stamp(progressKey))
        .put(progressKey, progressValue)
        .when(
            Keys.drain(targetMachine.partition()),
            cache.stamp(Keys.drain(targetMachine.partition())))
        .when(Keys.job(task.job()), jobEntry.stamp());
    if (targetWriter == this) {
      draft.reserve(name, task.job(), Constants.RECORD_TASK_BYTES + task.job().length());
      draft.editableTasks(name).put(task, attempt);
    } else {
      int page = PartitionRecord.pageOf(name, cache.pages().count(targetMachine.partition()));
      String firstPageKey = Keys.record(targetMachine.partition(), 0);
      String pageKey = Keys.record(targetMachine.partition(), page);
      PartitionRecord targetPage = cache.pages().get(targetMachine.partition(), page).copy();
      Map<TaskId, Integer> tasksOnTarget = new LinkedHashMap<>(cache.tasksOn(name));
      tasksOnTarget.put(task, attempt);
      targetPage.tasksByMachine().put(name, PartitionRecord.tasks(tasksOnTarget));
      draft
          .txn
          .when(firstPageKey, cache.stamp(firstPageKey))
          .when(pageKey, cache.stamp(pageKey))
          .when(Keys.claim(targetMachine.partition().toString()), targetWriter.claim)
          .put(pageKey, Records.partitionRecord(targetPage));
      draft.moveTarget = targetWriter;
      targetWriter.writing = true;
      targetWriter.tasksInWrite.add(task);
    }
    draft.placedOn.add(name);
    return true;
  }

  /** Whether the write and the target's page have space for a move of the task. */
  private boolean hasSpaceForMove(PartitionDraft draft, TaskId task, Machine target) {
    int bytes = progressCodec.maxBytes(Progress.chunkOf(task.index())) + MOVE_SPARE_BYTES;
    boolean pageHasSpace = true;
    if (target.partition().equals(partition)) {
      pageHasSpace = draft.hasSpace(target.name());
    } else {
      int pageCount = cache.pages().count(target.partition());
      int page = PartitionRecord.pageOf(target.name(), pageCount);
      int pageBytes = cache.pages().bytes(target.partition(), page);
      pageHasSpace = pageBytes < settings.state().maxValueBytes() * Constants.RECORD_FULL_SHARE;
      bytes += pageBytes;
    }
    return pageHasSpace
        && draft.hasSpaceFor(bytes)
        && draft.writes() + MOVE_WRITES <= settings.state().txnOps();
  }

  /** Marks jobs as done whose last tasks end in this write, and deletes their progress. */
  private void completeJobs(PartitionDraft draft) {
    Map<String, Integer> ended = new LinkedHashMap<>();
    draft
        .completedTasks
        .values()
        .forEach(m -> m.forEach((job, l) -> ended.merge(job, l.size(), Integer::sum)));
    for (String job : ended.keySet()) {
      StateCache.Entry<Job> jobEntry = cache.jobs.get(job);
      if (jobEntry == null
          || !jobEntry.value().open()
          || cache.doneCount(job) + ended.get(job) < jobEntry.value().spec().tasks()) {
        continue;
      }
      int writes = 1 + jobEntry.value().progressChunks();
      ObjectNode record = Records.job(jobEntry.value().completed());
      int keyBytes = Txn.conditionBytes(Keys.progress(job, jobEntry.value().progressChunks()));
      if (draft.writes() + writes > settings.state().txnOps()
          || !draft.hasSpaceFor(Json.size(record) + (writes + 1) * keyBytes)) {
        continue; // the leader marks the job as done
      }
      LOG.debug(
          "job {} ({}) done after {} ms: {} tasks, estimated at {} s each",
          job,
          jobEntry.value().spec().jobClass(),
          clock.wall() - jobEntry.value().acceptedMs(),
          jobEntry.value().spec().tasks(),
          jobEntry.value().spec().estimateS());
      draft.txn.when(Keys.job(job), jobEntry.stamp()).put(Keys.job(job), record);
      for (int chunk = 0; chunk < jobEntry.value().progressChunks(); chunk++) {
        draft.txn.delete(Keys.progress(job, chunk));
      }
      draft.completedTasks.values().forEach(m -> m.remove(job));
      draft.changedPages.forEach(page -> draft.editable(page).completedByJob().remove(job));
      draft.changedPages.forEach(page -> draft.editable(page).requeuedByJob().remove(job));
    }
  }

  private void placeTasks(PartitionDraft draft) {
    int maxConditions =
        settings.state().txnOps() * 4
            - draft.txn.conditionCount()
            - PartitionDraft.maxPages(settings.state(), cache, partition)
            - OTHER_CONDITIONS;
    BestFitPlacer.Plan plan = placer.plan(partition, claim, tasksInWrite, maxConditions, draft);
    tasksInWrite.addAll(plan.returned());
    if (plan.placements().isEmpty()) {
      return;
    }
    // No task may be placed on a machine once its return has been decided.
    draft.txn.when(Keys.drain(partition), cache.stamp(Keys.drain(partition)));
    plan.placements()
        .forEach(
            (name, tasks) -> {
              draft.editableTasks(name).putAll(tasks);
              tasksInWrite.addAll(tasks.keySet());
              draft.placedOn.add(name);
              for (TaskId task : tasks.keySet()) {
                // The job must not have been cancelled. The grant needs no condition: while the job
                // is open, only this record can return it.
                draft.txn.when(Keys.job(task.job()), cache.stamp(Keys.job(task.job())));
                Job job = cache.jobs.get(task.job()).value();
                LOG.debug(
                    "placing task {} ({}) on {} after {} ms, image cached: {}",
                    task,
                    job.spec().jobClass(),
                    name,
                    clock.wall() - job.acceptedMs(),
                    cache.machines.get(name).value().images().contains(job.spec().image()));
              }
            });
  }
}
