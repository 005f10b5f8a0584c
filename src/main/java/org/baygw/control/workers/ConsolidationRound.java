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
 * Periodic consolidation of tasks on this controller's machines: sets up a search, runs it a few
 * nodes at a time, and keeps the planned moves until they are made or expire.
 */
public final class ConsolidationRound {
  /**
   * Returns the age of a task in seconds: 0 for a service replica, infinite if the launch time is
   * unknown.
   */
  interface Age {
    double ageS(String machine, TaskId task);
  }

  /** Tells whether a task cannot be moved now, whatever its age. */
  interface Pinned {
    boolean pinned(String machine, TaskId task);
  }

  /** Tells whether a machine has an image cached. */
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
  private long searchedRounds;
  private long improvedRounds;
  private long plannedMoves;

  /** Number of rounds searched. */
  public long searchedRounds() {
    return searchedRounds;
  }

  /** Number of rounds that found a better placement. */
  public long improvedRounds() {
    return improvedRounds;
  }

  /** Number of moves planned. */
  public long plannedMoves() {
    return plannedMoves;
  }

  /** The machine that the task is planned to move to from the given one, or null. */
  String target(TaskId task, String from) {
    Move move = moves.get(task);
    return move != null && move.from().equals(from) ? move.to() : null;
  }

  /** The tasks that are planned to move to each machine. */
  Map<String, List<TaskId>> incomingTasks() {
    Map<String, List<TaskId>> byMachine = new HashMap<>();
    moves.forEach(
        (task, move) -> byMachine.computeIfAbsent(move.to(), k -> new ArrayList<>()).add(task));
    return byMachine;
  }

  void dropMove(TaskId task) {
    moves.remove(task);
  }

  /**
   * Advances the round by a step; returns the machines chosen for pending tasks if this step ended
   * the round.
   */
  Map<TaskId, String> tick(
      long now,
      StateCache cache,
      SchedulingParameters params,
      Supplier<List<MachineCapacity>> capacities,
      Supplier<Map<TaskId, Partition>> pending,
      Age age,
      Pinned pinned,
      Cached cached) {
    moves
        .entrySet()
        .removeIf(e -> now > e.getValue().until() || !cache.jobs.containsKey(e.getKey().job()));
    if (search == null) {
      if (now < nextRound) {
        return Map.of();
      }
      nextRound = now + (long) (params.roundPeriodS() * 1000);
      startSearch(cache, params, capacities.get(), pending.get(), age, pinned, cached);
      return Map.of();
    }
    if (search.step(Constants.SEARCH_NODES_PER_STEP) || search.nodes() >= params.searchNodes()) {
      return finishSearch(now);
    }
    return Map.of();
  }

  private void startSearch(
      StateCache cache,
      SchedulingParameters params,
      List<MachineCapacity> capacities,
      Map<TaskId, Partition> pending,
      Age age,
      Pinned pinned,
      Cached cached) {
    if (capacities.size() < 2) {
      return;
    }
    List<BranchAndBound.Host> hosts = new ArrayList<>();
    List<BranchAndBound.Item> items = new ArrayList<>();
    tasks = new ArrayList<>();
    machines = capacities.stream().map(capacity -> capacity.machine().name()).toList();
    int maxMoves = (int) Math.ceil(capacities.size() * params.moveShare());
    Map<Integer, List<TaskId>> movable =
        emptiableMachines(
            cache, params, capacities, age, pinned, maxMoves * Constants.ROUND_TASKS_PER_MOVE);
    for (int host = 0; host < capacities.size(); host++) {
      MachineCapacity capacity = capacities.get(host);
      double[] free = {capacity.freeCpus(), capacity.freeGpus(), capacity.freeMemoryGb()};
      for (TaskId task : movable.getOrDefault(host, List.of())) {
        JobSpec spec = cache.jobs.get(task.job()).value().spec();
        double[] load = {spec.cpus(), spec.gpus(), spec.memoryGb()};
        for (int k = 0; k < load.length; k++) {
          free[k] += load[k];
        }
      }
      boolean stays = !movable.containsKey(host) && !capacity.machine().tasks().isEmpty();
      hosts.add(new BranchAndBound.Host(free, stays));
    }
    movable.forEach(
        (host, hostTasks) -> {
          for (TaskId task : hostTasks) {
            JobSpec spec = cache.jobs.get(task.job()).value().spec();
            boolean[] allowed = new boolean[capacities.size()];
            for (int target = 0; target < allowed.length; target++) {
              var machine = capacities.get(target).machine();
              allowed[target] =
                  target == host
                      || MachineCapacity.allowed(
                              spec, machine.type(), machine.zone(), machine.spot())
                          // A replica is down while its image is fetched.
                          && (!spec.service() || cached.cached(machine.name(), spec.image()))
                          && (!spec.service() || !capacities.get(target).hasTaskOf(spec.id()))
                          && (!spec.spread()
                              || machine.zone().equals(capacities.get(host).machine().zone()));
            }
            double[] load = {spec.cpus(), spec.gpus(), spec.memoryGb()};
            items.add(
                new BranchAndBound.Item(load, host, spec.service() ? spec.id() : null, allowed));
            tasks.add(task);
          }
        });
    pending.forEach(
        (task, partition) -> {
          StateCache.Entry<Job> jobEntry = cache.jobs.get(task.job());
          if (jobEntry != null && jobEntry.value().open()) {
            JobSpec spec = jobEntry.value().spec();
            boolean[] allowed = new boolean[capacities.size()];
            for (int target = 0; target < allowed.length; target++) {
              var machine = capacities.get(target).machine();
              allowed[target] =
                  machine.partition().equals(partition)
                      && MachineCapacity.allowed(
                          spec, machine.type(), machine.zone(), machine.spot());
            }
            double[] load = {spec.cpus(), spec.gpus(), spec.memoryGb()};
            items.add(
                new BranchAndBound.Item(load, -1, spec.service() ? spec.id() : null, allowed));
            tasks.add(task);
          }
        });
    if (items.isEmpty() || maxMoves == 0) {
      return;
    }
    search = new BranchAndBound(hosts, items, params.alpha(), params.mu(), maxMoves);
    costBefore = search.bestCost();
    searchedRounds++;
  }

