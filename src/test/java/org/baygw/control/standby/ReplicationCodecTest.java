package org.baygw.control.standby;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.generic.GenericRecord;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.junit.jupiter.api.Test;

final class ReplicationCodecTest {
  private static final Role ROLE = new Role("a.0");

  private static ReplicationMessage message() {
    RandomDecisions decisions = new RandomDecisions(1);
    List<Decision> all = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      all.add(decisions.next());
    }
    return new ReplicationMessage(
        "yurt-\u00e9",
        List.of(
            new RoleUpdate.LogUpdate(ROLE, 1L << 40, 17, all),
            new RoleUpdate.SnapshotPart(Role.LEADER, 3, 99, 2, true, all.subList(0, 20)),
            new RoleUpdate.Release(ROLE, 4, 1_000)));
  }

  private static ReplicationMessage.Answer answer() {
    return new ReplicationMessage.Answer(
        "yurt-1",
        List.of(new RoleAck(ROLE, 5, RoleAck.NEEDS_SNAPSHOT, 3), new RoleAck(ROLE, 6, 70, 0)));
  }

  private static Schema schema(String file) throws IOException {
    try (InputStream in = Replica.class.getResourceAsStream("/avro/" + file)) {
      return new Schema.Parser().parse(in);
    }
  }

  /** Decodes the bytes with Avro by the schema file and encodes the result again. */
  private static byte[] throughAvro(Schema schema, byte[] bytes) throws IOException {
    GenericRecord record =
        new GenericDatumReader<GenericRecord>(schema)
            .read(null, DecoderFactory.get().binaryDecoder(bytes, null));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    BinaryEncoder encoder = EncoderFactory.get().directBinaryEncoder(out, null);
    new GenericDatumWriter<GenericRecord>(schema).write(record, encoder);
    encoder.flush();
    return out.toByteArray();
  }

  @Test
  void encodingMatchesAvroSchema() throws IOException {
    byte[] bytes = ReplicationCodec.encode(message());
    assertArrayEquals(bytes, throughAvro(schema("ReplicationMessage.avsc"), bytes));
    byte[] answer = ReplicationCodec.encode(answer());
    assertArrayEquals(answer, throughAvro(schema("ReplicationAnswer.avsc"), answer));
  }

  @Test
  void decodesWhatItEncodes() throws IOException {
    assertEquals(message(), ReplicationCodec.decode(ReplicationCodec.encode(message())));
    assertEquals(answer(), ReplicationCodec.decodeAnswer(ReplicationCodec.encode(answer())));
  }

  @Test
  void rejectsTruncatedMessages() {
    byte[] whole = ReplicationCodec.encode(message());
    for (int length = 0; length < whole.length; length++) {
      byte[] part = Arrays.copyOf(whole, length);
      assertThrows(IOException.class, () -> ReplicationCodec.decode(part), length + " bytes");
    }
  }

  @Test
  void maxSizeBoundsEncodedDecisions() {
    RandomDecisions decisions = new RandomDecisions(2);
    for (int i = 0; i < 500; i++) {
      Decision decision = decisions.next();
      RoleUpdate with = new RoleUpdate.LogUpdate(ROLE, 1, 1, List.of(decision));
      RoleUpdate without = new RoleUpdate.LogUpdate(ROLE, 1, 1, List.of());
      int bytes =
          ReplicationCodec.encode(new ReplicationMessage("a", List.of(with))).length
              - ReplicationCodec.encode(new ReplicationMessage("a", List.of(without))).length;
      assertTrue(bytes <= DecisionCodec.maxSize(decision), decision + " takes " + bytes);
    }
  }
}
