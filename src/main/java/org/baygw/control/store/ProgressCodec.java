package org.baygw.control.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Utf8;
import java.util.Base64;
import java.util.BitSet;
import java.util.List;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Json;
import org.baygw.control.model.Partition;
import org.baygw.control.model.Progress;

/**
 * Converts the progress of a chunk of tasks to and from its JSON form in the state service, and
 * limits the tasks of a chunk that are granted at once to what one value can hold.
 *
 * <p>Completed tasks are a bit set in Base64, in one of two forms. In {@code done} it counts from
 * the job's first task, so its length grows with the number of the chunk. In {@code done_in_chunk}
 * it counts from the chunk's first task. Earlier versions know only the first form, which is
 * therefore used as long as the value fits the limit with it.
 */
public final class ProgressCodec {
  private static final String DONE = "done";
  private static final String DONE_IN_CHUNK = "done_in_chunk";
  private static final String LIVE = "live";
  private static final String LAST_ATTEMPTS = "tried";

  /** Bytes of an entry of {@link #LIVE}, [,,"",true], without its numbers and name. */
  private static final int LIVE_ENTRY_BYTES = 12;

  /** Bytes of an entry of {@link #LAST_ATTEMPTS}, [,], without its numbers. */
  private static final int LAST_ATTEMPT_ENTRY_BYTES = 4;

  /** Most bytes of a partition's name after its zone: a dot and a number. */
  private static final int PARTITION_NUMBER_BYTES = 4;

  /** Attempts of a task, without a new grant, for which its entry has space: moves. */
  private static final int SPARE_ATTEMPTS = 9;

  /** Most bytes of a task's index and attempt. */
  private static final int MAX_NUMBERS_BYTES = 16;

  /** Bytes of a value without entries: the names of its fields, and its completed tasks. */
  private static final int FIXED_BYTES = 50 + base64Length(Constants.CHUNK_TASKS / Byte.SIZE);

  /** Bytes of the field {@link #DONE}, "done":"", without its text. */
  private static final int DONE_FIELD_BYTES = 10;

  private final int maxValueBytes;
  private final int liveEntryBytes;

  /** Bytes of the lists of a chunk if all its tasks are live, whatever their numbers. */
  private final int maxListBytes;

  public ProgressCodec(Settings.StateLimits limits, List<String> zones) {
    int longestZone = zones.stream().mapToInt(Utf8::encodedLength).max().orElse(0);
    this.maxValueBytes = limits.maxValueBytes();
    this.liveEntryBytes = LIVE_ENTRY_BYTES + longestZone + PARTITION_NUMBER_BYTES;
    this.maxListBytes = FIXED_BYTES + Constants.CHUNK_TASKS * (liveEntryBytes + MAX_NUMBERS_BYTES);
  }

  /** Encodes the progress of a chunk, in the form that all versions read if the value fits so. */
  public ObjectNode encode(int chunk, Progress progress) {
    ObjectNode node = Json.object();
    ArrayNode live = node.putArray(LIVE);
    progress.live.forEach((index, task) -> live.add(liveEntry(index, task)));
    ArrayNode lastAttempts = node.putArray(LAST_ATTEMPTS);
    progress.lastAttempts.forEach((index, a) -> lastAttempts.addArray().add(index).add(a));
    byte[] done = progress.doneInChunk().toByteArray();
    int bytesBefore = done.length == 0 ? 0 : Progress.firstIndex(chunk) / Byte.SIZE;
    int doneLength = base64Length(bytesBefore + done.length);
    if (Json.size(node) + DONE_FIELD_BYTES + doneLength <= maxValueBytes) {
      byte[] doneInJob = new byte[bytesBefore + done.length];
      System.arraycopy(done, 0, doneInJob, bytesBefore, done.length);
      node.put(DONE, Base64.getEncoder().encodeToString(doneInJob));
    } else {
      node.put(DONE_IN_CHUNK, Base64.getEncoder().encodeToString(done));
    }
    return node;
  }

  private static ArrayNode liveEntry(int index, Progress.LiveTask task) {
    ArrayNode entry = Json.array().add(index).add(task.attempt());
    entry.add(task.partition().toString());
    if (task.stopRequested()) {
      entry.add(true);
    }
    return entry;
  }

  /**
   * Decodes the progress of a chunk, in either form.
   *
   * @throws IllegalArgumentException if the value is malformed
   */
  public static Progress decode(int chunk, JsonNode node) {
    Progress progress = new Progress(chunk);
    int first = Progress.firstIndex(chunk);
    BitSet done =
        node.has(DONE_IN_CHUNK)
            ? bits(node.path(DONE_IN_CHUNK))
            : bits(node.path(DONE)).get(first, first + Constants.CHUNK_TASKS);
    done.stream().forEach(i -> progress.complete(first + i));
    for (JsonNode task : node.path(LIVE)) {
      progress.live.put(
          task.path(0).asInt(),
          new Progress.LiveTask(
              task.path(1).asInt(),
              Partition.parse(task.path(2).asText()),
              task.path(3).asBoolean()));
    }
    for (JsonNode task : node.path(LAST_ATTEMPTS)) {
      progress.lastAttempts.put(task.path(0).asInt(), task.path(1).asInt());
    }
    return progress;
  }

  private static BitSet bits(JsonNode base64) {
    return BitSet.valueOf(Base64.getDecoder().decode(base64.asText("")));
  }

  /**
   * Whether the value has space for a grant of the task. A value has space for all granted tasks of
   * its chunk to be live at once, with requests to stop them; so every later change of them fits as
   * well, and a task that was returned to the queue can be granted again.
   */
  public boolean hasSpaceFor(Progress progress, int index) {
    if (maxListBytes <= maxValueBytes) {
      return true;
    }
    int live = progress.live.size() + 1;
    int queued = progress.lastAttempts.size();
    int numbersBytes = numbersBytes(progress, index);
    int liveBytes = liveEntryBytes + numbersBytes;
    if (progress.lastAttempts.containsKey(index)) {
      // A value that was written under a higher limit may have more queued tasks than fit as live.
      int queuedBytes = (queued - 1) * (LAST_ATTEMPT_ENTRY_BYTES + numbersBytes);
      return live == 1 || FIXED_BYTES + live * liveBytes + queuedBytes <= maxValueBytes;
    }
    return live + queued == 1 || FIXED_BYTES + (live + queued) * liveBytes <= maxValueBytes;
  }

  /** Most bytes of an index and an attempt in the chunk until the next grant. */
  private static int numbersBytes(Progress progress, int index) {
    int attempt = 1;
    for (Progress.LiveTask task : progress.live.values()) {
      attempt = Math.max(attempt, task.attempt());
    }
    for (int last : progress.lastAttempts.values()) {
      attempt = Math.max(attempt, last + 1);
    }
    int lastIndex = Progress.firstIndex(Progress.chunkOf(index) + 1) - 1;
    return digits(lastIndex) + digits(attempt + SPARE_ATTEMPTS);
  }

  private static int digits(int number) {
    return String.valueOf(number).length();
  }

  /** Whether the encoded value is within the limit on values. */
  public boolean fits(ObjectNode value) {
    return Json.size(value) <= maxValueBytes;
  }

  /** The most bytes that the value of a chunk may take. */
  public int maxBytes(int chunk) {
    return Math.min(
        maxValueBytes, maxListBytes + base64Length(Progress.firstIndex(chunk + 1) / Byte.SIZE));
  }

  private static int base64Length(int bytes) {
    return (bytes + 2) / 3 * 4;
  }
}
