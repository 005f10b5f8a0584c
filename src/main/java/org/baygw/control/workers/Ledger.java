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
import org.baygw.control.model.Part;
import org.baygw.control.model.Progress;
import org.baygw.control.model.Records;
import org.baygw.control.model.Roster;
import org.baygw.control.model.TaskId;
import org.baygw.control.placement.Room;
import org.baygw.control.store.Keys;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;
import org.baygw.control.store.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The only writer of a part's record, under one claim. All that has come up since the last write goes
 * into the next one: tasks proved gone, tasks placed, conditions of machines. A task stands in the
 * record before its launch is sent and until it is proved gone.
 */
final class Ledger {
  /** What the ledger asks of the rest. */
  interface Owner {
    /** The agent of one of the part's machines, or null. */
    Agent agent(String machine);

    /** The ledger of another part of this controller, or null. */
    Ledger ledger(Part part);

    /** Tasks were placed, durably. */
    void placed(Set<String> machines);
  }

  private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);

  final Part part;
  final long claim;
  private final Clock clock;
  private final Settings settings;
  private final Store store;
  private final View view;
  private final Proofs proofs;
  private final Placing placing;
  private final Rounds rounds;
  private final Owner owner;
  private final Set<String> dirty = new LinkedHashSet<>();

  /** Tasks that a write under way would put on machines, or take off. */
  private final Set<TaskId> moving = new HashSet<>();

  private boolean queued;
  private boolean writing;
  private long lastWrite = Long.MIN_VALUE / 2;
  private long nextTry;
  private long seenChanges = -1;

  /** One write in the making. */
  private static final class Draft {
    Roster next;
    Txn txn;
    final Map<String, Map<TaskId, Integer>> lists = new LinkedHashMap<>();
    final Map<String, TreeMap<Integer, Integer>> done = new HashMap<>();
    final Map<String, TreeMap<Integer, Integer>> back = new HashMap<>();
    final Set<String> handled = new HashSet<>();
    final Set<String> placedOn = new LinkedHashSet<>();
    final List<Runnable> after = new ArrayList<>();
    Ledger target;
    boolean changed;
  }

  Ledger(
      Part part,
      long claim,
      Clock clock,
      Settings settings,
      Store store,
      View view,
      Proofs proofs,
      Placing placing,
      Rounds rounds,
      Owner owner) {
    this.part = part;
    this.claim = claim;
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.view = view;
    this.proofs = proofs;
    this.placing = placing;
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
    if (store.scarce() && now < lastWrite + Constants.ROSTER_PACE_MS) {
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

  private Draft make() {
    moving.clear();
    Draft d = new Draft();
    Roster now = view.roster(part);
    String key = Keys.roster(part);
    d.next = now.copy();
    d.txn = new Txn().when(key, view.stamp(key)).when(Keys.claim(part.toString()), claim);
    int limit = (int) (settings.state().valueKb() * 1024);
    for (String name : List.copyOf(dirty)) {
      if (d.next.size() < limit - Constants.ROSTER_SPARE_BYTES
          && d.handled.size() < Constants.MACHINES_PER_WRITE) {
        dirty.remove(name);
        d.handled.add(name);
        settle(d, name);
      }
    }
    finish(d);
    place(d, (int) (limit * Constants.ROSTER_FULL) - d.next.size());
    if (!d.changed) {
      nextTry = clock.now() + Constants.PLACE_AGAIN_MS;
      moving.clear();
      return null;
    }
    for (Map.Entry<String, Map<TaskId, Integer>> e : d.lists.entrySet()) {
      if (e.getValue().isEmpty()) {
        d.next.on().remove(e.getKey());
      } else {
        d.next.on().put(e.getKey(), Roster.tasks(e.getValue()));
      }
    }
    d.done.forEach((job, list) -> merge(d.next.done(), job, list));
    d.back.forEach((job, list) -> merge(d.next.back(), job, list));
    prune(d.next);
    d.txn.put(key, Records.roster(d.next));
    return d;
  }

  private static void merge(
      Map<String, String> texts, String job, TreeMap<Integer, Integer> more) {
    TreeMap<Integer, Integer> all = Roster.indexes(texts.get(job));
    all.putAll(more);
    texts.put(job, Roster.indexes(all));
  }

  private Map<TaskId, Integer> list(Draft d, String machine) {
    return d.lists.computeIfAbsent(machine, k -> new LinkedHashMap<>(view.on(machine)));
  }

  /** Takes what is proved gone off a machine, and notes whether it is fit for more. */
  private void settle(Draft d, String name) {
    View.Entry<Machine> e = view.machines.get(name);
    if (e == null) {
      return;
    }
    Machine m = e.value();
    Agent a = owner.agent(name);
    boolean gone = view.drains.get(name) == View.Drain.GONE;
    Map<TaskId, Proofs.End> ends = proofs.ends(a, m);
    for (Map.Entry<TaskId, Proofs.End> end : ends.entrySet()) {
      TaskId t = end.getKey();
      Map<TaskId, Integer> left = list(d, name);
      int attempt = left.remove(t);
      d.changed = true;
      moving.add(t);
      if (view.grant(t) != null && view.grant(t).attempt() == attempt) {
        if (end.getValue() == Proofs.End.DONE) {
          d.done.computeIfAbsent(t.job(), k -> new TreeMap<>()).put(t.index(), 1);
        } else if (gone || !move(d, a, t)) {
          d.back.computeIfAbsent(t.job(), k -> new TreeMap<>()).put(t.index(), attempt);
        }
      }
      rounds.drop(t);
      d.after.add(() -> placing.learn(a, t, end.getValue()));
    }
    Machine.Condition wanted = a.condition == null ? m.condition() : a.condition;
    String condition = wanted == Machine.Condition.OK ? null : wanted.name();
    if (gone) {
      condition = null;
      if ((d.lists.containsKey(name) ? d.lists.get(name) : m.tasks()).isEmpty()) {
        if (d.txn.writes() < Constants.DELETES_PER_WRITE) {
          d.txn.delete(Keys.machine(name));
          d.changed = true;
        } else {
          dirty.add(name);
        }
      }
    }
    if (!Objects.equals(condition, d.next.conditions().get(name))) {
      d.changed = true;
      if (condition == null) {
        d.next.conditions().remove(name);
      } else {
        d.next.conditions().put(name, condition);
        d.after.add(() -> LOG.info("{} is {}", name, wanted));
      }
    }
  }

  /** A round's move: off this machine and onto the other in one write, under the next attempt. */
  private boolean move(Draft d, Agent from, TaskId t) {
    String name = rounds.target(t, from.name);
    View.Entry<Machine> e = name == null ? null : view.machines.get(name);
    View.Entry<Job> j = view.jobs.get(t.job());
    if (e == null || d.target != null || j == null || !j.value().open() || view.grant(t).stop()) {
      return false;
    }
    Machine to = e.value();
    Ledger there = owner.ledger(to.part());
    Agent a = there == null ? null : there.owner.agent(name);
    if (a == null || there != this && there.writing || !placing.placeable(a, to)) {
      return false;
    }
    Room r = placing.room(a, to);
    if (r == null || !r.fits(j.value().spec()) || d.lists.containsKey(name)) {
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
      list(d, name).put(t, attempt);
    } else {
      String key = Keys.roster(to.part());
      Roster next = view.roster(to.part()).copy();
      Map<TaskId, Integer> on = new LinkedHashMap<>(view.on(name));
      on.put(t, attempt);
      next.on().put(name, Roster.tasks(on));
      d.txn
          .when(key, view.stamp(key))
          .when(Keys.claim(to.part().toString()), there.claim)
          .put(key, Records.roster(next));
      d.target = there;
      there.writing = true;
      there.moving.add(t);
    }
    d.placedOn.add(name);
    return true;
  }

  /** A job whose last task has ended is done in the same write, and needs no progress any more. */
  private void finish(Draft d) {
    for (String job : List.copyOf(d.done.keySet())) {
      View.Entry<Job> j = view.jobs.get(job);
      if (j == null || !j.value().open()
          || view.done(job) + d.done.get(job).size() < j.value().spec().tasks()) {
        continue;
      }
      int writes = 1 + j.value().chunks();
      if (d.txn.writes() + writes + 1 > settings.state().txnOps()) {
        continue; // the desk finishes it
      }
      LOG.debug(
          "{} ({}) is done after {} ms, {} tasks of {} s estimated",
          job,
          j.value().spec().jobClass(),
          clock.wall() - j.value().acceptedMs(),
          j.value().spec().tasks(),
          j.value().spec().estimateS());
      d.txn
          .when(Keys.job(job), j.stamp())
          .put(Keys.job(job), Records.job(j.value().with(Job.State.DONE)));
      for (int c = 0; c < j.value().chunks(); c++) {
        d.txn.delete(Keys.progress(job, c));
      }
      d.done.remove(job);
      d.next.done().remove(job);
      d.next.back().remove(job);
    }
  }

  private void place(Draft d, int bytes) {
    int conditions = settings.state().txnOps() * 4 - d.txn.conditions() - 2;
    Placing.Plan plan = placing.plan(part, claim, moving, conditions, bytes);
    plan.back()
        .forEach(
            (t, attempt) -> {
              d.back.computeIfAbsent(t.job(), k -> new TreeMap<>()).put(t.index(), attempt);
              d.changed = true;
              moving.add(t);
            });
    if (plan.onto().isEmpty()) {
      return;
    }
    d.changed = true;
    // Nothing may come to a machine once its return has been decided.
    d.txn.when(Keys.drain(part), view.stamp(Keys.drain(part)));
    plan.onto()
        .forEach(
            (name, tasks) -> {
              list(d, name).putAll(tasks);
              moving.addAll(tasks.keySet());
              d.placedOn.add(name);
              for (TaskId t : tasks.keySet()) {
                // The job must not have been cancelled. The grant needs no condition: while the job is
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
  private void prune(Roster r) {
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
      TreeMap<Integer, Integer> list = Roster.indexes(texts.get(job));
      if (list.entrySet().removeIf(e -> known.known(job, e.getKey(), e.getValue()))) {
        if (list.isEmpty()) {
          texts.remove(job);
        } else {
          texts.put(job, Roster.indexes(list));
        }
      }
    }
  }
}
