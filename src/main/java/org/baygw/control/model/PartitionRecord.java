package org.baygw.control.model;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.baygw.control.Constants;

/**
 * A page of a partition's record. Lists of tasks are kept as text, so that a reader parses only the
 * lists that changed.
 *
 * @param pages the number of pages of the record; meaningful on the first page only
 * @param on the tasks that may be on a machine, by machine
 * @param conditions the conditions of machines that accept no new tasks, by machine
 * @param done completed tasks that their job's progress still has as live, by job
 * @param back tasks that ended without completing and that their job's progress still has as live,
 *     by job
 */
public record PartitionRecord(
    int pageCount,
    Map<String, String> tasksByMachine,
    Map<String, String> conditionsByMachine,
    Map<String, String> completedByJob,
    Map<String, String> requeuedByJob) {

  public static final PartitionRecord EMPTY =
      new PartitionRecord(1, Map.of(), Map.of(), Map.of(), Map.of());

  private static final HashFunction PAGES = Hashing.murmur3_32_fixed(1);

  /** This page with another number of pages; the maps are shared. */
  public PartitionRecord withPageCount(int count) {
    return new PartitionRecord(
        count, tasksByMachine, conditionsByMachine, completedByJob, requeuedByJob);
  }

  /**
   * The page of a machine, by linear hashing: pages are split one at a time in order, and a machine
   * stays on its page or moves to the page that was split off from it. The hash differs from the
   * one that selects the partition; otherwise the machines of a partition would share few pages.
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

  /** The page that is split next; the page after the last one takes part of its machines. */
  public static int nextSplit(int pages) {
    return pages - Integer.highestOneBit(pages);
  }

  /** A mutable copy. */
  public PartitionRecord copy() {
    return new PartitionRecord(
        pageCount,
        new LinkedHashMap<>(tasksByMachine),
        new LinkedHashMap<>(conditionsByMachine),
        new LinkedHashMap<>(completedByJob),
        new LinkedHashMap<>(requeuedByJob));
  }

  /** The approximate size of the page in bytes. */
  public int size() {
    return machinesSize() + endedSize();
  }

  /** The approximate size in bytes of the machines' tasks and conditions. */
  public int machinesSize() {
    return size(tasksByMachine) + size(conditionsByMachine);
  }

  /** The approximate size in bytes of ended tasks, which are removed once progress has them. */
  public int endedSize() {
    return size(completedByJob) + size(requeuedByJob);
  }

  private static int size(Map<String, String> m) {
    int n = 0;
    for (Map.Entry<String, String> e : m.entrySet()) {
      n += e.getKey().length() + e.getValue().length() + Constants.RECORD_ENTRY_BYTES;
    }
    return n;
  }

  /** Formats tasks with their attempts: "job:0-3,7*2 job:1", where attempt 1 is omitted. */
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

  /** Formats task indexes with their attempts: "0-3,7*2"; runs of the same attempt are merged. */
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
