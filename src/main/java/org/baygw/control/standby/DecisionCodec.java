package org.baygw.control.standby;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;
import org.roaringbitmap.RoaringBitmap;

/**
 * Encodes and decodes decisions in Avro's binary encoding, field by field in the order of {@code
 * avro/ReplicationMessage.avsc}. The constants are the positions of the types in the schema's
 * union, so new types are added at the end.
 */
final class DecisionCodec {
  private static final int SESSION_KNOWN = 0;
  private static final int TASKS_LAUNCHED = 1;
  private static final int TASKS_ENDED = 2;
  private static final int TASKS_FAILED = 3;
  private static final int TASK_COMPLETED = 4;
  private static final int MACHINE_SICK = 5;
  private static final int MACHINE_GONE = 6;
  private static final int JOB_WAITING = 7;
  private static final int JOB_SERVED = 8;
  private static final int TASKS_GRANTED = 9;
  private static final int GRANTS_ENDED = 10;
  private static final int CAPACITY_REFUSED = 11;

  /** Upper bound of the bytes for the numbers and length prefixes of one decision. */
  private static final int NUMBERS_BYTES = 30;

  /** Upper bound of the encoded size of a decision, in bytes. */
  static int sizeOf(Decision decision) {
    int names = 0;
    if (decision instanceof Decision.SessionKnown d) {
      names = bytes(d.machine()) + bytes(d.address());
    } else if (decision instanceof Decision.TasksLaunched d) {
      names = bytes(d.machine()) + bytes(d.job()) + d.tasks().serializedSizeInBytes();
    } else if (decision instanceof Decision.TasksEnded d) {
      names = bytes(d.machine()) + bytes(d.job()) + d.tasks().serializedSizeInBytes();
    } else if (decision instanceof Decision.TasksFailed d) {
      names = bytes(d.machine()) + bytes(d.job());
    } else if (decision instanceof Decision.TaskCompleted d) {
      names = bytes(d.machine());
    } else if (decision instanceof Decision.MachineSick d) {
      names = bytes(d.machine());
    } else if (decision instanceof Decision.MachineGone d) {
      names = bytes(d.machine());
    } else if (decision instanceof Decision.JobWaiting d) {
      names = bytes(d.job());
    } else if (decision instanceof Decision.JobServed d) {
      names = bytes(d.job());
    } else if (decision instanceof Decision.TasksGranted d) {
      names = bytes(d.job()) + d.tasks().serializedSizeInBytes();
    } else if (decision instanceof Decision.GrantsEnded d) {
      names = bytes(d.job()) + d.tasks().serializedSizeInBytes();
    } else if (decision instanceof Decision.CapacityRefused d) {
      names = bytes(d.type()) + bytes(d.zone());
    }
    return names + NUMBERS_BYTES;
  }

  /** Upper bound of the size of a text in UTF-8, in bytes. */
  private static int bytes(String text) {
    return 3 * text.length();
  }

  static void write(BinaryEncoder out, Decision decision) throws IOException {
    if (decision instanceof Decision.SessionKnown d) {
      writeKind(out, SESSION_KNOWN, d.machine());
      out.writeString(d.address());
      out.writeLong(d.session());
    } else if (decision instanceof Decision.TasksLaunched d) {
      writeKind(out, TASKS_LAUNCHED, d.machine());
      out.writeString(d.job());
      writeTasks(out, d.tasks());
      out.writeLong(d.atMs());
    } else if (decision instanceof Decision.TasksEnded d) {
      writeKind(out, TASKS_ENDED, d.machine());
      out.writeString(d.job());
      writeTasks(out, d.tasks());
    } else if (decision instanceof Decision.TasksFailed d) {
      writeKind(out, TASKS_FAILED, d.machine());
      out.writeString(d.job());
      out.writeInt(d.count());
    } else if (decision instanceof Decision.TaskCompleted d) {
      writeKind(out, TASK_COMPLETED, d.machine());
    } else if (decision instanceof Decision.MachineSick d) {
      writeKind(out, MACHINE_SICK, d.machine());
    } else if (decision instanceof Decision.MachineGone d) {
      writeKind(out, MACHINE_GONE, d.machine());
    } else {
      writeOfLeader(out, decision);
    }
  }

  private static void writeOfLeader(BinaryEncoder out, Decision decision) throws IOException {
    if (decision instanceof Decision.JobWaiting d) {
      writeKind(out, JOB_WAITING, d.job());
      out.writeLong(d.sinceMs());
    } else if (decision instanceof Decision.JobServed d) {
      writeKind(out, JOB_SERVED, d.job());
    } else if (decision instanceof Decision.TasksGranted d) {
      writeKind(out, TASKS_GRANTED, d.job());
      writeTasks(out, d.tasks());
      out.writeLong(d.atMs());
    } else if (decision instanceof Decision.GrantsEnded d) {
      writeKind(out, GRANTS_ENDED, d.job());
      writeTasks(out, d.tasks());
    } else if (decision instanceof Decision.CapacityRefused d) {
      writeKind(out, CAPACITY_REFUSED, d.type());
      out.writeString(d.zone());
      out.writeBoolean(d.spot());
      out.writeLong(d.untilMs());
    } else {
      throw new IllegalStateException("unknown decision type: " + decision);
    }
  }

  /** Writes the type and the name with which each decision begins. */
  private static void writeKind(BinaryEncoder out, int kind, String name) throws IOException {
    out.writeIndex(kind);
    out.writeString(name);
  }

  /** Reads one decision; throws if its type is unknown. */
  static Decision read(BinaryDecoder in) throws IOException {
    int kind = in.readIndex();
    String name = in.readString();
    return switch (kind) {
      case SESSION_KNOWN -> new Decision.SessionKnown(name, in.readString(), in.readLong());
      case TASKS_LAUNCHED ->
          new Decision.TasksLaunched(name, in.readString(), readTasks(in), in.readLong());
      case TASKS_ENDED -> new Decision.TasksEnded(name, in.readString(), readTasks(in));
      case TASKS_FAILED -> new Decision.TasksFailed(name, in.readString(), in.readInt());
      case TASK_COMPLETED -> new Decision.TaskCompleted(name);
      case MACHINE_SICK -> new Decision.MachineSick(name);
      case MACHINE_GONE -> new Decision.MachineGone(name);
      case JOB_WAITING -> new Decision.JobWaiting(name, in.readLong());
      case JOB_SERVED -> new Decision.JobServed(name);
      case TASKS_GRANTED -> new Decision.TasksGranted(name, readTasks(in), in.readLong());
      case GRANTS_ENDED -> new Decision.GrantsEnded(name, readTasks(in));
      case CAPACITY_REFUSED ->
          new Decision.CapacityRefused(name, in.readString(), in.readBoolean(), in.readLong());
      default -> throw new IOException("unknown decision type " + kind);
    };
  }

  private static void writeTasks(BinaryEncoder out, RoaringBitmap tasks) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(tasks.serializedSizeInBytes());
    tasks.serialize(bytes);
    bytes.flip();
    out.writeBytes(bytes);
  }

  private static RoaringBitmap readTasks(BinaryDecoder in) throws IOException {
    RoaringBitmap tasks = new RoaringBitmap();
    try {
      tasks.deserialize(in.readBytes(null));
    } catch (UncheckedIOException | IndexOutOfBoundsException e) {
      throw new IOException("malformed task bitmap", e);
    }
    return tasks;
  }

  private DecisionCodec() {}
}
