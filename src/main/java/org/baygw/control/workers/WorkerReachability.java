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
 * Tracks whether this controller reaches the workers of its zone. If all its own workers fall
 * silent at once, the controller is more likely cut off than the workers are dead: other
 * controllers then take over its partitions, and the workers do not count as lost. While cut off,
 * it probes one worker after the other until one answers.
 */
final class WorkerReachability {
  private final Clock clock;
  private final Outbox out;
  private final Settings settings;
  private final StateCache cache;
  private final Membership membership;
  private long lastHeard;
  private long nextProbe;
  private int probeCount;

  WorkerReachability(
      Clock clock, Outbox out, Settings settings, StateCache cache, Membership membership) {
    this.clock = clock;
    this.out = out;
    this.settings = settings;
    this.cache = cache;
    this.membership = membership;
  }

  /** Called when a worker of the zone was heard from, whichever controller owns it. */
  void heard(String zone) {
    if (zone.equals(settings.zone())) {
      lastHeard = clock.now();
    }
  }

  /** Called after this controller stalled: workers' silence during the stall proves nothing. */
  void stalled() {
    lastHeard = clock.now();
  }

  /**
   * Whether one worker's silence is evidence that it is lost: workers of the zone were heard from
   * recently, or this controller cannot tell that it is cut off, because it owns too few machines
   * or no other controller of the zone reaches the workers either.
   */
  boolean silenceIsConclusive() {
    return clock.now() - lastHeard <= Constants.CONCLUSIVE_SILENCE_REPORTS * periodMs();
  }

  void tick() {
    if (!membership.workersReachable()) {
      probeNext();
      return;
    }
    int ownMachines = 0;
    for (Partition partition : membership.partitions()) {
      if (partition.zone().equals(settings.zone()) && membership.heldClaimStamp(partition) != 0) {
        ownMachines += cache.machinesOf(partition).size();
      }
    }
    if (ownMachines < Constants.CUT_OFF_MIN_MACHINES
        || !membership.otherControllersReachWorkers()) {
      lastHeard = clock.now();
    } else if (clock.now() - lastHeard > Constants.CUT_OFF_REPORTS * periodMs()) {
      membership.workersReachable(false);
    }
  }

  private double periodMs() {
    return settings.workers().reportS() * 1000;
  }

  private void probeNext() {
    if (clock.now() < nextProbe) {
      return;
    }
    nextProbe = clock.now() + (long) (periodMs() * Constants.PROBE_INTERVAL_REPORTS);
    List<String> addrs = new ArrayList<>();
    for (Partition partition : membership.partitions()) {
      if (partition.zone().equals(settings.zone())) {
        cache.machinesOf(partition).forEach(m -> addrs.add(cache.machines.get(m).value().addr()));
      }
    }
    if (addrs.isEmpty()) {
      membership.workersReachable(true);
      return;
    }
    out.call(
        addrs.get(probeCount++ % addrs.size()),
        "GET",
        "/show",
        null,
        Constants.PROBE_TIMEOUT_MS,
        (status, body) -> {
          if (status == 200) {
            lastHeard = clock.now();
            membership.workersReachable(true);
          }
        });
  }
}
