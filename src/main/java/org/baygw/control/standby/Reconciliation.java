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
 * Compares a replica with the durable record at a takeover. The record wins: what the replica has
 * beside it is dropped, and each difference is counted.
 */
final class Reconciliation {
  private final StateCache view;
  private final List<Decision> corrections = new ArrayList<>();
  private long differences;

  private Reconciliation(StateCache view) {
    this.view = view;
  }

  /**
   * A state that fits the record.
   *
   * @param differences what the replica had and the record has not, and tasks on record that the
   *     replica lacked
   */
  record Result(RoleState state, long differences) {}

  static Result ofPartition(Partition partition, RoleState state, StateCache view) {
    Reconciliation reconciliation = new Reconciliation(view);
    state.machines().forEach(reconciliation::compareMachine);
    for (String name : view.machinesOf(partition)) {
      MachineState machine = state.machines().getOrDefault(name, MachineState.UNKNOWN);
      reconciliation.countMissing(name, machine);
    }
    return reconciliation.apply(state);
  }

  static Result ofLeader(RoleState state, StateCache view) {
    Reconciliation reconciliation = new Reconciliation(view);
    for (String job : state.waitingSinceMs().keySet()) {
      if (!view.activeJobs.containsKey(job)) {
        reconciliation.correct(new Decision.JobServed(job), 1);
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

  private void correct(Decision correction, int count) {
    corrections.add(correction);
    differences += count;
  }

  private void compareMachine(String name, MachineState machine) {
    if (!view.machines.containsKey(name)) {
      correct(new Decision.MachineGone(name), 1);
      return;
    }
    Set<TaskId> recorded = view.tasksOn(name).keySet();
    machine
        .launched()
        .forEach(
            (job, tasks) -> {
              RoaringBitmap gone = all(tasks);
              recorded.stream()
                  .filter(task -> task.job().equals(job))
                  .forEach(task -> gone.remove(task.index()));
              if (!gone.isEmpty()) {
                correct(new Decision.TasksEnded(name, job, gone), gone.getCardinality());
              }
            });
  }

  /** Tasks on record of which the replica does not know the launch: a lag, or not launched yet. */
  private void countMissing(String name, MachineState machine) {
    for (TaskId task : view.tasksOn(name).keySet()) {
      TimedTasks known = machine.launched().getOrDefault(task.job(), TimedTasks.NONE);
      differences += all(known).contains(task.index()) ? 0 : 1;
    }
  }

  private void compareGrants(String job, TimedTasks tasks) {
    RoaringBitmap gone = new RoaringBitmap();
    for (int index : all(tasks)) {
      if (view.grant(new TaskId(job, index)) == null) {
        gone.add(index);
      }
    }
    if (!gone.isEmpty()) {
      correct(new Decision.GrantsEnded(job, gone), gone.getCardinality());
    }
  }

  private static RoaringBitmap all(TimedTasks tasks) {
    RoaringBitmap all = new RoaringBitmap();
    tasks.batches().forEach(batch -> all.or(batch.tasks()));
    return all;
  }

  /** The tasks of a job's timed tasks, each with its age at this time of day. */
  static void ages(String job, TimedTasks tasks, long nowMs, Map<TaskId, Long> ages) {
    for (TimedTasks.Batch batch : tasks.batches()) {
      long ageMs = Math.max(0, nowMs - batch.atMs());
      for (int index : batch.tasks()) {
        ages.put(new TaskId(job, index), ageMs);
      }
    }
  }
}
