package org.baygw.control.store;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.baygw.control.model.Machine;
import org.baygw.control.model.PartitionRecord;
import org.baygw.control.model.TaskId;

/**
 * The difference between two versions of a page of a partition's record, fully decoded, so that
 * applying it cannot fail half-way.
 *
 * @param next the new version of the page
 * @param removedMachines machines whose tasks are no longer listed on the page
 * @param tasksByMachine new lists of tasks, with their attempts
 * @param machinesWithCondition machines with a condition in either version
 * @param endedByJob new lists of ended tasks; empty lists for jobs that are no longer listed
 */
record PageChange(
    PartitionRecord next,
    Set<String> removedMachines,
    Map<String, Map<TaskId, Integer>> tasksByMachine,
    Set<String> machinesWithCondition,
    Map<String, EndedTasks> endedByJob) {

  /** Ended tasks of a job on a page: completed ones, and the ended attempts of the others. */
  record EndedTasks(BitSet done, Map<Integer, Integer> requeued) {
    boolean isEmpty() {
      return done.isEmpty() && requeued.isEmpty();
    }
  }

  /**
   * Decodes what changed between two versions of a page.
   *
   * @throws IllegalArgumentException if the new version is malformed
   */
  static PageChange between(PartitionRecord old, PartitionRecord next) {
    Set<String> removedMachines = new LinkedHashSet<>();
    Map<String, Map<TaskId, Integer>> tasksByMachine = new LinkedHashMap<>();
    for (String machine : changedKeys(old.tasksByMachine(), next.tasksByMachine())) {
      String text = next.tasksByMachine().get(machine);
      if (text == null) {
        removedMachines.add(machine);
      } else {
        tasksByMachine.put(machine, PartitionRecord.tasks(text));
      }
    }
    next.conditionsByMachine().values().forEach(Machine.Condition::valueOf);
    Set<String> withCondition = new LinkedHashSet<>(old.conditionsByMachine().keySet());
    withCondition.addAll(next.conditionsByMachine().keySet());
    Set<String> jobs = changedKeys(old.completedByJob(), next.completedByJob());
    jobs.addAll(changedKeys(old.requeuedByJob(), next.requeuedByJob()));
    Map<String, EndedTasks> endedByJob = new LinkedHashMap<>();
    jobs.forEach(job -> endedByJob.put(job, endedTasks(next, job)));
    return new PageChange(next, removedMachines, tasksByMachine, withCondition, endedByJob);
  }

  private static EndedTasks endedTasks(PartitionRecord page, String job) {
    BitSet done = new BitSet();
    PartitionRecord.indexes(page.completedByJob().get(job)).keySet().forEach(done::set);
    return new EndedTasks(done, PartitionRecord.indexes(page.requeuedByJob().get(job)));
  }

  /** Keys whose texts differ, with those that only one map has. */
  private static Set<String> changedKeys(Map<String, String> old, Map<String, String> next) {
    Set<String> changed = new LinkedHashSet<>();
    next.forEach(
        (key, text) -> {
          if (!text.equals(old.get(key))) {
            changed.add(key);
          }
        });
    for (String key : old.keySet()) {
      if (!next.containsKey(key)) {
        changed.add(key);
      }
    }
    return changed;
  }
}
