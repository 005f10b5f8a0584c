package org.baygw.control.standby;

import com.google.common.collect.Iterators;
import java.util.Iterator;
import java.util.Map;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;

/**
 * The state that results from a role's decisions. Immutable, with persistent collections: a
 * snapshot is a reference that can be taken while the log grows. A snapshot is sent as the
 * decisions that rebuild the state.
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
    HashPMap<RoleState.MachineKind, Long> refusedUntilMs) {

  /** A kind of machine that the cloud offers. */
  record MachineKind(String type, String zone, boolean spot) {}

  static final RoleState EMPTY =
      new RoleState(
          HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty());

  /** The state after one more decision. */
  RoleState apply(Decision decision) {
    if (decision instanceof Decision.SessionKnown d) {
      return withMachine(d.machine(), machine(d.machine()).withSession(d.address(), d.session()));
    } else if (decision instanceof Decision.TasksLaunched d) {
      return withMachine(d.machine(), machine(d.machine()).launched(d.job(), d.tasks(), d.atMs()));
    } else if (decision instanceof Decision.TasksEnded d) {
      return withMachine(d.machine(), machine(d.machine()).ended(d.job(), d.tasks()));
    } else if (decision instanceof Decision.TasksFailed d) {
      return withMachine(d.machine(), machine(d.machine()).failed(d.job(), d.count()));
    } else if (decision instanceof Decision.TaskCompleted d) {
      return withMachine(d.machine(), machine(d.machine()).completed());
    } else if (decision instanceof Decision.MachineSick d) {
      return withMachine(d.machine(), machine(d.machine()).withSick());
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
      MachineKind kind = new MachineKind(d.type(), d.zone(), d.spot());
      return new RoleState(
          machines, waitingSinceMs, grants, refusedUntilMs.plus(kind, d.untilMs()));
    }
    throw new IllegalStateException("unknown decision type: " + decision);
  }

  /** This state without the capacity refusals that have expired at the given wall-clock time. */
  RoleState withoutExpired(long nowMs) {
    HashPMap<MachineKind, Long> remaining = refusedUntilMs;
    for (Map.Entry<MachineKind, Long> refused : refusedUntilMs.entrySet()) {
      remaining = refused.getValue() <= nowMs ? remaining.minus(refused.getKey()) : remaining;
    }
    return remaining == refusedUntilMs
        ? this
        : new RoleState(machines, waitingSinceMs, grants, remaining);
  }

  private MachineState machine(String name) {
    return machines.getOrDefault(name, MachineState.UNKNOWN);
  }

  private RoleState withMachine(String machine, MachineState state) {
    boolean unchanged = state == MachineState.UNKNOWN || state == machines.get(machine);
    return unchanged ? this : withMachines(machines.plus(machine, state));
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
    Iterator<Iterator<? extends Decision>> machineDecisions =
        Iterators.transform(
            machines.entrySet().iterator(),
            entry -> entry.getValue().decisions(entry.getKey()).iterator());
    Iterator<Decision> waitingDecisions =
        Iterators.transform(
            waitingSinceMs.entrySet().iterator(),
            entry -> new Decision.JobWaiting(entry.getKey(), entry.getValue()));
    Iterator<Iterator<? extends Decision>> grantDecisions =
        Iterators.transform(
            grants.entrySet().iterator(),
            entry ->
                Iterators.transform(
                    entry.getValue().batches().iterator(),
                    batch ->
                        new Decision.TasksGranted(entry.getKey(), batch.tasks(), batch.atMs())));
    Iterator<Decision> refusedDecisions =
        Iterators.transform(
            refusedUntilMs.entrySet().iterator(),
            entry -> {
              MachineKind kind = entry.getKey();
              return new Decision.CapacityRefused(
                  kind.type(), kind.zone(), kind.spot(), entry.getValue());
            });
    return Iterators.concat(
        Iterators.concat(machineDecisions),
        waitingDecisions,
        Iterators.concat(grantDecisions),
        refusedDecisions);
  }
}
