package org.baygw.control.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Base64;
import java.util.BitSet;
import java.util.List;
import java.util.Random;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Json;
import org.baygw.control.model.Partition;
import org.baygw.control.model.Progress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The stored form of a job's progress: its size for every task of a job, and its older form. */
final class ProgressCodecTest {
  private static final List<String> ZONES = List.of("a", "a-zone-with-a-long-name");
  private static final int LAST_CHUNK = Progress.chunkOf(99_999);

  private static ProgressCodec codec(double valueKb) {
    return new ProgressCodec(new Settings.StateLimits(100, 100, valueKb, 16), ZONES);
  }

  private static Progress allDone(int chunk) {
    Progress progress = new Progress(chunk);
    for (int i = Progress.firstIndex(chunk); i < Progress.firstIndex(chunk + 1); i++) {
      progress.complete(i);
    }
    return progress;
  }

  /** Guards against tasks that never start again because their progress exceeds a value. */
  @ParameterizedTest
  @CsvSource({"1, 0", "1, 781", "2, 100", "2, 781", "8, 0", "8, 384", "8, 781", "200, 781"})
  void valueFitsItsLimitWhateverHappensToTheTasks(double valueKb, int chunk) {
    ProgressCodec codec = codec(valueKb);
    Random random = new Random(7);
    Progress progress = new Progress(chunk);
    int first = Progress.firstIndex(chunk);
    for (int step = 0; step < 20_000; step++) {
      int index = first + random.nextInt(Constants.CHUNK_TASKS);
      change(progress, codec, index, random);
      ObjectNode value = codec.encode(chunk, progress);
      int bytes = Json.size(value);
      assertTrue(bytes <= codec.maxBytes(chunk), bytes + " bytes after step " + step);
      assertTrue(bytes <= valueKb * 1024, bytes + " bytes after step " + step);
      assertEquals(value, codec.encode(chunk, ProgressCodec.decode(chunk, value)));
    }
  }

  /** Grants a task, or else changes it in one of the ways that need no new grant. */
  private static void change(Progress progress, ProgressCodec codec, int index, Random random) {
    Progress.LiveTask live = progress.live.get(index);
    if (live == null && !progress.isDone(index) && codec.hasSpaceFor(progress, index)) {
      progress.grant(index, new Partition(ZONES.get(random.nextInt(ZONES.size())), 10));
    } else if (live != null && random.nextInt(3) == 0) {
      progress.requeue(index);
    } else if (live != null && random.nextInt(100) == 0) {
      progress.complete(index);
    } else if (live != null) {
      progress.requestStop(index);
    }
  }

  /** A queued task that was granted before can always be granted again. */
  @ParameterizedTest
  @CsvSource({"1", "2", "8"})
  void queuedTasksHaveSpaceForTheirNextGrant(double valueKb) {
    ProgressCodec codec = codec(valueKb);
    Progress progress = new Progress(LAST_CHUNK);
    int first = Progress.firstIndex(LAST_CHUNK);
    int granted = 0;
    while (granted < Constants.CHUNK_TASKS && codec.hasSpaceFor(progress, first + granted)) {
      progress.grant(first + granted, new Partition(ZONES.get(1), 10));
      progress.requeue(first + granted);
      granted++;
    }
    assertTrue(granted > 5, granted + " tasks at once");
    for (int i = 0; i < granted; i++) {
      assertTrue(codec.hasSpaceFor(progress, first + i), "task " + i + " of " + granted);
      assertEquals(2, progress.grant(first + i, new Partition(ZONES.get(1), 10)));
    }
  }

  /** With the usual limit of 8 KiB all tasks of a chunk can be granted at once. */
  @Test
  void usualValueHoldsAllTasksOfAChunk() {
    Progress progress = new Progress(LAST_CHUNK);
    for (int i = Progress.firstIndex(LAST_CHUNK); i < Progress.firstIndex(LAST_CHUNK + 1); i++) {
      assertTrue(codec(8).hasSpaceFor(progress, i));
      progress.grant(i, new Partition(ZONES.get(1), 10));
    }
  }

  /** Controllers of an earlier version read what fits a value in their form. */
  @ParameterizedTest
  @CsvSource({"8, 0, true", "8, 380, true", "8, 390, false", "1, 40, true", "1, 60, false"})
  void earlierFormIsUsedWhileItFits(double valueKb, int chunk, boolean expected) {
    Progress progress = allDone(chunk);
    ObjectNode value = codec(valueKb).encode(chunk, progress);
    assertEquals(expected, value.has("done"));
    assertEquals(!expected, value.has("done_in_chunk"));
    assertTrue(ProgressCodec.decode(chunk, value).sameDone(progress));
    if (expected) {
      BitSet read = BitSet.valueOf(Base64.getDecoder().decode(value.path("done").asText()));
      assertEquals(Progress.firstIndex(chunk), read.nextSetBit(0));
      assertEquals(Constants.CHUNK_TASKS, read.cardinality());
    }
  }

  /** The form is chosen by the exact size: a value that just fits is written in the old form. */
  @Test
  void earlierFormIsUsedUpToTheExactLimit() {
    for (int chunk = 0; chunk <= LAST_CHUNK; chunk++) {
      Progress progress = allDone(chunk);
      byte[] all = Json.bytes(codec(200).encode(chunk, progress));
      assertEquals(
          all.length <= 8 * 1024, codec(8).encode(chunk, progress).has("done"), "chunk " + chunk);
    }
  }

  /** A value written by an earlier version. */
  @Test
  void readsTheEarlierForm() {
    BitSet done = new BitSet();
    done.set(257);
    done.set(300);
    String text = Base64.getEncoder().encodeToString(done.toByteArray());
    String json =
        "{\"done\":\"%s\",\"live\":[[258,3,\"a.1\"],[259,1,\"a.2\",true]],\"tried\":[[260,2]]}";
    Progress progress = ProgressCodec.decode(2, Json.parse(json.formatted(text).getBytes()));
    assertEquals(2, progress.doneCount());
    assertTrue(progress.isDone(257) && progress.isDone(300));
    assertFalse(progress.isDone(256));
    assertEquals(new Progress.LiveTask(3, new Partition("a", 1), false), progress.live.get(258));
    assertEquals(new Progress.LiveTask(1, new Partition("a", 2), true), progress.live.get(259));
    assertEquals(2, progress.lastAttempts.get(260));
  }
}
