package org.baygw.control.workers;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baygw.control.Constants;
import org.baygw.control.cloud.Cloud;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.membership.CancellationHorizon;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Machine;
import org.baygw.control.model.TaskId;
import org.baygw.control.store.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The last step of a cancellation. A machine that hangs keeps its tasks whatever its lease says, and in
 * an outage of the state service nobody can make it durable that the machine is given up. So a part's
 * owner has the cloud take a machine back on which a cancelled task is still not proved gone after half
 * of the time; the record follows in the usual way, as for any machine that is silent. In an outage a
 * part may have no owner that lives, and no other can take it: then the others do it, a little later.
 */
final class Overdue {
  private static final Logger LOG = LoggerFactory.getLogger(Overdue.class);

  private final Clock clock;
  private final View view;
  private final Membership membership;
  private final Proofs proofs;
  private final Cloud cloud;
  private final CancellationHorizon horizon;
  private final long cancelMs;

  /**
   * From when cancellations count: the copy was current before they were durable, so not earlier than
   * that; and where it was not current for long, as after a start, some time is taken to have passed.
   */
  private final Map<String, Long> countsFrom = new HashMap<>();

  private long seenStamp;
  private long wasCurrent = Long.MIN_VALUE / 2;

  /** Cancelled tasks that are not proved gone, by machine. */
  private final Map<String, Set<TaskId>> pending = new HashMap<>();

  private final Set<String> due = new LinkedHashSet<>();
  private boolean returning;
  private long nextTry;
  private long nextLook;

  Overdue(
      Clock clock,
      Settings settings,
      View view,
      Membership membership,
      Proofs proofs,
      Cloud cloud,
      CancellationHorizon horizon) {
    this.clock = clock;
    this.view = view;
    this.membership = membership;
    this.proofs = proofs;
    this.cloud = cloud;
    this.horizon = horizon;
    this.cancelMs = (long) (settings.workers().cancelS() * 1000);
  }

  /** Looks at one of this controller's machines. In an outage what is proved gone stays on record. */
  void look(Agent a, Machine m) {
    note(m, left(m, proofs.ends(a, m).keySet()), Constants.OVERDUE_SHARE);
  }

  private Set<TaskId> left(Machine m, Set<TaskId> ended) {
    Set<TaskId> left = new HashSet<>();
    for (TaskId t : m.tasks().keySet()) {
      if (!view.runs(t.job()) && !ended.contains(t)) {
        left.add(t);
      }
    }
    return left;
  }

  private void note(Machine m, Set<TaskId> left, double share) {
    if (left.isEmpty()) {
      pending.remove(m.name());
      due.remove(m.name());
      return;
    }
    pending.put(m.name(), left);
    for (TaskId t : left) {
      long known = countsFrom.computeIfAbsent(t.job(), k -> clock.now());
      if (clock.now() - known > cancelMs * share) {
        due.add(m.name());
      }
    }
  }

  void tick() {
    long now = clock.now();
    long from = Math.max(wasCurrent, now - (long) (cancelMs * Constants.OVERDUE_UNSEEN_SHARE));
    view.cancelledAfter(seenStamp)
        .forEach(
            (stamp, jobs) -> {
              seenStamp = stamp;
              jobs.forEach(j -> countsFrom.putIfAbsent(j, from));
            });
    wasCurrent = horizon.currentAsOf();
    if (now >= nextLook) {
      nextLook = now + Constants.LOOK_ALL_MS;
      boolean outage = horizon.outageForMost();
      pending.keySet().removeIf(m -> !owned(m) && !ownerless(m));
      due.retainAll(pending.keySet());
      Set<String> jobs = new HashSet<>();
      pending.values().forEach(l -> l.forEach(t -> jobs.add(t.job())));
      countsFrom.entrySet().removeIf(e -> now - e.getValue() > cancelMs && !jobs.contains(e.getKey()));
      if (outage) {
        for (View.Entry<Machine> e : view.machines.values()) {
          Machine m = e.value();
          if (!owned(m.name()) && ownerless(m.name())) {
            note(m, left(m, Set.of()), Constants.OVERDUE_OWNERLESS_SHARE);
          }
        }
      }
    }
    // Another owner may have proved the tasks gone and put others there: then it is not ours to end.
    if (!due.isEmpty() && !returning && now >= nextTry && !horizon.mayBeReplaced()) {
      due.removeIf(m -> !owned(m) && !ownerless(m));
      if (!due.isEmpty()) {
        giveBack(List.copyOf(due).subList(0, Math.min(due.size(), Constants.MAX_RETURN)));
      }
    }
  }

  private boolean owned(String machine) {
    View.Entry<Machine> m = view.machines.get(machine);
    return m != null && membership.owned(m.value().part()) != 0;
  }

  /** In an outage only: else another controller takes the part. */
  private boolean ownerless(String machine) {
    View.Entry<Machine> m = view.machines.get(machine);
    String owner = m == null ? null : membership.owner(m.value().part());
    return m != null && horizon.outageForMost() && (owner == null || !horizon.acts(owner));
  }

  private void giveBack(List<String> machines) {
    LOG.info("cancelled tasks are not proved gone: {} go back", machines);
    returning = true;
    cloud.giveBack(
        machines,
        ok -> {
          returning = false;
          nextTry = clock.now() + Constants.CLOUD_RETRY_MS;
          if (ok) {
            machines.forEach(pending::remove);
            due.removeAll(machines);
          }
        });
  }
}
