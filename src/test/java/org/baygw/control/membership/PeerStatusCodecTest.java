package org.baygw.control.membership;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.generic.GenericRecord;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.EncoderFactory;
import org.junit.jupiter.api.Test;

/** Checks that the codec is compatible with Avro's own encoding of the schema. */
final class PeerStatusCodecTest {
  private static final PeerStatus STATUS =
      new PeerStatus(
          "yurt-1",
          1L << 40,
          1_234,
          true,
          List.of(
              new PeerStatus.Cancellation("run-1", 77, 1_700_000_000_000L),
              new PeerStatus.Cancellation("run-\u00e9", 78, 0)));

  /** Encodes a status with Avro itself and the schema file. */
  private static byte[] encodeWithAvro(PeerStatus status) throws IOException {
    Schema schema;
    try (InputStream in = PeerStatus.class.getResourceAsStream("/avro/PeerStatus.avsc")) {
      schema = new Schema.Parser().parse(in);
    }
    GenericRecord record = new GenericData.Record(schema);
    record.put("label", status.label());
    record.put("revision", status.revision());
    record.put("state_age_ms", status.stateAgeMs());
    record.put("cancellations_complete", status.cancellationsComplete());
    Schema items = schema.getField("cancellations").schema().getElementType();
    List<GenericRecord> cancellations = new ArrayList<>();
    for (PeerStatus.Cancellation cancellation : status.cancellations()) {
      GenericRecord item = new GenericData.Record(items);
      item.put("job", cancellation.job());
      item.put("stamp", cancellation.stamp());
      item.put("cancelled_ms", cancellation.cancelledMs());
      cancellations.add(item);
    }
    record.put("cancellations", cancellations);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BinaryEncoder encoder = EncoderFactory.get().directBinaryEncoder(bytes, null);
    new GenericDatumWriter<GenericRecord>(schema).write(record, encoder);
    encoder.flush();
    return bytes.toByteArray();
  }

  @Test
  void encodesLikeAvro() throws IOException {
    assertArrayEquals(encodeWithAvro(STATUS), PeerStatusCodec.encode(STATUS));
    PeerStatus empty = new PeerStatus("a", 0, 0, false, List.of());
    assertArrayEquals(encodeWithAvro(empty), PeerStatusCodec.encode(empty));
  }

  @Test
  void decodesAvroOutput() throws IOException {
    assertEquals(STATUS, PeerStatusCodec.decode(encodeWithAvro(STATUS)));
  }

  @Test
  void rejectsTruncatedInput() {
    byte[] complete = PeerStatusCodec.encode(STATUS);
    for (int length = 0; length < complete.length; length++) {
      byte[] truncated = Arrays.copyOf(complete, length);
      assertThrows(IOException.class, () -> PeerStatusCodec.decode(truncated));
    }
  }
}
