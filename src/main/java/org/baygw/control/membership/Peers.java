package org.baygw.control.membership;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
import org.baygw.control.membership.wire.Cancellation;
import org.baygw.control.membership.wire.PeerStatus;
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

  /** When the first status may go out; 0 until all keys are read. */
  private long quietUntil;

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
    if (!talks() || !due) {
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
            if (s != null && s.getCancellationsComplete() && s.getLabel().equals(p.label())) {
              // What it had told users of when it answered, it lists; so it holds for the sending
              // time.
              acknowledged.merge(p.label(), now, Math::max);
            }
          });
    }
  }

  /**
   * Whether this controller exchanges statuses yet. The first one takes as much of the processor as
   * reading all keys does, and while a controller that was restarted takes its partitions over
   * workers wait for it with leases that run out.
   */
  private boolean talks() {
    if (!store.loaded()) {
      return false;
    }
    if (quietUntil == 0) {
      quietUntil = clock.now() + Constants.PEER_QUIET_MS;
    }
    return clock.now() >= quietUntil;
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
    if (!talks()) {
      out.answer(request, 503, Json.bytes(Json.object().put("error", "starting")), 1);
      return;
    }
    PeerStatus s = learn(body);
    if (s != null) {
      out.answer(request, 200, encode(s.getRevision()));
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
    try {
      BinaryDecoder d = DecoderFactory.get().binaryDecoder(body, null);
      PeerStatus s = new SpecificDatumReader<>(PeerStatus.class).read(null, d);
      if (settings.peers().stream().noneMatch(p -> p.label().equals(s.getLabel()))) {
        return null;
      }
      seen.put(s.getLabel(), new Seen(clock.now(), s.getStateAgeMs(), s.getRevision()));
      for (Cancellation c : s.getCancellations()) {
        view.toldCancelled(c.getJob(), c.getStamp(), c.getCancelledMs());
      }
      if (s.getRevision() > view.revision()) {
        store.refresh();
      }
      return s;
    } catch (IOException | RuntimeException e) {
      return null; // whatever was sent, it is no status
    }
  }

  /** This controller's status for a sibling whose copy has reached the revision. */
  private byte[] encode(long revision) {
    List<Cancellation> cancellations = new ArrayList<>();
    view.cancelledAfter(revision)
        .forEach(
            (stamp, jobs) ->
                jobs.forEach(
                    j -> cancellations.add(new Cancellation(j, stamp, view.cancelledMs(j)))));
    boolean all = cancellations.size() <= Constants.CANCELLATIONS_TOLD;
    PeerStatus s =
        new PeerStatus(
            settings.label(),
            view.revision(),
            Math.max(0, Math.min(clock.now() - store.lastContact(), Integer.MAX_VALUE)),
            store.loaded() && all,
            all ? cancellations : cancellations.subList(0, Constants.CANCELLATIONS_TOLD));
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BinaryEncoder e = EncoderFactory.get().directBinaryEncoder(bytes, null);
    try {
      new SpecificDatumWriter<>(PeerStatus.class).write(s, e);
      e.flush();
    } catch (IOException x) {
      throw new IllegalStateException("an array that cannot be written", x);
    }
    return bytes.toByteArray();
  }
}
