package org.baygw.control.model;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.baygw.control.Constants;

/**
 * A page of a partition's record: the tasks that may be on each of its machines, the machines that
 * are not fit for more, and the tasks that have ended there but stand in their job's progress
 * still. Lists of tasks are kept as text, so that a reader looks only into those that changed. How
 * many pages the record has stands on the first of them; that of the others has no meaning.
 */
public record PartitionRecord(
    int pages,
    Map<String, String> on,
    Map<String, String> conditions,
    Map<String, String> done,
    Map<String, String> back) {

  public static final PartitionRecord EMPTY =
      new PartitionRecord(1, Map.of(), Map.of(), Map.of(), Map.of());

  private static final HashFunction PAGES = Hashing.murmur3_32_fixed(1);

  /** This page, shared, as one of a record of so many. */
  public PartitionRecord withPages(int count) {
    return new PartitionRecord(count, on, conditions, done, back);
  }

  /**
   * The page that a machine stands on, by linear hashing: pages are split one at a time, in their
   * order, and a machine stays where it is or goes to the page that came of its own. The hash is
   * not the one that chose the partition.
   */
  public static int pageOf(String machine, int pages) {
    if (pages == 1) {
      return 0;
    }
    int hash = PAGES.hashString(machine, StandardCharsets.UTF_8).asInt();
    int round = Integer.highestOneBit(pages);
    int page = Math.floorMod(hash, 2 * round);
    return page < pages ? page : Math.floorMod(hash, round);
  }

  /** The page that is split next, into itself and the page after the last. */
  public static int nextSplit(int pages) {
    return pages - Integer.highestOneBit(pages);
  }

  /** A copy to be changed. */
  public PartitionRecord copy() {
    return new PartitionRecord(
        pages,
        new LinkedHashMap<>(on),
        new LinkedHashMap<>(conditions),
        new LinkedHashMap<>(done),
        new LinkedHashMap<>(back));
  }

  /** About how many bytes the record takes. */
  public int size() {
    return onSize() + endedSize();
  }

  /** About how many bytes of it are what machines have to do. */
  public int onSize() {
    return size(on) + size(conditions);
  }

  /** About how many bytes of it are ended tasks, which go when their jobs' progress has them. */
  public int endedSize() {
    return size(done) + size(back);
  }

  private static int size(Map<String, String> m) {
    int n = 0;
    for (Map.Entry<String, String> e : m.entrySet()) {
      n += e.getKey().length() + e.getValue().length() + Constants.RECORD_ENTRY_BYTES;
    }
    return n;
  }

  /** Tasks with their attempts as text: "job:0-3,7*2 job:1", an attempt of 1 left out. */
  public static String tasks(Map<TaskId, Integer> tasks) {
    Map<String, TreeMap<Integer, Integer>> jobs = new LinkedHashMap<>();
    tasks.forEach(
        (t, attempt) ->
            jobs.computeIfAbsent(t.job(), k -> new TreeMap<>()).put(t.index(), attempt));
    StringBuilder b = new StringBuilder();
    jobs.forEach(
        (job, list) -> {
          if (b.length() > 0) {
            b.append(' ');
          }
          b.append(job).append(':').append(indexes(list));
        });
    return b.toString();
  }

  public static Map<TaskId, Integer> tasks(String text) {
    Map<TaskId, Integer> out = new LinkedHashMap<>();
    if (text != null && !text.isEmpty()) {
      for (String group : text.split(" ")) {
        int colon = group.indexOf(':');
        String job = group.substring(0, colon);
        indexes(group.substring(colon + 1)).forEach((i, a) -> out.put(new TaskId(job, i), a));
      }
    }
    return out;
  }

  /** Indexes with a number each, as text: "0-3,7*2"; runs of one number are drawn together. */
  public static String indexes(TreeMap<Integer, Integer> list) {
    StringBuilder b = new StringBuilder();
    int from = -1;
    int to = -1;
    int attempt = 0;
    for (Map.Entry<Integer, Integer> e : list.entrySet()) {
      if (from >= 0 && e.getKey() == to + 1 && e.getValue() == attempt) {
        to++;
        continue;
      }
      append(b, from, to, attempt);
      from = e.getKey();
      to = from;
      attempt = e.getValue();
    }
    append(b, from, to, attempt);
    return b.toString();
  }

  private static void append(StringBuilder b, int from, int to, int attempt) {
    if (from < 0) {
      return;
    }
    if (b.length() > 0) {
      b.append(',');
    }
    b.append(from);
    if (to > from) {
      b.append('-').append(to);
    }
    if (attempt != 1) {
      b.append('*').append(attempt);
    }
  }

  public static TreeMap<Integer, Integer> indexes(String text) {
    TreeMap<Integer, Integer> out = new TreeMap<>();
    if (text == null || text.isEmpty()) {
      return out;
    }
    for (String item : text.split(",")) {
      int star = item.indexOf('*');
      int attempt = star < 0 ? 1 : Integer.parseInt(item.substring(star + 1));
      String range = star < 0 ? item : item.substring(0, star);
      int dash = range.indexOf('-');
      int from = Integer.parseInt(dash < 0 ? range : range.substring(0, dash));
      int to = dash < 0 ? from : Integer.parseInt(range.substring(dash + 1));
      for (int i = from; i <= to; i++) {
        out.put(i, attempt);
      }
    }
    return out;
  }
}
