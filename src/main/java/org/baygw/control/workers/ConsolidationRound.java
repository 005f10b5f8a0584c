package org.baygw.control.workers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.baygw.control.Constants;
import org.baygw.control.model.Job;
import org.baygw.control.model.JobSpec;
import org.baygw.control.model.Partition;
import org.baygw.control.model.SchedulingParameters;
import org.baygw.control.model.TaskId;
import org.baygw.control.placement.BranchAndBound;
import org.baygw.control.placement.MachineCapacity;
import org.baygw.control.store.StateCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The design's rounds over the machines of this controller: sets a search up, lets it run a few
 * nodes at a time, and keeps the moves it asked for until they are made or out of date.
 */
public final class ConsolidationRound {
  /** Age of a task that this owner launched. */
  interface Age {
    double ageS(String machine, TaskId t);
  }

  /** Whether a task cannot be moved now whatever its age. */
  interface Pinned {
    boolean pinned(String machine, TaskId t);
  }

  /** Whether a machine has an image. */
  interface Cached {
    boolean cached(String machine, String image);
  }

  private record Move(String from, String to, long until) {}

  private static final Logger LOG = LoggerFactory.getLogger(ConsolidationRound.class);

  private final Map<TaskId, Move> moves = new HashMap<>();
  private BranchAndBound search;
  private List<TaskId> tasks = List.of();
  private List<String> machines = List.of();
  private double costBefore;
  private long nextRound;
  private long searched;
  private long found;
  private long planned;

  /** Rounds searched so far. */
  public long searched() {
    return searched;
  }

  /** Rounds that found something better. */
  public long found() {
    return found;
  }

  /** Moves planned. */
  public long planned() {
    return planned;
  }

  /** Where the task is to go, or null. */
  String target(TaskId t, String from) {
    Move m = moves.get(t);
    return m != null && m.from().equals(from) ? m.to() : null;
  }

  /** The tasks that are to move to each machine. */
  Map<String, List<TaskId>> coming() {
    Map<String, List<TaskId>> out = new HashMap<>();
    moves.forEach((t, m) -> out.computeIfAbsent(m.to(), k -> new ArrayList<>()).add(t));
    return out;
  }

  void drop(TaskId t) {
    moves.remove(t);
  }

  /** Goes on with the round; returns where pending tasks are to be placed. */
  Map<TaskId, String> tick(
      long now,
      StateCache view,
      SchedulingParameters params,
      Supplier<List<MachineCapacity>> rooms,
      Supplier<Map<TaskId, Partition>> pending,
      Age age,
      Pinned pinned,
      Cached cached) {
    moves
        .entrySet()
        .removeIf(e -> now > e.getValue().until() || !view.jobs.containsKey(e.getKey().job()));
    if (search == null) {
      if (now < nextRound) {
        return Map.of();
      }
      nextRound = now + (long) (params.roundPeriodS() * 1000);
      begin(view, params, rooms.get(), pending.get(), age, pinned, cached);
      return Map.of();
    }
    if (search.step(Constants.SEARCH_STEP) || search.nodes() >= params.searchNodes()) {
      return finish(now);
    }
    return Map.of();
  }

