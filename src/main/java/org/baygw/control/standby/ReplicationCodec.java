package org.baygw.control.standby;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;

/**
 * Encodes and decodes messages between active and standby in Avro's binary encoding, field by field
 * in the order of {@code avro/ReplicationMessage.avsc} and {@code avro/ReplicationAnswer.avsc}. See
 * {@code PeerStatusCodec} for why Avro's generated classes are not used.
 */
final class ReplicationCodec {
  private static final int LOG_UPDATE = 0;
  private static final int SNAPSHOT_PART = 1;
  private static final int RELEASE = 2;

  private interface Writer {
    void write(BinaryEncoder out) throws IOException;
  }

  private interface Reader<T> {
    T read(BinaryDecoder in) throws IOException;
  }

  static byte[] encode(ReplicationMessage message) {
    return toBytes(
        out -> {
          out.writeString(message.sender());
          out.writeArrayStart();
          out.setItemCount(message.updates().size());
          for (RoleUpdate update : message.updates()) {
            out.startItem();
            write(out, update);
          }
          out.writeArrayEnd();
        });
  }

  /** Throws if the body is not a replication message. */
  static ReplicationMessage decode(byte[] body) throws IOException {
    BinaryDecoder in = DecoderFactory.get().binaryDecoder(body, null);
    return new ReplicationMessage(in.readString(), readList(in, ReplicationCodec::readUpdate));
  }

  static byte[] encode(ReplicationMessage.Answer answer) {
    return toBytes(
        out -> {
          out.writeString(answer.sender());
          out.writeArrayStart();
          out.setItemCount(answer.acks().size());
          for (RoleAck ack : answer.acks()) {
            out.startItem();
            out.writeString(ack.role().name());
            out.writeLong(ack.epoch());
            out.writeLong(ack.applied());
            out.writeInt(ack.partsReceived());
          }
          out.writeArrayEnd();
        });
  }

  /** Throws if the body is not an answer to a replication message. */
  static ReplicationMessage.Answer decodeAnswer(byte[] body) throws IOException {
    BinaryDecoder in = DecoderFactory.get().binaryDecoder(body, null);
    return new ReplicationMessage.Answer(
        in.readString(),
        readList(
            in,
            item ->
                new RoleAck(
                    new Role(item.readString()),
                    item.readLong(),
                    item.readLong(),
                    item.readInt())));
  }

  private static byte[] toBytes(Writer writer) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BinaryEncoder out = EncoderFactory.get().directBinaryEncoder(bytes, null);
    try {
      writer.write(out);
      out.flush();
    } catch (IOException e) {
      throw new IllegalStateException("cannot write to an in-memory buffer", e);
    }
    return bytes.toByteArray();
  }

  private static void write(BinaryEncoder out, RoleUpdate update) throws IOException {
    if (update instanceof RoleUpdate.LogUpdate log) {
      writeHeader(out, LOG_UPDATE, update);
      out.writeLong(log.first());
      writeDecisions(out, log.decisions());
    } else if (update instanceof RoleUpdate.SnapshotPart part) {
      writeHeader(out, SNAPSHOT_PART, update);
      out.writeLong(part.sequence());
      out.writeInt(part.part());
      out.writeBoolean(part.last());
      writeDecisions(out, part.decisions());
    } else if (update instanceof RoleUpdate.Release release) {
      writeHeader(out, RELEASE, update);
      out.writeLong(release.finalSequence());
    }
  }

  private static void writeHeader(BinaryEncoder out, int type, RoleUpdate update)
      throws IOException {
    out.writeIndex(type);
    out.writeString(update.role().name());
    out.writeLong(update.epoch());
  }

  private static void writeDecisions(BinaryEncoder out, List<Decision> decisions)
      throws IOException {
    out.writeArrayStart();
    out.setItemCount(decisions.size());
    for (Decision decision : decisions) {
      out.startItem();
      DecisionCodec.write(out, decision);
    }
    out.writeArrayEnd();
  }

  private static RoleUpdate readUpdate(BinaryDecoder in) throws IOException {
    int type = in.readIndex();
    Role role = new Role(in.readString());
    long epoch = in.readLong();
    return switch (type) {
      case LOG_UPDATE ->
          new RoleUpdate.LogUpdate(role, epoch, in.readLong(), readList(in, DecisionCodec::read));
      case SNAPSHOT_PART ->
          new RoleUpdate.SnapshotPart(
              role,
              epoch,
              in.readLong(),
              in.readInt(),
              in.readBoolean(),
              readList(in, DecisionCodec::read));
      case RELEASE -> new RoleUpdate.Release(role, epoch, in.readLong());
      default -> throw new IOException("unknown update type " + type);
    };
  }

  private static <T> List<T> readList(BinaryDecoder in, Reader<T> reader) throws IOException {
    List<T> items = new ArrayList<>();
    for (long count = in.readArrayStart(); count > 0; count = in.arrayNext()) {
      for (long i = 0; i < count; i++) {
        items.add(reader.read(in));
      }
    }
    return items;
  }

  private ReplicationCodec() {}
}
