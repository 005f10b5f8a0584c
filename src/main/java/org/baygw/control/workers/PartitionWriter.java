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
 * The only writer of a partition's record, under one claim. All that has come up since the last
 * write goes into the next one: tasks proved gone, tasks placed, conditions of machines. A task
 * stands in the record before its launch is sent and until it is proved gone.
 */
final class PartitionWriter {
  /** What the writer asks of the rest. */
  interface Owner {
    /** What is known of the worker of one of the partition's machines, or null. */
    WorkerSession session(String machine);

    /** The writer of another part of this controller, or null. */
    PartitionWriter writer(Partition part);

    /** Tasks were placed, durably. */
    void placed(Set<String> machines);
  }

  private static final Logger LOG = LoggerFactory.getLogger(PartitionWriter.class);

  /** Changes that a move needs beside its own page: progress, and another partition's page. */
  private static final int MOVE_WRITES = 2;

  /** Conditions of a placing beside pages and jobs: the list of leaving machines. */
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

  /** Tasks that a write under way would put on machines, or take off. */
  private final Set<TaskId> moving = new HashSet<>();

  private boolean queued;
  private boolean writing;
  private long lastWrite = Long.MIN_VALUE / 2;
  private long nextTry;
  private long seenChanges = -1;

  /**
   * One write in the making: pages of the record as they are to be, and what goes with them. Only
   * the pages that it asks for are copied, so that a write costs what it changes.
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

    /** The page as it is to be, without what its jobs' progress has taken over. */
    PartitionRecord copy(int page) {
      PartitionRecord copy = copies.get(page);
      if (copy == null) {
        copy = view.pages().get(part, page).copy();
        EndedTasks.forgetKnown(copy, view);
        copies.put(page, copy);
      }
      return copy;
    }

    /** Bytes of a page, with what this write adds to it. */
    int size(int page) {
      Integer known = sizes.get(page);
      if (known == null) {
        known = view.pages().bytes(part, page);
        if (known > limit() * Constants.RECORD_FULL) {
          known = copy(page).size(); // some of it may be forgotten by now
        }
        sizes.put(page, known);
      }
      return known;
    }