  private void begin(
      StateCache view,
      SchedulingParameters params,
      List<MachineCapacity> rooms,
      Map<TaskId, Partition> pending,
      Age age,
      Pinned pinned,
      Cached cached) {
    if (rooms.size() < 2) {
      return;
    }
    List<BranchAndBound.Host> hosts = new ArrayList<>();
    List<BranchAndBound.Item> items = new ArrayList<>();
    tasks = new ArrayList<>();
    machines = rooms.stream().map(r -> r.machine().name()).toList();
    int most = (int) Math.ceil(rooms.size() * params.moveShare());
    Map<Integer, List<TaskId>> movable =
        emptiable(view, params, rooms, age, pinned, most * Constants.ROUND_TASKS_PER_MOVE);
    for (int p = 0; p < rooms.size(); p++) {
      MachineCapacity r = rooms.get(p);
      double[] free = {r.freeCpus(), r.freeGpus(), r.freeMemoryGb()};
      for (TaskId t : movable.getOrDefault(p, List.of())) {
        JobSpec s = view.jobs.get(t.job()).value().spec();
        double[] load = {s.cpus(), s.gpus(), s.memoryGb()};
        for (int k = 0; k < load.length; k++) {
          free[k] += load[k];
        }
      }
      boolean stays = !movable.containsKey(p) && !r.machine().tasks().isEmpty();
      hosts.add(new BranchAndBound.Host(free, stays));
    }
    movable.forEach(
        (p, list) -> {
          for (TaskId t : list) {
            JobSpec s = view.jobs.get(t.job()).value().spec();
            boolean[] allowed = new boolean[rooms.size()];
            for (int q = 0; q < allowed.length; q++) {
              var m = rooms.get(q).machine();
              allowed[q] =
                  q == p
                      || MachineCapacity.allowed(s, m.type(), m.zone(), m.spot())
                          // A replica is down while its image is fetched.
                          && (!s.service() || cached.cached(m.name(), s.image()))
                          && (!s.service() || !rooms.get(q).holds(s.id()))
                          && (!s.spread() || m.zone().equals(rooms.get(p).machine().zone()));
            }
            double[] load = {s.cpus(), s.gpus(), s.memoryGb()};
            items.add(new BranchAndBound.Item(load, p, s.service() ? s.id() : null, allowed));
            tasks.add(t);
          }
        });
    pending.forEach(
        (t, part) -> {
          StateCache.Entry<Job> j = view.jobs.get(t.job());
          if (j != null && j.value().open()) {
            JobSpec s = j.value().spec();
            boolean[] allowed = new boolean[rooms.size()];
            for (int q = 0; q < allowed.length; q++) {
              var m = rooms.get(q).machine();
              allowed[q] =
                  m.partition().equals(part)
                      && MachineCapacity.allowed(s, m.type(), m.zone(), m.spot());
            }
            double[] load = {s.cpus(), s.gpus(), s.memoryGb()};
            items.add(new BranchAndBound.Item(load, -1, s.service() ? s.id() : null, allowed));
            tasks.add(t);
          }
        });
    if (items.isEmpty() || most == 0) {
      return;
    }
    search = new BranchAndBound(hosts, items, params.alpha(), params.mu(), most);
    costBefore = search.bestCost();
    searched++;
  }

  /**
   * The machines that a round could empty, by index, with their tasks: nothing on them stays, and
   * they hold fewer than alpha/mu tasks, or emptying them would not pay. The tasks of all others
   * stay where they are. Those with the most tasks come first: the search changes last what it
   * placed first, so the machines that are emptied most cheaply are tried before the others.
   */
  private static Map<Integer, List<TaskId>> emptiable(
      StateCache view,
      SchedulingParameters params,
      List<MachineCapacity> rooms,
      Age age,
      Pinned pinned,
      int mostTasks) {
    Map<Integer, List<TaskId>> found = new HashMap<>();
    for (int p = 0; p < rooms.size(); p++) {
      String name = rooms.get(p).machine().name();
      List<TaskId> list = List.copyOf(rooms.get(p).machine().tasks().keySet());
      if (list.isEmpty() || list.size() >= params.alpha() / params.mu()) {
        continue;
      }
      boolean all = true;
      for (TaskId t : list) {
        StateCache.Entry<Job> j = view.jobs.get(t.job());
        all &=
            j != null
                && !j.value().spec().oneZone()
                && !pinned.pinned(name, t)
                && age.ageS(name, t) <= params.ageLimitS();
      }
      if (all) {
        found.put(p, list);
      }
    }
    List<Integer> order = new ArrayList<>(found.keySet());
    order.sort(Comparator.comparing((Integer p) -> found.get(p).size()).thenComparing(p -> p));
    int sum = 0;
    int taken = 0;
    while (taken < order.size() && sum + found.get(order.get(taken)).size() <= mostTasks) {
      sum += found.get(order.get(taken++)).size();
    }
    Map<Integer, List<TaskId>> out = new LinkedHashMap<>();
    for (int i = taken - 1; i >= 0; i--) {
      out.put(order.get(i), found.get(order.get(i)));
    }
    return out;
  }

  private Map<TaskId, String> finish(long now) {
    Map<TaskId, String> placed = new LinkedHashMap<>();
    int[] best = search.best();
    if (search.improved()) {
      found++;
      for (int v = 0; v < best.length; v++) {
        if (search.current(v) < 0 && best[v] >= 0) {
          placed.put(tasks.get(v), machines.get(best[v]));
        } else if (best[v] >= 0 && best[v] != search.current(v)) {
          moves.put(
              tasks.get(v),
              new Move(
                  machines.get(search.current(v)),
                  machines.get(best[v]),
                  now + Constants.MOVE_PLAN_MS));
          planned++;
        }
      }
      LOG.info(
          "a round over {} tasks and {} machines found {} instead of {} after {} nodes: {}",
          best.length,
          machines.size(),
          search.bestCost(),
          costBefore,
          search.nodes(),
          moves);
    } else {
      LOG.debug("a round over {} tasks found nothing in {} nodes", best.length, search.nodes());
    }
    search = null;
    return placed;
  }
}
