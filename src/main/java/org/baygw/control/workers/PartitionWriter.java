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

  /** One write in the making: pages of the record as they are to be, and what goes with them. */
  private final class Draft implements FirstFitPlacer.Space {
    final Txn txn = new Txn().when(Keys.claim(part.toString()), claim);
    final List<PartitionRecord> next = new ArrayList<>();
    final List<Integer> sizes = new ArrayList<>();
    final Set<Integer> touched = new LinkedHashSet<>();
    final Map<String, Map<TaskId, Integer>> lists = new LinkedHashMap<>();
    final Map<Integer, Map<String, TreeMap<Integer, Integer>>> done = new HashMap<>();
    final Map<Integer, Map<String, TreeMap<Integer, Integer>>> back = new HashMap<>();
    final Set<String> handled = new HashSet<>();
    final Set<String> placedOn = new LinkedHashSet<>();
    final List<Runnable> after = new ArrayList<>();
    PartitionWriter target;

    Draft() {
      for (int i = 0; i < view.pages(part); i++) {
        PartitionRecord r = view.record(part, i).copy();
        prune(r);
        next.add(r);
        sizes.add(r.size());
      }
    }

    int page(String machine) {
      return PartitionRecord.pageOf(machine, next.size());
    }

    /** The page with the fewest bytes, of those that are to be written if there are any. */
    int emptiest() {
      int best = -1;
      for (int i = 0; i < next.size(); i++) {
        if ((touched.isEmpty() || touched.contains(i))
            && (best < 0 || sizes.get(i) < sizes.get(best))) {
          best = i;
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

    /** Whether the page goes into this write, or still can: a write has its limits too. */
    boolean touchable(int page) {
      if (touched.contains(page)) {
        return true;
      }
      int bytes = sizes.get(page);
      for (int t : touched) {
        bytes += sizes.get(t);
      }
      return touched.size() < settings.state().txnOps() * Constants.RECORD_WRITE_SHARE
          && bytes < Constants.MAX_BODY * Constants.RECORD_WRITE_SHARE
          && writes() < settings.state().txnOps();
    }

    void touch(int page) {
      touched.add(page);
    }

    @Override
    public boolean open(String machine) {
      int page = page(machine);
      return sizes.get(page) < limit() * Constants.RECORD_FULL && touchable(page);
    }

    @Override
    public boolean take(String machine, int bytes) {
      int page = page(machine);
      boolean fresh = touched.add(page);
      sizes.set(page, sizes.get(page) + bytes);
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

    /** Puts the pages that change into the write. */
    Txn seal() {
      lists.forEach(
          (machine, tasks) -> {
            PartitionRecord r = next.get(page(machine));
            if (tasks.isEmpty()) {
              r.on().remove(machine);
            } else {
              r.on().put(machine, PartitionRecord.tasks(tasks));
            }
          });
      done.forEach((page, m) -> m.forEach((job, l) -> merge(next.get(page).done(), job, l)));
      back.forEach((page, m) -> m.forEach((job, l) -> merge(next.get(page).back(), job, l)));
      // The first page tells how many there are, and so where each machine stands.
      txn.when(Keys.record(part, 0), view.stamp(Keys.record(part, 0)));
      for (int page : touched) {
        String key = Keys.record(part, page);
        txn.when(key, view.stamp(key)).put(key, Records.record(next.get(page)));
      }
      return txn;
    }
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
    long pace = Constants.RECORD_PACE_MS + Constants.RECORD_PACE_MS_A_PAGE * (view.pages(part) - 1);
    if (store.scarce() && now < lastWrite + pace) {
      return; // what ends meanwhile shares the write
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
      dirty.addAll(d.handled); // to be looked at again
    }
  }

  private int limit() {
    return (int) (settings.state().valueKb() * 1024);
  }

  private Draft make() {
    moving.clear();
    Draft d = new Draft();
    if (crowded(d)) {
      divide(d);
      return d;
    }
    for (String name : List.copyOf(dirty)) {
      int page = d.page(name);
      if (d.sizes.get(page) < limit() - Constants.RECORD_SPARE_BYTES
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

  /** Whether the record needs more pages, and one write can still give them to it. */
  private boolean crowded(Draft d) {
    int sum = 0;
    boolean crowded = false;
    for (int i = 0; i < d.next.size(); i++) {
      sum += d.sizes.get(i);
      crowded |= d.next.get(i).onSize() > limit() * Constants.RECORD_CROWDED;
    }
    return crowded
        && 2 * d.next.size() <= settings.state().txnOps()
        && sum < Constants.MAX_BODY * Constants.RECORD_WRITE_SHARE;
  }

  /**
   * Doubles the record's pages, all of them in one write under the claim: whoever reads the record
   * finds each machine where the number of pages that it reads says, before, after and whenever
   * this controller ends. Nothing else goes with it.
   */
  private void divide(Draft d) {
    int pages = 2 * d.next.size();
    List<PartitionRecord> old = List.copyOf(d.next);
    d.next.clear();
    for (int i = 0; i < pages; i++) {
      d.next.add(PartitionRecord.page(pages));
      d.touch(i);
    }
    for (int i = 0; i < old.size(); i++) {
      PartitionRecord r = old.get(i);
      r.on().forEach((m, text) -> d.next.get(d.page(m)).on().put(m, text));
      r.conditions().forEach((m, text) -> d.next.get(d.page(m)).conditions().put(m, text));
      d.next.get(i).done().putAll(r.done());
      d.next.get(i).back().putAll(r.back());
    }
    d.seal();
    LOG.info("{} gets {} pages", part, pages);
  }

  private static void merge(Map<String, String> texts, String job, TreeMap<Integer, Integer> more) {
    TreeMap<Integer, Integer> all = PartitionRecord.indexes(texts.get(job));
    all.putAll(more);
    texts.put(job, PartitionRecord.indexes(all));
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
      d.after.add(() -> placer.failures().learn(a, t, end.getValue()));
    }
    Machine.Condition wanted = a.condition == null ? m.condition() : a.condition;
    String condition = wanted == Machine.Condition.OK ? null : wanted.name();
    if (gone) {
      condition = null;
      if ((d.lists.containsKey(name) ? d.lists.get(name) : m.tasks()).isEmpty()) {
        // One change is left for the page that the machine's condition comes off.
        if (d.txn.writes() < Constants.DELETES_PER_WRITE
            && d.writes() + 1 < settings.state().txnOps()) {
          d.txn.delete(Keys.machine(name));
        } else {
          dirty.add(name);
        }
      }
    }
    Map<String, String> conditions = d.next.get(d.page(name)).conditions();
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
      int page = PartitionRecord.pageOf(name, view.pages(to.part()));
      String first = Keys.record(to.part(), 0);
      String key = Keys.record(to.part(), page);
      PartitionRecord next = view.record(to.part(), page).copy();
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

  /** A job whose last task has ended is done in the same write, and needs no progress any more. */
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
      d.next.forEach(r -> r.done().remove(job));
      d.next.forEach(r -> r.back().remove(job));
    }
  }

  private void place(Draft d) {
    int conditions =
        settings.state().txnOps() * 4 - d.txn.conditions() - d.next.size() - OTHER_CONDITIONS;
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

  /** Forgets ended tasks that their job's progress has taken over, or that need none any more. */
  private void prune(PartitionRecord r) {
    prune(
        r.done(),
        (job, i, attempt) -> {
          Progress p = view.written(job, i / Constants.CHUNK_TASKS);
          return p == null || p.done.get(i);
        });
    prune(
        r.back(),
        (job, i, attempt) -> {
          Progress p = view.written(job, i / Constants.CHUNK_TASKS);
          return p == null || !p.isLive(i, attempt);
        });
  }

  private interface Known {
    boolean known(String job, int index, int attempt);
  }

  private static void prune(Map<String, String> texts, Known known) {
    for (String job : List.copyOf(texts.keySet())) {
      TreeMap<Integer, Integer> list = PartitionRecord.indexes(texts.get(job));
      if (list.entrySet().removeIf(e -> known.known(job, e.getKey(), e.getValue()))) {
        if (list.isEmpty()) {
          texts.remove(job);
        } else {
          texts.put(job, PartitionRecord.indexes(list));
        }
      }
    }
  }
}
