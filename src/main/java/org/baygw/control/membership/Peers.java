package org.baygw.control.membership;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashMap;
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
import org.baygw.control.membership.wire.PeerStatus;
import org.baygw.control.store.Store;
import org.baygw.control.store.View;

/**
 * What controllers tell each other, in Avro. Hints only: they say when to look at the state service
 * again, and whether it is only this controller that it refuses.
 */
public final class Peers {
  public static final String PATH = "/peer/status";

  private record Seen(long at, long stateAgeMs) {}

  private final Clock clock;
  private final Outbox out;
  private final Settings settings;
  private final Store store;
  private final View view;
  private final Map<String, Seen> seen = new HashMap<>();
  private long nextSend;

  public Peers(Clock clock, Outbox out, Settings settings, Store store, View view) {
    this.clock = clock;
    this.out = out;
    this.settings = settings;
    this.store = store;
    this.view = view;
  }

  public void tick() {
    long now = clock.now();
    if (!store.loaded() || now < nextSend) {
      return;
    }
    nextSend = now + Constants.PEER_MS;
    byte[] me = encode();
    for (Settings.Peer p : settings.peers()) {
      out.call(
          p.addr(),
          "POST",
          PATH,
          me,
          Constants.PEER_MS,
          (status, body) -> {
            if (status == 200) {
              learn(body);
            }
          });
    }
  }

  /** Another controller's message; answered with our own. */
  public void receive(long request, byte[] body) {
    if (learn(body)) {
      out.answer(request, 200, encode());
    } else {
      out.answer(request, 400, Json.bytes(Json.object().put("error", "no status")));
    }
  }

  /** True if another controller reaches the state service while this one does not. */
  public boolean refusedAlone() {
    // Compared as times, not ages: in an outage all were answered last at about the same moment, and
    // an old status from just before it must not make that look like a refusal of this one.
    for (Seen s : seen.values()) {
      if (s.at() - s.stateAgeMs() - store.lastContact() > Constants.ALONE_MS) {
        return true;
      }
    }
    return false;
  }

  private boolean learn(byte[] body) {
    try {
      BinaryDecoder d = DecoderFactory.get().binaryDecoder(body, null);
      PeerStatus s = new SpecificDatumReader<>(PeerStatus.class).read(null, d);
      if (settings.peers().stream().noneMatch(p -> p.label().equals(s.getLabel()))) {
        return false;
      }
      seen.put(s.getLabel(), new Seen(clock.now(), s.getStateAgeMs()));
      if (s.getRevision() > view.revision()) {
        store.refresh();
      }
      return true;
    } catch (IOException | RuntimeException e) {
      return false; // whatever was sent, it is no status
    }
  }

  private byte[] encode() {
    PeerStatus s =
        new PeerStatus(
            settings.label(),
            view.revision(),
            Math.max(0, Math.min(clock.now() - store.lastContact(), Integer.MAX_VALUE)));
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