  /**
   * The machines that a round could empty, by index, with their tasks: all tasks of such a machine
   * can be moved, and there are fewer than alpha/mu of them, since moving more would cost at least
   * as much as the emptied machine saves. The tasks of all other machines stay. Machines with the
   * most tasks come first: the search revises its first choices last, so the machines that are
   * cheapest to empty are tried before the others.
   */
  private static Map<Integer, List<TaskId>> emptiableMachines(
      StateCache cache,
      SchedulingParameters params,
      List<MachineCapacity> capacities,
      Age age,
      Pinned pinned,
      int maxTasks) {
    Map<Integer, List<TaskId>> candidates = new HashMap<>();
    for (int host = 0; host < capacities.size(); host++) {
      String name = capacities.get(host).machine().name();
      List<TaskId> hostTasks = List.copyOf(capacities.get(host).machine().tasks().keySet());
      if (hostTasks.isEmpty() || hostTasks.size() >= params.alpha() / params.mu()) {
        continue;
      }
      boolean emptiable = true;
      for (TaskId task : hostTasks) {
        StateCache.Entry<Job> jobEntry = cache.jobs.get(task.job());
        emptiable &=
            jobEntry != null
                && !jobEntry.value().spec().oneZone()
                && !pinned.pinned(name, task)
                && age.ageS(name, task) <= params.ageLimitS();
      }
      if (emptiable) {
        candidates.put(host, hostTasks);
      }
    }
    List<Integer> order = new ArrayList<>(candidates.keySet());
    order.sort(
        Comparator.comparing((Integer host) -> candidates.get(host).size())
            .thenComparing(host -> host));
    int taskCount = 0;
    int taken = 0;
    while (taken < order.size()
        && taskCount + candidates.get(order.get(taken)).size() <= maxTasks) {
      taskCount += candidates.get(order.get(taken++)).size();
    }
    Map<Integer, List<TaskId>> chosen = new LinkedHashMap<>();
    for (int i = taken - 1; i >= 0; i--) {
      chosen.put(order.get(i), candidates.get(order.get(i)));
    }
    return chosen;
  }

  private Map<TaskId, String> finishSearch(long now) {
    Map<TaskId, String> placed = new LinkedHashMap<>();
    int[] best = search.bestPlacement();
    if (search.improved()) {
      improvedRounds++;
      for (int item = 0; item < best.length; item++) {
        if (search.currentHost(item) < 0 && best[item] >= 0) {
          placed.put(tasks.get(item), machines.get(best[item]));
        } else if (best[item] >= 0 && best[item] != search.currentHost(item)) {
          moves.put(
              tasks.get(item),
              new Move(
                  machines.get(search.currentHost(item)),
                  machines.get(best[item]),
                  now + Constants.MOVE_PLAN_TTL_MS));
          plannedMoves++;
        }
      }
      LOG.info(
          "consolidation of {} tasks on {} machines: cost {} instead of {} after {} nodes, moves {}",
          best.length,
          machines.size(),
          search.bestCost(),
          costBefore,
          search.nodes(),
          moves);
    } else {
      LOG.debug(
          "consolidation of {} tasks: no better placement in {} nodes",
          best.length,
          search.nodes());
    }
    search = null;
    return placed;
  }
}
