package org.baygw.control.membership;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;

/**
 * Encodes and decodes statuses in Avro's binary format, field by field in the order of {@code
 * avro/PeerStatus.avsc}. Avro's generated classes are not used: they parse their schema at first
 * use, which delays a controller with a small CPU share by seconds, just when it takes over
 * partitions.
 */
final class PeerStatusCodec {
  static byte[] encode(PeerStatus status) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BinaryEncoder encoder = EncoderFactory.get().directBinaryEncoder(bytes, null);
    try {
      encoder.writeString(status.label());
      encoder.writeLong(status.revision());
      encoder.writeLong(status.stateAgeMs());
      encoder.writeBoolean(status.cancellationsComplete());
      encoder.writeArrayStart();
      encoder.setItemCount(status.cancellations().size());
      for (PeerStatus.Cancellation cancellation : status.cancellations()) {
        encoder.startItem();
        encoder.writeString(cancellation.job());
        encoder.writeLong(cancellation.stamp());
        encoder.writeLong(cancellation.cancelledMs());
      }
      encoder.writeArrayEnd();
      encoder.flush();
    } catch (IOException e) {
      throw new IllegalStateException("writing to a byte array failed", e);
    }
    return bytes.toByteArray();
  }

  /** Decodes a status; throws IOException or a RuntimeException if the body is not one. */
  static PeerStatus decode(byte[] body) throws IOException {
    BinaryDecoder decoder = DecoderFactory.get().binaryDecoder(body, null);
    String label = decoder.readString();
    long revision = decoder.readLong();
    long stateAgeMs = decoder.readLong();
    boolean complete = decoder.readBoolean();
    List<PeerStatus.Cancellation> cancellations = new ArrayList<>();
    for (long left = decoder.readArrayStart(); left > 0; left = decoder.arrayNext()) {
      for (long i = 0; i < left; i++) {
        cancellations.add(
            new PeerStatus.Cancellation(
                decoder.readString(), decoder.readLong(), decoder.readLong()));
      }
    }
    return new PeerStatus(label, revision, stateAgeMs, complete, cancellations);
  }

  private PeerStatusCodec() {}
}
