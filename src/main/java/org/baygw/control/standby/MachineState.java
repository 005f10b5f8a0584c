package org.baygw.control.standby;

import java.util.ArrayList;
import java.util.List;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;
import org.roaringbitmap.RoaringBitmap;

/**
 * What a partition's owner knows of one machine beyond the durable record. Immutable.
 *
 * @param session the worker's session; 0 if unknown
 * @param launched tasks that this owner or a former one launched on the machine, by job
 * @param failures number of failed tasks, by job, since a task of any job last completed there
 */
record MachineState(
    String address,
    long session,
    HashPMap<String, TimedTasks> launched,
    HashPMap<String, Integer> failures,
    boolean sick) {
  static final MachineState UNKNOWN =
      new MachineState("", 0, HashTreePMap.empty(), HashTreePMap.empty(), false);

  MachineState withSession(String newAddress, long newSession) {
    return new MachineState(newAddress, newSession, launched, failures, sick);
  }

  MachineState launched(String job, RoaringBitmap tasks, long atMs) {
    TimedTasks next = launched.getOrDefault(job, TimedTasks.NONE).with(tasks, atMs);
    return new MachineState(address, session, launched.plus(job, next), failures, sick);
  }

  MachineState ended(String job, RoaringBitmap tasks) {
    TimedTasks before = launched.get(job);
    if (before == null) {
      return this;
    }
    TimedTasks left = before.without(tasks);
    HashPMap<String, TimedTasks> next =
        left.isEmpty() ? launched.minus(job) : launched.plus(job, left);
    return new MachineState(address, session, next, failures, sick);
  }

  MachineState failed(String job, int count) {
    int sum = failures.getOrDefault(job, 0) + count;
    return new MachineState(address, session, launched, failures.plus(job, sum), sick);
  }

  MachineState completed() {
    return failures.isEmpty()
        ? this
        : new MachineState(address, session, launched, HashTreePMap.empty(), sick);
  }

  MachineState withSick() {
    return new MachineState(address, session, launched, failures, true);
  }

  /** The decisions that rebuild this state from {@link #UNKNOWN}. */
  List<Decision> decisions(String machine) {
    List<Decision> decisions = new ArrayList<>();
    if (session != 0 || !address.isEmpty()) {
      decisions.add(new Decision.SessionKnown(machine, address, session));
    }
    launched.forEach(
        (job, tasks) ->
            tasks
                .batches()
                .forEach(
                    batch ->
                        decisions.add(
                            new Decision.TasksLaunched(
                                machine, job, batch.tasks(), batch.atMs()))));
    failures.forEach((job, count) -> decisions.add(new Decision.TasksFailed(machine, job, count)));
    if (sick) {
      decisions.add(new Decision.MachineSick(machine));
    }
    return decisions;
  }
}
