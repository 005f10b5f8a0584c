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
  private static final int MAX_NUMBERS_BYTES = 30;

  /** Upper bound of the encoded size of a decision, in bytes. */
  static int maxSize(Decision decision) {
    int variableBytes = 0;
    if (decision instanceof Decision.SessionKnown d) {
      variableBytes = maxUtf8Size(d.machine()) + maxUtf8Size(d.address());
    } else if (decision instanceof Decision.TasksLaunched d) {
      variableBytes =
          maxUtf8Size(d.machine()) + maxUtf8Size(d.job()) + d.tasks().serializedSizeInBytes();
    } else if (decision instanceof Decision.TasksEnded d) {
      variableBytes =
          maxUtf8Size(d.machine()) + maxUtf8Size(d.job()) + d.tasks().serializedSizeInBytes();
    } else if (decision instanceof Decision.TasksFailed d) {
      variableBytes = maxUtf8Size(d.machine()) + maxUtf8Size(d.job());
    } else if (decision instanceof Decision.TaskCompleted d) {
      variableBytes = maxUtf8Size(d.machine());
    } else if (decision instanceof Decision.MachineSick d) {
      variableBytes = maxUtf8Size(d.machine());
    } else if (decision instanceof Decision.MachineGone d) {
      variableBytes = maxUtf8Size(d.machine());
    } else if (decision instanceof Decision.JobWaiting d) {
      variableBytes = maxUtf8Size(d.job());
    } else if (decision instanceof Decision.JobServed d) {
      variableBytes = maxUtf8Size(d.job());
    } else if (decision instanceof Decision.TasksGranted d) {
      variableBytes = maxUtf8Size(d.job()) + d.tasks().serializedSizeInBytes();
    } else if (decision instanceof Decision.GrantsEnded d) {
      variableBytes = maxUtf8Size(d.job()) + d.tasks().serializedSizeInBytes();
    } else if (decision instanceof Decision.CapacityRefused d) {
      variableBytes = maxUtf8Size(d.type()) + maxUtf8Size(d.zone());
    }
    return variableBytes + MAX_NUMBERS_BYTES;
  }

  /** Upper bound of the size of a text in UTF-8, in bytes. */
  private static int maxUtf8Size(String text) {
    return 3 * text.length();
  }

  static void write(BinaryEncoder out, Decision decision) throws IOException {
    if (decision instanceof Decision.SessionKnown d) {
      writeTypeAndName(out, SESSION_KNOWN, d.machine());
      out.writeString(d.address());
      out.writeLong(d.session());
    } else if (decision instanceof Decision.TasksLaunched d) {
      writeTypeAndName(out, TASKS_LAUNCHED, d.machine());
      out.writeString(d.job());
      writeTasks(out, d.tasks());
      out.writeLong(d.atMs());
    } else if (decision instanceof Decision.TasksEnded d) {
      writeTypeAndName(out, TASKS_ENDED, d.machine());
      out.writeString(d.job());
      writeTasks(out, d.tasks());
    } else if (decision instanceof Decision.TasksFailed d) {
      writeTypeAndName(out, TASKS_FAILED, d.machine());
      out.writeString(d.job());
      out.writeInt(d.count());
    } else if (decision instanceof Decision.TaskCompleted d) {
      writeTypeAndName(out, TASK_COMPLETED, d.machine());
    } else if (decision instanceof Decision.MachineSick d) {
      writeTypeAndName(out, MACHINE_SICK, d.machine());
    } else if (decision instanceof Decision.MachineGone d) {
      writeTypeAndName(out, MACHINE_GONE, d.machine());
    } else {
      writeLeaderDecision(out, decision);
    }
  }

  private static void writeLeaderDecision(BinaryEncoder out, Decision decision) throws IOException {
    if (decision instanceof Decision.JobWaiting d) {
      writeTypeAndName(out, JOB_WAITING, d.job());
      out.writeLong(d.sinceMs());
    } else if (decision instanceof Decision.JobServed d) {
      writeTypeAndName(out, JOB_SERVED, d.job());
    } else if (decision instanceof Decision.TasksGranted d) {
      writeTypeAndName(out, TASKS_GRANTED, d.job());
      writeTasks(out, d.tasks());
      out.writeLong(d.atMs());
    } else if (decision instanceof Decision.GrantsEnded d) {
      writeTypeAndName(out, GRANTS_ENDED, d.job());
      writeTasks(out, d.tasks());
    } else if (decision instanceof Decision.CapacityRefused d) {
      writeTypeAndName(out, CAPACITY_REFUSED, d.type());
      out.writeString(d.zone());
      out.writeBoolean(d.spot());
      out.writeLong(d.untilMs());
    } else {
      throw new IllegalStateException("unknown decision type: " + decision);
    }
  }

  /** Writes the type and the name with which each decision begins. */
  private static void writeTypeAndName(BinaryEncoder out, int type, String name)
      throws IOException {
    out.writeIndex(type);
    out.writeString(name);
  }

  /** Reads one decision; throws if its type is unknown. */
  static Decision read(BinaryDecoder in) throws IOException {
    int type = in.readIndex();
    String name = in.readString();
    return switch (type) {
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
      default -> throw new IOException("unknown decision type " + type);
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
