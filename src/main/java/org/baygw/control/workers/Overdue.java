package org.baygw.control.workers;

import java.util.ArrayList;
import java.util.HashMap;
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
 * of the time; the record follows in the usual way, as for any machine that is silent.
 */
final class Overdue {
  private static final Logger LOG = LoggerFactory.getLogger(Overdue.class);

  private final Clock clock;
  private final View view;
  private final Proofs proofs;
  private final Cloud cloud;
  private final CancellationHorizon horizon;
  private final long limitMs;

  /** Since when a machine has had a task to be rid of, by machine and task. */
  private final Map<String, Map<TaskId, Long>> since = new HashMap<>();

  private final Set<String> due = new LinkedHashSet<>();
  private boolean returning;
  private long nextTry;

  Overdue(
      Clock clock,
      Settings settings,
      View view,
      Proofs proofs,
      Cloud cloud,
      CancellationHorizon horizon) {
    this.clock = clock;
    this.view = view;
    this.proofs = proofs;
    this.cloud = cloud;
    this.horizon = horizon;
    this.limitMs = (long) (settings.workers().cancelS() * 1000 * Constants.OVERDUE_SHARE);
  }

  /**
   * Looks at one of this controller's machines. In an outage what is proved gone stays on record; and
   * what went by the end of a lease may still be there while the machine hangs.
   */
  void look(Agent a, Machine m) {
    Map<TaskId, Long> before = since.getOrDefault(m.name(), Map.of());
    Set<TaskId> ended = a.leaseOver ? Set.of() : proofs.ends(a, m).keySet();
    Map<TaskId, Long> cancelled = null;
    for (TaskId t : m.tasks().keySet()) {
      if (!view.runs(t.job()) && !ended.contains(t)) {
        cancelled = cancelled == null ? new HashMap<>() : cancelled;
        cancelled.put(t, before.getOrDefault(t, clock.now()));
      }
    }
    if (a.leaseOver && !before.isEmpty()) {
      cancelled = cancelled == null ? new HashMap<>() : cancelled;
      cancelled.putAll(before);
    }
    if (cancelled == null) {
      since.remove(m.name());
      due.remove(m.name());
      return;
    }
    since.put(m.name(), cancelled);
    if (cancelled.values().stream().anyMatch(at -> clock.now() - at > limitMs)) {
      due.add(m.name());
    }
  }

  void tick(Membership membership) {
    since
        .keySet()
        .removeIf(
            m ->
                !view.machines.containsKey(m)
                    || membership.owned(view.machines.get(m).value().part()) == 0);
    due.retainAll(since.keySet());
    // Another owner may have proved the tasks gone and put others there: then it is not ours to end.
    if (due.isEmpty() || returning || clock.now() < nextTry || horizon.mayBeReplaced()) {
      return;
    }
    List<String> names = new ArrayList<>(due);
    names = names.subList(0, Math.min(names.size(), Constants.MAX_RETURN));
    List<String> asked = names;
    LOG.info("cancelled tasks are not proved gone: {} go back", asked);
    returning = true;
    cloud.giveBack(
        asked,
        ok -> {
          returning = false;
          nextTry = clock.now() + Constants.CLOUD_RETRY_MS;
          if (ok) {
            asked.forEach(since::remove);
            due.removeAll(asked);
          }
        });
  }
}