    /** The page with the fewest bytes, of those that are to be written if there are any. */
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
      return txn.writeCount() + touched.size();
    }

    boolean changed() {
      return writes() > 0;
    }

    /** Whether the page goes into this write, or still can: a write has its limits too. */
    boolean touchable(int page) {
      if (touched.contains(page)) {
        return true;
      }
      int bytes = size(page);
      for (int other : touched) {
        bytes += size(other);
      }
      return touched.size() < mostPagesWritten()
          && bytes < Constants.MAX_BODY_BYTES * Constants.RECORD_WRITE_SHARE
          && writes() < settings.state().txnOps();
    }

    void touch(int page) {
      touched.add(page);
    }

    /** From this write on the record has so many pages; the first page says so. */
    void setPages(int count) {
      copies.put(0, copy(0).withPages(count));
    }

    @Override
    public boolean open(String machine) {
      int page = page(machine);
      return size(page) < limit() * Constants.RECORD_FULL && touchable(page);
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
      return lists.computeIfAbsent(machine, k -> new LinkedHashMap<>(view.tasksOn(machine)));
    }

    void note(
        Map<Integer, Map<String, TreeMap<Integer, Integer>>> ended, int page, TaskId t, int value) {
      touch(page);
      ended
          .computeIfAbsent(page, k -> new HashMap<>())
          .computeIfAbsent(t.job(), k -> new TreeMap<>())
          .put(t.index(), value);
    }

    /** Puts the pages that change into the write. */
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
      // The first page tells how many there are, and so where each machine stands.
      txn.when(Keys.record(part, 0), view.stamp(Keys.record(part, 0)));
      for (int page : touched) {
        String key = Keys.record(part, page);
        txn.when(key, view.stamp(key)).put(key, Records.record(copy(page)));
      }
      return txn;
    }
  }

  /** Pages that go into one write at most: the rest of its changes is for jobs and moves. */
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

  /** Something may have ended on the machine, or its condition changed. */
  void dirty(String machine) {
    dirty.add(machine);
  }

  /** Whether a write under way has to do with the task, so that nothing may be told about it. */
  boolean moving(TaskId t) {
    return moving.contains(t);
  }

  /** Begins a write if there is anything to write. */
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
        Constants.RECORD_PACE_MS + Constants.RECORD_PACE_MS_A_PAGE * (mostPagesWritten() - 1);
    if (store.writeTokensLow() && now < lastWrite + pace) {
      return; // what ends meanwhile shares the write
    }
    queued = true;
    Draft[] made = new Draft[1];
    store.txnWithRetry(
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
      dirty.addAll(d.handled); // to be looked at again
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
      nextTry = clock.now() + Constants.PLACE_AGAIN_MS;
      moving.clear();
      return null;
    }
    d.seal();
    return d;
  }

  /**
   * Splits pages of a record of which one is crowded, in their order, as many as one write takes
   * until there are twice as many; null where none is. All pages that change are in one write under
   * the claim, with the first page's number of pages: whoever reads the record finds each machine
   * where that number says, before, after and whenever this controller ends. Nothing else goes with
   * it. There is no bound on the number of pages.
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
              || bytes > Constants.MAX_BODY_BYTES * Constants.RECORD_WRITE_SHARE)) {
        break;
      }
      d.touch(page);
      d.touch(after);
      moveTo(d.copy(page), d.copy(after), after, after + 1);
      after++;
    }
    d.setPages(after);
    d.seal();
    LOG.info("{} gets {} pages", part, after);
    return d;
  }

  /**
   * Whether pages are to be split: one is crowded, and the others are not nearly empty. Pages are
   * split in their order, so a single one would have all of them split before its turn comes.
   */
  private boolean crowded() {
    int pages = view.pages().count(part);
    int most = 0;
    int sum = 0;
    for (int page = 0; page < pages; page++) {
      int bytes = view.pages().assignmentBytes(part, page);
      most = Math.max(most, bytes);
      sum += bytes;
    }
    return most > limit() * Constants.RECORD_CROWDED
        && sum > pages * limit() * Constants.RECORD_SPLIT_LOAD;
  }

  /** Moves the machines that stand on a new page, of so many, over to it. */
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

  /** Takes what is proved gone off a machine, and notes whether it is fit for more. */
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
        // One change is left for the page that the machine's condition comes off.
        if (d.txn.writeCount() < Constants.DELETES_PER_WRITE
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
        d.after.add(() -> LOG.info("{} is {}", name, wanted));
      }
    }
  }

  /** A round's move: off this machine and onto the other in one write, under the next attempt. */
  private boolean move(Draft d, WorkerSession from, TaskId t) {
    String name = rounds.target(t, from.name);
    StateCache.Entry<Machine> e = name == null ? null : view.machines.get(name);
    StateCache.Entry<Job> j = view.jobs.get(t.job());
    if (e == null || d.target != null || !view.shouldRun(t.job()) || view.grant(t).stop()) {
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
      Map<TaskId, Integer> on = new LinkedHashMap<>(view.tasksOn(name));
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

  /** A job whose last task has ended is done in the same write, and needs no progress any more. */
  private void finish(Draft d) {
    Map<String, Integer> ended = new LinkedHashMap<>();
    d.done.values().forEach(m -> m.forEach((job, l) -> ended.merge(job, l.size(), Integer::sum)));
    for (String job : ended.keySet()) {
      StateCache.Entry<Job> j = view.jobs.get(job);
      if (j == null
          || !j.value().open()
          || view.doneCount(job) + ended.get(job) < j.value().spec().tasks()) {
        continue;
      }
      int writes = 1 + j.value().chunks();
      if (d.writes() + writes > settings.state().txnOps()) {
        continue; // the leader finishes it
      }
      LOG.debug(
          "{} ({}) is done after {} ms, {} tasks of {} s estimated",
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
        settings.state().txnOps() * 4
            - d.txn.conditionCount()
            - mostPagesWritten()
            - OTHER_CONDITIONS;
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
    // Nothing may come to a machine once its return has been decided.
    d.txn.when(Keys.drain(part), view.stamp(Keys.drain(part)));
    plan.onto()
        .forEach(
            (name, tasks) -> {
              d.list(name).putAll(tasks);
              moving.addAll(tasks.keySet());
              d.placedOn.add(name);
              for (TaskId t : tasks.keySet()) {
                // The job must not have been cancelled. The grant needs no condition: while the job
                // is
                // open only this record takes one back.
                d.txn.when(Keys.job(t.job()), view.stamp(Keys.job(t.job())));
                Job j = view.jobs.get(t.job()).value();
                LOG.debug(
                    "place {} ({}) on {} after {} ms, image there: {}",
                    t,
                    j.spec().jobClass(),
                    name,
                    clock.wall() - j.acceptedMs(),
                    view.machines.get(name).value().images().contains(j.spec().image()));
              }
            });
  }
}
