package org.baygw.control.standby;

import com.google.common.collect.Iterators;
import java.util.Iterator;
import java.util.Map;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;

/**
 * The state that results from a role's decisions. Immutable, with persistent collections: a
 * snapshot is a reference that can be taken while the log grows. It is sent as the decisions that
 * rebuild it.
 *
 * @param machines the machines of a partition, by name
 * @param waitingSinceMs since when jobs have had tasks without capacity, by job
 * @param grants tasks that the leader granted, by job
 * @param refusedUntilMs kinds of machines that the cloud has run out of, with the time until which
 *     it is not asked for them
 */
record RoleState(
    HashPMap<String, MachineState> machines,
    HashPMap<String, Long> waitingSinceMs,
    HashPMap<String, TimedTasks> grants,
    HashPMap<RoleState.Kind, Long> refusedUntilMs) {

  /** A kind of machine that the cloud offers. */
  record Kind(String type, String zone, boolean spot) {}

  static final RoleState EMPTY =
      new RoleState(
          HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty());

  /** The state after one more decision. */
  RoleState apply(Decision decision) {
    if (decision instanceof Decision.SessionKnown d) {
      return with(d.machine(), machine(d.machine()).withSession(d.address(), d.session()));
    } else if (decision instanceof Decision.TasksLaunched d) {
      return with(d.machine(), machine(d.machine()).launched(d.job(), d.tasks(), d.atMs()));
    } else if (decision instanceof Decision.TasksEnded d) {
      return with(d.machine(), machine(d.machine()).ended(d.job(), d.tasks()));
    } else if (decision instanceof Decision.TasksFailed d) {
      return with(d.machine(), machine(d.machine()).failed(d.job(), d.count()));
    } else if (decision instanceof Decision.TaskCompleted d) {
      return with(d.machine(), machine(d.machine()).completed());
    } else if (decision instanceof Decision.MachineSick d) {
      return with(d.machine(), machine(d.machine()).withSick());
    } else if (decision instanceof Decision.MachineGone d) {
      return withMachines(machines.minus(d.machine()));
    } else if (decision instanceof Decision.JobWaiting d) {
      return withWaiting(waitingSinceMs.plus(d.job(), d.sinceMs()));
    } else if (decision instanceof Decision.JobServed d) {
      return withWaiting(waitingSinceMs.minus(d.job()));
    } else if (decision instanceof Decision.TasksGranted d) {
      TimedTasks next = grants.getOrDefault(d.job(), TimedTasks.NONE).with(d.tasks(), d.atMs());
      return withGrants(grants.plus(d.job(), next));
    } else if (decision instanceof Decision.GrantsEnded d) {
      TimedTasks left = grants.getOrDefault(d.job(), TimedTasks.NONE).without(d.tasks());
      return withGrants(left.isEmpty() ? grants.minus(d.job()) : grants.plus(d.job(), left));
    } else if (decision instanceof Decision.CapacityRefused d) {
      Kind kind = new Kind(d.type(), d.zone(), d.spot());
      return new RoleState(
          machines, waitingSinceMs, grants, refusedUntilMs.plus(kind, d.untilMs()));
    }
    throw new IllegalStateException("unknown decision type: " + decision);
  }

  /** This state without the capacity refusals that have expired at the given wall-clock time. */
  RoleState withoutExpired(long nowMs) {
    HashPMap<Kind, Long> left = refusedUntilMs;
    for (Map.Entry<Kind, Long> refused : refusedUntilMs.entrySet()) {
      left = refused.getValue() <= nowMs ? left.minus(refused.getKey()) : left;
    }
    return left == refusedUntilMs ? this : new RoleState(machines, waitingSinceMs, grants, left);
  }

  private MachineState machine(String name) {
    return machines.getOrDefault(name, MachineState.UNKNOWN);
  }

  private RoleState with(String machine, MachineState state) {
    boolean same = state == MachineState.UNKNOWN || state == machines.get(machine);
    return same ? this : withMachines(machines.plus(machine, state));
  }

  private RoleState withMachines(HashPMap<String, MachineState> next) {
    return new RoleState(next, waitingSinceMs, grants, refusedUntilMs);
  }

  private RoleState withWaiting(HashPMap<String, Long> next) {
    return new RoleState(machines, next, grants, refusedUntilMs);
  }

  private RoleState withGrants(HashPMap<String, TimedTasks> next) {
    return new RoleState(machines, waitingSinceMs, next, refusedUntilMs);
  }

  /** The decisions that rebuild this state from the empty one, generated lazily. */
  Iterator<Decision> decisions() {
    Iterator<Iterator<? extends Decision>> ofMachines =
        Iterators.transform(
            machines.entrySet().iterator(),
            entry -> entry.getValue().decisions(entry.getKey()).iterator());
    Iterator<Decision> waiting =
        Iterators.transform(
            waitingSinceMs.entrySet().iterator(),
            entry -> new Decision.JobWaiting(entry.getKey(), entry.getValue()));
    Iterator<Iterator<? extends Decision>> ofGrants =
        Iterators.transform(
            grants.entrySet().iterator(),
            entry ->
                Iterators.transform(
                    entry.getValue().batches().iterator(),
                    batch ->
                        new Decision.TasksGranted(entry.getKey(), batch.tasks(), batch.atMs())));
    Iterator<Decision> refused =
        Iterators.transform(
            refusedUntilMs.entrySet().iterator(),
            entry -> {
              Kind kind = entry.getKey();
              return new Decision.CapacityRefused(
                  kind.type(), kind.zone(), kind.spot(), entry.getValue());
            });
    return Iterators.concat(
        Iterators.concat(ofMachines), waiting, Iterators.concat(ofGrants), refused);
  }
}
