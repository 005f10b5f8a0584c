package org.baygw.control.model;

import java.util.BitSet;
import java.util.Map;
import java.util.TreeMap;

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

  public final BitSet done = new BitSet();
  public final Map<Integer, LiveTask> live = new TreeMap<>();

  /** The highest attempt so far of each granted task that is neither live nor done. */
  public final Map<Integer, Integer> lastAttempts = new TreeMap<>();

  public Progress copy() {
    Progress copy = new Progress();
    copy.done.or(done);
    copy.live.putAll(live);
    copy.lastAttempts.putAll(lastAttempts);
    return copy;
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
    done.set(index);
  }
}
