package org.baygw.control.model;

import java.util.BitSet;
import java.util.Map;
import java.util.TreeMap;

/**
 * How far the tasks of one chunk of a job are. A live task was granted to a partition and counts
 * against its team until it is proved gone. Copied before it is changed: the cached one is what is
 * durable.
 */
public final class Progress {
  /** A granted task; stop means that it is to be ended and go back to the queue. */
  public record Live(int attempt, Partition part, boolean stop) {}

  public final BitSet done = new BitSet();
  public final Map<Integer, Live> live = new TreeMap<>();

  /** Highest attempt used so far of tasks that are not live. */
  public final Map<Integer, Integer> tried = new TreeMap<>();

  public Progress copy() {
    Progress p = new Progress();
    p.done.or(done);
    p.live.putAll(live);
    p.tried.putAll(tried);
    return p;
  }

  public boolean isLive(int index, int attempt) {
    Live l = live.get(index);
    return l != null && l.attempt() == attempt;
  }

  /** Grants a task and returns its attempt. */
  public int grant(int index, Partition part) {
    Integer last = tried.remove(index);
    int attempt = last == null ? 1 : last + 1;
    live.put(index, new Live(attempt, part, false));
    return attempt;
  }

  /** The task is proved gone without having completed. */
  public void back(int index) {
    Live l = live.remove(index);
    if (l != null) {
      tried.put(index, l.attempt());
    }
  }

  public void complete(int index) {
    live.remove(index);
    tried.remove(index);
    done.set(index);
  }
}
