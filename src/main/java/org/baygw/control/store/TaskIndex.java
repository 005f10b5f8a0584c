package org.baygw.control.store;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.baygw.control.model.Partition;
import org.baygw.control.model.Progress;
import org.baygw.control.model.TaskId;

/**
 * Index of tasks by machine and by partition. A task is unplaced if it is granted to a partition
 * and on no machine. Grants come from the jobs' progress and machines from the partitions' records;
 * their changes may arrive in any order.
 */
final class TaskIndex {
  /** Looks up the present grant of a task; null if it has none. */
  private final Function<TaskId, Progress.LiveTask> grants;

  /** Machines that may have each task; more than one only in case of a fault. */
  private final Map<TaskId, Set<String>> machinesByTask = new HashMap<>();

  /** Tasks on each machine, with their attempts. */
  private final Map<String, Map<TaskId, Integer>> tasksByMachine = new HashMap<>();

  private final Map<Partition, Set<TaskId>> unplaced = new HashMap<>();
  private final Map<Partition, Integer> grantedCounts = new HashMap<>();

  TaskIndex(Function<TaskId, Progress.LiveTask> grants) {
    this.grants = grants;
  }

  Set<String> machinesWith(TaskId task) {
    return machinesByTask.getOrDefault(task, Set.of());
  }

  Map<TaskId, Integer> tasksOn(String machine) {
    return tasksByMachine.getOrDefault(machine, Map.of());
  }

  Set<TaskId> unplaced(Partition partition) {
    return unplaced.getOrDefault(partition, Set.of());
  }

  int grantedCount(Partition partition) {
    return grantedCounts.getOrDefault(partition, 0);
  }

  /** Adds a grant; it replaces none. */
  void addGrant(TaskId task, Progress.LiveTask grant) {
    grantedCounts.merge(grant.partition(), 1, Integer::sum);
    if (machinesWith(task).isEmpty()) {
      addUnplaced(grant.partition(), task);
    }
  }

  void removeGrant(TaskId task, Progress.LiveTask grant) {
    grantedCounts.merge(grant.partition(), -1, Integer::sum);
    removeUnplaced(grant.partition(), task);
  }

  /** Replaces the tasks on a machine, and returns those that are new there. */
  Set<TaskId> setTasks(String machine, Map<TaskId, Integer> next) {
    Map<TaskId, Integer> old = tasksOn(machine);
    for (TaskId task : old.keySet()) {
      if (!next.containsKey(task)) {
        removeFromMachine(task, machine);
      }
    }
    Set<TaskId> added = new HashSet<>();
    for (TaskId task : next.keySet()) {
      if (!old.containsKey(task)) {
        added.add(task);
        addToMachine(task, machine);
      }
    }
    if (next.isEmpty()) {
      tasksByMachine.remove(machine);
    } else {
      tasksByMachine.put(machine, next);
    }
    return added;
  }

  private void removeFromMachine(TaskId task, String machine) {
    Set<String> machines = machinesByTask.get(task);
    machines.remove(machine);
    if (machines.isEmpty()) {
      machinesByTask.remove(task);
      Progress.LiveTask grant = grants.apply(task);
      if (grant != null) {
        addUnplaced(grant.partition(), task);
      }
    }
  }

  private void addToMachine(TaskId task, String machine) {
    machinesByTask.computeIfAbsent(task, k -> new HashSet<>()).add(machine);
    Progress.LiveTask grant = grants.apply(task);
    if (grant != null) {
      removeUnplaced(grant.partition(), task);
    }
  }

  private void addUnplaced(Partition partition, TaskId task) {
    unplaced.computeIfAbsent(partition, k -> new HashSet<>()).add(task);
  }

  private void removeUnplaced(Partition partition, TaskId task) {
    Set<TaskId> tasks = unplaced.get(partition);
    if (tasks != null) {
      tasks.remove(task);
    }
  }
}
