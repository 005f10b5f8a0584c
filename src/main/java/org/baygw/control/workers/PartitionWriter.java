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
  interface Owner {
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

  final Partition part;
  final long claim;
  private final Clock clock;
  private final Settings settings;
  private final Store store;
  private final StateCache view;
  private final TerminationEvidence evidence;
  private final FirstFitPlacer placer;
  private final ConsolidationRound rounds;
  private final Owner owner;
  private final Set<String> dirty = new LinkedHashSet<>();

  /** Tasks that a write in progress adds to machines or removes from them. */
  private final Set<TaskId> moving = new HashSet<>();

  private boolean queued;
  private boolean writing;
  private long lastWrite = Long.MIN_VALUE / 2;
  private long nextTry;
  private long seenChanges = -1;

  /**
   * A write being prepared: changed pages of the record, and the other keys that are written with
   * them. Pages are copied only when needed, so that the cost of a write depends on what it
   * changes.
   */
  private final class Draft implements FirstFitPlacer.Space {
    final Txn txn = new Txn().when(Keys.claim(part.toString()), claim);
    final int pages = view.pages().count(part);
    private final Map<Integer, PartitionRecord> copies = new HashMap<>();
    private final Map<Integer, Integer> sizes = new HashMap<>();
    final Set<Integer> touched = new LinkedHashSet<>();
    final Map<String, Map<TaskId, Integer>> lists = new LinkedHashMap<>();
    final Map<Integer, Map<String, TreeMap<Integer, Integer>>> done = new HashMap<>();
    final Map<Integer, Map<String, TreeMap<Integer, Integer>>> back = new HashMap<>();
    final Set<String> handled = new HashSet<>();
    final Set<String> placedOn = new LinkedHashSet<>();
    final List<Runnable> after = new ArrayList<>();
    PartitionWriter target;

    int page(String machine) {
      return PartitionRecord.pageOf(machine, pages);
    }

    /** The editable copy of a page, without ended tasks that their progress includes. */
    PartitionRecord copy(int page) {
      PartitionRecord copy = copies.get(page);
      if (copy == null) {
        copy = view.pages().get(part, page).copy();
        EndedTasks.forgetKnown(copy, view);
        copies.put(page, copy);
      }
      return copy;
    }

    /** Size of a page in bytes, with what this write adds to it. */
    int size(int page) {
      Integer known = sizes.get(page);
      if (known == null) {
        known = view.pages().bytes(part, page);
        if (known > limit() * Constants.RECORD_FULL_SHARE) {
          known = copy(page).size(); // the copy leaves out ended tasks that progress includes
        }
        sizes.put(page, known);
      }
      return known;
    }

    /** The page with the fewest bytes, among the changed ones if there are any. */
    int emptiest() {
      int best = -1;
      for (int page = 0; page < pages; page++) {
        if ((touched.isEmpty() || touched.contains(page))
            && (best < 0 || size(page) < size(best))) {
          best = page;
        }
      }
      return best;
    }

    int writes() {
      return txn.writes() + touched.size();
    }

    boolean changed() {
      return writes() > 0;
    }

    /** Whether the page is in this write or fits its limits on pages, bytes and operations. */
    boolean touchable(int page) {
      if (touched.contains(page)) {
        return true;
      }
      int bytes = size(page);
      for (int other : touched) {
        bytes += size(other);
      }
      return touched.size() < mostPagesWritten()
          && bytes < Constants.MAX_BODY * Constants.RECORD_WRITE_SHARE
          && writes() < settings.state().txnOps();
    }

    void touch(int page) {
      touched.add(page);
    }

    /** Sets the number of pages of the record, which is stored on the first page. */
    void setPages(int count) {
      copies.put(0, copy(0).withPages(count));
    }

    @Override
    public boolean open(String machine) {
      int page = page(machine);
      return size(page) < limit() * Constants.RECORD_FULL_SHARE && touchable(page);
    }

    @Override
    public boolean take(String machine, int bytes) {
      int page = page(machine);
      boolean fresh = touched.add(page);
      sizes.put(page, size(page) + bytes);
      return fresh || !open(machine);
    }

    Map<TaskId, Integer> list(String machine) {
      touch(page(machine));
      return lists.computeIfAbsent(machine, k -> new LinkedHashMap<>(view.on(machine)));
    }

    void note(
        Map<Integer, Map<String, TreeMap<Integer, Integer>>> ended, int page, TaskId t, int value) {
      touch(page);
      ended
          .computeIfAbsent(page, k -> new HashMap<>())
          .computeIfAbsent(t.job(), k -> new TreeMap<>())
          .put(t.index(), value);
    }

    /** Adds the changed pages to the transaction. */
    Txn seal() {
      lists.forEach(
          (machine, tasks) -> {
            PartitionRecord r = copy(page(machine));
            if (tasks.isEmpty()) {
              r.on().remove(machine);
            } else {
              r.on().put(machine, PartitionRecord.tasks(tasks));
            }
          });
      done.forEach((page, m) -> m.forEach((job, l) -> EndedTasks.add(copy(page).done(), job, l)));
      back.forEach((page, m) -> m.forEach((job, l) -> EndedTasks.add(copy(page).back(), job, l)));
      // The first page holds the number of pages, which determines the page of each machine.
      txn.when(Keys.record(part, 0), view.stamp(Keys.record(part, 0)));
      for (int page : touched) {
        String key = Keys.record(part, page);
        txn.when(key, view.stamp(key)).put(key, Records.record(copy(page)));
      }
      return txn;
    }
  }

  /** Maximum number of pages in one write: its other operations are for jobs and moves. */
  private int mostPagesWritten() {
    int most = (int) Math.ceil(settings.state().txnOps() * Constants.RECORD_WRITE_SHARE);
    return Math.min(most, view.pages().count(part));
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
      Owner owner) {
    this.part = part;
    this.claim = claim;
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.view = view;
    this.evidence = evidence;
    this.placer = placer;
    this.rounds = rounds;
    this.owner = owner;
  }

  /** Marks a machine on which tasks may have ended or whose condition has changed. */
  void dirty(String machine) {
    dirty.add(machine);
  }

  /** Whether a write in progress involves the task: launches and forgets wait for its outcome. */
  boolean moving(TaskId t) {
    return moving.contains(t);
  }

  /** Starts a write if there are changes and no write is in progress. */
  void pump() {
    long now = clock.now();
    if (queued || writing) {
      return;
    }
    boolean place = !view.unplaced(part).isEmpty() && now >= nextTry;
    if (dirty.isEmpty() && !place) {
      return;
    }
    long pace =
        Constants.RECORD_WRITE_INTERVAL_MS
            + Constants.RECORD_WRITE_INTERVAL_PER_PAGE_MS * (mostPagesWritten() - 1);
    if (store.scarce() && now < lastWrite + pace) {
      return; // changes until then share the write
    }
    queued = true;
    Draft[] made = new Draft[1];
    store.settle(
        Store.Urgency.LAUNCH,
        () -> {
          made[0] = writing ? null : make();
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
            written(made[0], ok);
          }
        });
  }

  private void written(Draft d, boolean ok) {
    writing = false;
    moving.clear();
    nextTry = 0;
    if (d.target != null) {
      d.target.writing = false;
      d.target.moving.clear();
    }
    if (ok) {
      d.after.forEach(Runnable::run);
      owner.placed(d.placedOn);
    } else {
      dirty.addAll(d.handled); // to be checked again
    }
  }

  private int limit() {
    return (int) (settings.state().valueKb() * 1024);
  }

  private Draft make() {
    moving.clear();
    Draft split = split();
    if (split != null) {
      return split;
    }
    Draft d = new Draft();
    for (String name : List.copyOf(dirty)) {
      int page = d.page(name);
      if (d.size(page) < limit() - Constants.RECORD_SPARE_BYTES
          && d.touchable(page)
          && d.handled.size() < Constants.MACHINES_PER_WRITE) {
        dirty.remove(name);
        d.handled.add(name);
        settle(d, name);
      }
    }
    finish(d);
    place(d);
    if (!d.changed()) {
      nextTry = clock.now() + Constants.PLACEMENT_RETRY_MS;
      moving.clear();
      return null;
    }
    d.seal();
    return d;
  }

  /**
   * Prepares a write that splits pages in order, as many as it can hold and until their number has
   * doubled; null if no split is needed. All changed pages are written together under the claim,
   * with the number of pages on the first one, so that readers find each machine on the page that
   * the number determines: before the write, after it, and if this controller fails at any time.
   * The write contains nothing else. The number of pages has no upper bound.
   */
  private Draft split() {
    if (!crowded()) {
      return null;
    }
    int before = view.pages().count(part);
    Draft d = new Draft();
    d.touch(0);
    int after = before;
    int bytes = d.size(0);
    while (after < 2 * before) {
      int page = PartitionRecord.nextSplit(after);
      int writes = d.touched.contains(page) ? 1 : 2;
      bytes += d.touched.contains(page) ? 0 : d.size(page);
      if (after > before
          && (d.writes() + writes > settings.state().txnOps()
              || bytes > Constants.MAX_BODY * Constants.RECORD_WRITE_SHARE)) {
        break;
      }
      d.touch(page);
      d.touch(after);
      moveTo(d.copy(page), d.copy(after), after, after + 1);
      after++;
    }
    d.setPages(after);
    d.seal();
    LOG.info("{}: splitting its record into {} pages", part, after);
    return d;
  }

  /**
   * Whether to split pages: one is large, and the others are not nearly empty. Pages are split in
   * order, so a single large page alone would have all pages before it split first.
   */
  private boolean crowded() {
    int pages = view.pages().count(part);
    int most = 0;
    int sum = 0;
    for (int page = 0; page < pages; page++) {
      int bytes = view.pages().onBytes(part, page);
      most = Math.max(most, bytes);
      sum += bytes;
    }
    return most > limit() * Constants.RECORD_SPLIT_SHARE
        && sum > pages * limit() * Constants.RECORD_SPLIT_MEAN_SHARE;
  }

  /** Moves the machines that belong on a new page to it, given the new number of pages. */
  private static void moveTo(PartitionRecord from, PartitionRecord to, int page, int pages) {
    moveTo(from.on(), to.on(), page, pages);
    moveTo(from.conditions(), to.conditions(), page, pages);
  }

  private static void moveTo(
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
  private void settle(Draft d, String name) {
    StateCache.Entry<Machine> e = view.machines.get(name);
    if (e == null) {
      return;
    }
    Machine m = e.value();
    WorkerSession a = owner.session(name);
    boolean gone = view.drains.get(name) == StateCache.Drain.GONE;
    Map<TaskId, TerminationEvidence.End> ends = evidence.ends(a, m);
    for (Map.Entry<TaskId, TerminationEvidence.End> end : ends.entrySet()) {
      TaskId t = end.getKey();
      int attempt = d.list(name).remove(t);
      moving.add(t);
      if (view.grant(t) != null && view.grant(t).attempt() == attempt) {
        if (end.getValue() == TerminationEvidence.End.DONE) {
          d.note(d.done, d.page(name), t, 1);
        } else if (gone || !move(d, a, t)) {
          d.note(d.back, d.page(name), t, attempt);
        }
      }
      rounds.drop(t);
      d.after.add(() -> placer.failures().learn(part, a, t, end.getValue()));
    }
    Machine.Condition wanted = a.condition == null ? m.condition() : a.condition;
    String condition = wanted == Machine.Condition.OK ? null : wanted.name();
    if (gone) {
      condition = null;
      if ((d.lists.containsKey(name) ? d.lists.get(name) : m.tasks()).isEmpty()) {
        // One operation stays reserved for the page from which the machine's condition is removed.
        if (d.txn.writes() < Constants.DELETES_PER_WRITE
            && d.writes() + 1 < settings.state().txnOps()) {
          d.txn.delete(Keys.machine(name));
        } else {
          dirty.add(name);
        }
      }
    }
    Map<String, String> conditions = d.copy(d.page(name)).conditions();
    if (!Objects.equals(condition, conditions.get(name))) {
      d.touch(d.page(name));
      if (condition == null) {
        conditions.remove(name);
      } else {
        conditions.put(name, condition);
        d.after.add(() -> LOG.info("machine {}: condition is now {}", name, wanted));
      }
    }
  }

  /**
   * Adds the task to the machine that a round chose, under the next attempt, in the write that
   * removes it from its present one. Returns false if the move cannot be made now.
   */
  private boolean move(Draft d, WorkerSession from, TaskId t) {
    String name = rounds.target(t, from.name);
    StateCache.Entry<Machine> e = name == null ? null : view.machines.get(name);
    StateCache.Entry<Job> j = view.jobs.get(t.job());
    if (e == null || d.target != null || !view.runs(t.job()) || view.grant(t).stop()) {
      return false;
    }
    Machine to = e.value();
    PartitionWriter there = owner.writer(to.part());
    WorkerSession a = there == null ? null : there.owner.session(name);
    if (a == null || there != this && there.writing || !placer.placeable(a, to)) {
      return false;
    }
    MachineCapacity r = placer.room(a, to);
    if (r == null
        || !r.fits(j.value().spec())
        || d.lists.containsKey(name)
        || there == this && !d.touchable(d.page(name))
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
      d.list(name).put(t, attempt);
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
      d.target = there;
      there.writing = true;
      there.moving.add(t);
    }
    d.placedOn.add(name);
    return true;
  }

  /** Marks jobs as done whose last tasks end in this write, and deletes their progress. */
  private void finish(Draft d) {
    Map<String, Integer> ended = new LinkedHashMap<>();
    d.done.values().forEach(m -> m.forEach((job, l) -> ended.merge(job, l.size(), Integer::sum)));
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
      d.done.values().forEach(m -> m.remove(job));
      d.touched.forEach(page -> d.copy(page).done().remove(job));
      d.touched.forEach(page -> d.copy(page).back().remove(job));
    }
  }

  private void place(Draft d) {
    int conditions =
        settings.state().txnOps() * 4 - d.txn.conditions() - mostPagesWritten() - OTHER_CONDITIONS;
    FirstFitPlacer.Plan plan = placer.plan(part, claim, moving, conditions, d);
    plan.back()
        .forEach(
            (t, attempt) -> {
              d.note(d.back, d.emptiest(), t, attempt);
              moving.add(t);
            });
    if (plan.onto().isEmpty()) {
      return;
    }
    // No task may be placed on a machine once its return has been decided.
    d.txn.when(Keys.drain(part), view.stamp(Keys.drain(part)));
    plan.onto()
        .forEach(
            (name, tasks) -> {
              d.list(name).putAll(tasks);
              moving.addAll(tasks.keySet());
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
