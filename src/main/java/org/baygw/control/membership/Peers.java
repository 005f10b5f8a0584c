package org.baygw.control.membership;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;

/**
 * What controllers tell each other, in Avro. Hints only for whatever is durable: they say when to
 * look at the state service again, and whether it is only this controller that it refuses.
 * Cancellations go with them, since a durable one is final and may be acted on at once; and an
 * answer acknowledges that the sibling knew of no other at the time at which it was asked.
 */
public final class Peers {
  public static final String PATH = "/peer/status";

  /** A sibling's latest status. */
  private record Seen(long at, long stateAgeMs, long revision) {}

  private final Clock clock;
  private final Outbox out;
  private final Settings settings;
  private final Store store;
  private final StateCache view;
  private final Map<String, Seen> seen = new HashMap<>();

  /**
   * For each sibling, the sending time of the latest request that it answered with a
   * acknowledgement.
   */
  private final Map<String, Long> acknowledged = new HashMap<>();

  private final long periodMs;
  private long nextSend;
  private long lastSend = Long.MIN_VALUE / 2;
  private boolean urgent;

  public Peers(Clock clock, Outbox out, Settings settings, Store store, StateCache view) {
    this.clock = clock;
    this.out = out;
    this.settings = settings;
    this.store = store;
    this.view = view;
    // Where a lease leaves little time, the watermark of cancellations must be drawn more often.
    this.periodMs = settings.workers().watermarkPeriodMs(Constants.PEER_MS);
  }

  public void tick() {
    long now = clock.now();
    boolean due = now >= nextSend || urgent && now >= lastSend + Constants.PEER_URGENT_MS;
    if (!store.loaded() || !due) {
      return;
    }
    urgent = false;
    lastSend = now;
    nextSend = now + periodMs;
    for (Settings.Peer p : settings.peers()) {
      Seen last = seen.get(p.label());
      out.call(
          p.addr(),
          "POST",
          PATH,
          encode(last == null ? view.revision() : last.revision()),
          periodMs,
          (status, body) -> {
            PeerStatus s = status == 200 ? learn(body) : null;
            if (s != null && s.cancellationsComplete() && s.label().equals(p.label())) {
              // What it had told users of when it answered, it lists; so it holds for the sending
              // time.
              acknowledged.merge(p.label(), now, Math::max);
            }
          });
    }
  }

  /** A cancellation has become durable here: the siblings hear of it with the next clock step. */
  public void cancelled() {
    urgent = true;
  }

  /**
   * Every cancellation that a sibling may have told a user of before this time is known here: each
   * of them has acknowledged for it. A sibling that is gone, or has not read all keys since it
   * started, acknowledges for nothing.
   */
  long acknowledgedUntil() {
    long until = clock.now();
    for (Settings.Peer p : settings.peers()) {
      until = Math.min(until, acknowledgedUntil(p.label()));
    }
    return until;
  }

  /** The same for one sibling. */
  long acknowledgedUntil(String sibling) {
    return acknowledged.getOrDefault(sibling, Long.MIN_VALUE / 2);
  }

  /** Another controller's message; answered with our own. */
  public void receive(long request, byte[] body) {
    PeerStatus s = learn(body);
    if (s != null) {
      out.answer(request, 200, encode(s.revision()));
    } else {
      out.answer(request, 400, Json.bytes(Json.object().put("error", "no status")));
    }
  }

  /** True if another controller reaches the state service while this one does not. */
  public boolean refusedAlone() {
    // Compared as times, not ages: in an outage all were answered last at about the same moment,
    // and
    // an old status from just before it must not make that look like a refusal of this one.
    for (Seen s : seen.values()) {
      if (s.at() - s.stateAgeMs() - store.lastContact() > Constants.ALONE_MS) {
        return true;
      }
    }
    return false;
  }

  /** True if the state service answered this controller so much later than that sibling. */
  boolean behind(String sibling) {
    Seen s = seen.get(sibling);
    return s != null && store.lastContact() - s.at() + s.stateAgeMs() > Constants.ALONE_MS;
  }

  /** Takes a sibling's status in; null where it is none. */
  private PeerStatus learn(byte[] body) {
    PeerStatus status;
    try {
      status = PeerStatusCodec.decode(body);
    } catch (IOException | RuntimeException e) {
      return null; // whatever was sent, it is no status
    }
    if (settings.peers().stream().noneMatch(p -> p.label().equals(status.label()))) {
      return null;
    }
    seen.put(status.label(), new Seen(clock.now(), status.stateAgeMs(), status.revision()));
    for (PeerStatus.Cancellation c : status.cancellations()) {
      view.addPeerCancellation(c.job(), c.stamp(), c.cancelledMs());
    }
    if (status.revision() > view.revision()) {
      store.refresh();
    }
    return status;
  }

  /** This controller's status for a sibling whose copy has reached the revision. */
  private byte[] encode(long revision) {
    List<PeerStatus.Cancellation> cancellations = new ArrayList<>();
    view.cancelledAfter(revision)
        .forEach(
            (stamp, jobs) ->
                jobs.forEach(
                    j ->
                        cancellations.add(
                            new PeerStatus.Cancellation(j, stamp, view.cancelledMs(j)))));
    boolean all = cancellations.size() <= Constants.CANCELLATIONS_TOLD;
    PeerStatus s =
        new PeerStatus(
            settings.label(),
            view.revision(),
            Math.max(0, Math.min(clock.now() - store.lastContact(), Integer.MAX_VALUE)),
            store.loaded() && all,
            all ? cancellations : cancellations.subList(0, Constants.CANCELLATIONS_TOLD));
    return PeerStatusCodec.encode(s);
  }
}
