package org.baygw.control.standby;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baygw.control.model.Partition;
import org.baygw.control.model.TaskId;
import org.baygw.control.store.StateCache;
import org.roaringbitmap.RoaringBitmap;

/**
 * Compares a replica with the durable record at a takeover. The record wins: entries that only the
 * replica has are dropped, and each difference is counted.
 */
final class Reconciliation {
  private final StateCache cache;
  private final List<Decision> corrections = new ArrayList<>();
  private long differences;

  private Reconciliation(StateCache cache) {
    this.cache = cache;
  }

  /**
   * A state that is consistent with the record.
   *
   * @param differences number of entries that only the replica had, and of tasks on record that the
   *     replica lacked
   */
  record Result(RoleState state, long differences) {}

  static Result ofPartition(Partition partition, RoleState state, StateCache cache) {
    Reconciliation reconciliation = new Reconciliation(cache);
    state.machines().forEach(reconciliation::compareMachine);
    for (String name : cache.machinesOf(partition)) {
      MachineState machine = state.machines().getOrDefault(name, MachineState.UNKNOWN);
      reconciliation.countMissing(name, machine);
    }
    return reconciliation.apply(state);
  }

  static Result ofLeader(RoleState state, StateCache cache) {
    Reconciliation reconciliation = new Reconciliation(cache);
    for (String job : state.waitingSinceMs().keySet()) {
      if (!cache.activeJobs.containsKey(job)) {
        reconciliation.addCorrection(new Decision.JobServed(job), 1);
      }
    }
    state.grants().forEach(reconciliation::compareGrants);
    return reconciliation.apply(state);
  }

  private Result apply(RoleState state) {
    RoleState next = state;
    for (Decision correction : corrections) {
      next = next.apply(correction);
    }
    return new Result(next, differences);
  }

  private void addCorrection(Decision correction, int count) {
    corrections.add(correction);
    differences += count;
  }

  private void compareMachine(String name, MachineState machine) {
    if (!cache.machines.containsKey(name)) {
      addCorrection(new Decision.MachineGone(name), 1);
      return;
    }
    Set<TaskId> recorded = cache.tasksOn(name).keySet();
    machine
        .launched()
        .forEach(
            (job, tasks) -> {
              RoaringBitmap gone = allTasks(tasks);
              recorded.stream()
                  .filter(task -> task.job().equals(job))
                  .forEach(task -> gone.remove(task.index()));
              if (!gone.isEmpty()) {
                addCorrection(new Decision.TasksEnded(name, job, gone), gone.getCardinality());
              }
            });
  }

  /**
   * Counts tasks on record whose launch the replica does not know, because it lagged or because
   * they have not been launched yet.
   */
  private void countMissing(String name, MachineState machine) {
    for (TaskId task : cache.tasksOn(name).keySet()) {
      TimedTasks known = machine.launched().getOrDefault(task.job(), TimedTasks.NONE);
      differences += allTasks(known).contains(task.index()) ? 0 : 1;
    }
  }

  private void compareGrants(String job, TimedTasks tasks) {
    RoaringBitmap gone = new RoaringBitmap();
    for (int index : allTasks(tasks)) {
      if (cache.grant(new TaskId(job, index)) == null) {
        gone.add(index);
      }
    }
    if (!gone.isEmpty()) {
      addCorrection(new Decision.GrantsEnded(job, gone), gone.getCardinality());
    }
  }

  private static RoaringBitmap allTasks(TimedTasks tasks) {
    RoaringBitmap all = new RoaringBitmap();
    tasks.batches().forEach(batch -> all.or(batch.tasks()));
    return all;
  }

  /** Adds to {@code ages} the age of each of a job's tasks in ms, at the given wall-clock time. */
  static void addAges(String job, TimedTasks tasks, long nowMs, Map<TaskId, Long> ages) {
    for (TimedTasks.Batch batch : tasks.batches()) {
      long ageMs = Math.max(0, nowMs - batch.atMs());
      for (int index : batch.tasks()) {
        ages.put(new TaskId(job, index), ageMs);
      }
    }
  }
}
