package org.baygw.control.model;

import java.util.BitSet;
import java.util.Map;
import java.util.TreeMap;
import org.baygw.control.Constants;

/**
 * The progress of the tasks in one chunk of a job. A live task was granted to a partition and
 * counts against its team's limit until its termination is proved. The cached instance reflects the
 * durable state, so it is copied before it is changed.
 */
public final class Progress {
  /**
   * A granted task.
   *
   * @param stopRequested whether the task is to be stopped and returned to the queue
   */
  public record LiveTask(int attempt, Partition partition, boolean stopRequested) {}

  public final Map<Integer, LiveTask> live = new TreeMap<>();

  /** The highest attempt so far of each granted task that is neither live nor done. */
  public final Map<Integer, Integer> lastAttempts = new TreeMap<>();

  /** Index in the job of the chunk's first task. */
  private final int firstIndex;

  /** Completed tasks, counted from the chunk's first task. */
  private final BitSet done = new BitSet(Constants.CHUNK_TASKS);

  /** Progress of a chunk of which no task has been granted yet. */
  public Progress(int chunk) {
    this.firstIndex = firstIndex(chunk);
  }

  /** Number of the chunk that a task belongs to. */
  public static int chunkOf(int index) {
    return index / Constants.CHUNK_TASKS;
  }

  /** Index in the job of a chunk's first task. */
  public static int firstIndex(int chunk) {
    return chunk * Constants.CHUNK_TASKS;
  }

  public Progress copy() {
    Progress copy = new Progress(chunkOf(firstIndex));
    copy.done.or(done);
    copy.live.putAll(live);
    copy.lastAttempts.putAll(lastAttempts);
    return copy;
  }

  public boolean isDone(int index) {
    return index >= firstIndex && done.get(index - firstIndex);
  }

  public int doneCount() {
    return done.cardinality();
  }

  /** Completed tasks as a bit set that counts from the chunk's first task; a copy. */
  public BitSet doneInChunk() {
    return (BitSet) done.clone();
  }

  public boolean sameDone(Progress other) {
    return done.equals(other.done);
  }

  public boolean isLive(int index, int attempt) {
    LiveTask task = live.get(index);
    return task != null && task.attempt() == attempt;
  }

  /** Grants a task and returns the number of its attempt. */
  public int grant(int index, Partition partition) {
    Integer last = lastAttempts.remove(index);
    int attempt = last == null ? 1 : last + 1;
    live.put(index, new LiveTask(attempt, partition, false));
    return attempt;
  }

  /** Requests that a live task is stopped and returned to the queue. */
  public void requestStop(int index) {
    live.computeIfPresent(index, (i, task) -> new LiveTask(task.attempt(), task.partition(), true));
  }

  /** Returns a task to the queue: it is proved to have ended without completing. */
  public void requeue(int index) {
    LiveTask task = live.remove(index);
    if (task != null) {
      lastAttempts.put(index, task.attempt());
    }
  }

  public void complete(int index) {
    live.remove(index);
    lastAttempts.remove(index);
    done.set(index - firstIndex);
  }
}
