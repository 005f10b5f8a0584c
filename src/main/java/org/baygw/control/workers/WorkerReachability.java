package org.baygw.control.workers;

import java.util.ArrayList;
import java.util.List;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Outbox;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Partition;
import org.baygw.control.store.StateCache;

/**
 * Whether this controller itself reaches the workers of its zone. When all of its own fall silent
 * at once it is likelier cut off from them than they are dead: then others take its partitions, and
 * its workers are not held to be lost. It asks one worker after the other until one answers.
 */
final class WorkerReachability {
  private final Clock clock;
  private final Outbox out;
  private final Settings settings;
  private final StateCache view;
  private final Membership membership;
  private long lastHeard;
  private long nextAsk;
  private int asked;

  WorkerReachability(
      Clock clock, Outbox out, Settings settings, StateCache view, Membership membership) {
    this.clock = clock;
    this.out = out;
    this.settings = settings;
    this.view = view;
    this.membership = membership;
  }

  /** A worker of the zone was heard, whoever owns it. */
  void heard(String zone) {
    if (zone.equals(settings.zone())) {
      lastHeard = clock.now();
    }
  }

  /** This controller fell behind: that it heard nobody meanwhile says nothing. */
  void stalled() {
    lastHeard = clock.now();
  }

  /**
   * Whether the silence of one worker says something of it: others were heard lately, or there are
   * few.
   */
  boolean sure() {
    return clock.now() - lastHeard <= Constants.SURE_REPORTS * periodMs();
  }

  void tick() {
    if (!membership.workersReachable()) {
      ask();
      return;
    }
    int own = 0;
    for (Partition p : membership.partitions()) {
      if (p.zone().equals(settings.zone()) && membership.heldClaimStamp(p) != 0) {
        own += view.machinesOf(p).size();
      }
    }
    if (own < Constants.UNHEARD_MACHINES || !membership.otherControllersReachWorkers()) {
      lastHeard = clock.now();
    } else if (clock.now() - lastHeard > Constants.UNHEARD_REPORTS * periodMs()) {
      membership.workersReachable(false);
    }
  }

  private double periodMs() {
    return settings.workers().reportS() * 1000;
  }

  private void ask() {
    if (clock.now() < nextAsk) {
      return;
    }
    nextAsk = clock.now() + (long) (periodMs() * Constants.ASK_AGAIN_REPORTS);
    List<String> addrs = new ArrayList<>();
    for (Partition p : membership.partitions()) {
      if (p.zone().equals(settings.zone())) {
        view.machinesOf(p).forEach(m -> addrs.add(view.machines.get(m).value().addr()));
      }
    }
    if (addrs.isEmpty()) {
      membership.workersReachable(true);
      return;
    }
    out.call(
        addrs.get(asked++ % addrs.size()),
        "GET",
        "/show",
        null,
        Constants.SHOW_TIMEOUT_MS,
        (status, body) -> {
          if (status == 200) {
            lastHeard = clock.now();
            membership.workersReachable(true);
          }
        });
  }
}
