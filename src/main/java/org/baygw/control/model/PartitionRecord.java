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
 * @param pageCount the number of pages of the record; meaningful on the first page only
 * @param tasksByMachine the tasks that may be on each machine
 * @param conditionsByMachine the conditions of machines that accept no new tasks
 * @param completedByJob completed tasks that their job's progress still has as live
 * @param requeuedByJob tasks that ended without completing and that their job's progress still has
 *     as live
 */
public record PartitionRecord(
    int pageCount,
    Map<String, String> tasksByMachine,
    Map<String, String> conditionsByMachine,
    Map<String, String> completedByJob,
    Map<String, String> requeuedByJob) {

  public static final PartitionRecord EMPTY =
      new PartitionRecord(1, Map.of(), Map.of(), Map.of(), Map.of());

  private static final HashFunction PAGE_HASH = Hashing.murmur3_32_fixed(1);

  /** This page with another number of pages; the maps are shared. */
  public PartitionRecord withPageCount(int newPageCount) {
    return new PartitionRecord(
        newPageCount, tasksByMachine, conditionsByMachine, completedByJob, requeuedByJob);
  }

  /**
   * The page of a machine, by linear hashing: pages are split one at a time in order, and a machine
   * stays on its page or moves to the page that was split off from it. The hash differs from the
   * one that selects the partition; otherwise the machines of a partition would share few pages.
   */
  public static int pageOf(String machine, int pageCount) {
    if (pageCount == 1) {
      return 0;
    }
    int hash = PAGE_HASH.hashString(machine, StandardCharsets.UTF_8).asInt();
    int round = Integer.highestOneBit(pageCount);
    int page = Math.floorMod(hash, 2 * round);
    return page < pageCount ? page : Math.floorMod(hash, round);
  }

  /** The page that is split next; the new page after the last one gets some of its machines. */
  public static int nextSplit(int pageCount) {
    return pageCount - Integer.highestOneBit(pageCount);
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

  private static int size(Map<String, String> lists) {
    int bytes = 0;
    for (Map.Entry<String, String> entry : lists.entrySet()) {
      bytes += entry.getKey().length() + entry.getValue().length() + Constants.RECORD_ENTRY_BYTES;
    }
    return bytes;
  }

  /** Formats tasks with their attempts: "job:0-3,7*2 job:1", where attempt 1 is omitted. */
  public static String tasks(Map<TaskId, Integer> tasks) {
    Map<String, TreeMap<Integer, Integer>> jobs = new LinkedHashMap<>();
    tasks.forEach(
        (task, attempt) ->
            jobs.computeIfAbsent(task.job(), k -> new TreeMap<>()).put(task.index(), attempt));
    StringBuilder text = new StringBuilder();
    jobs.forEach(
        (job, attempts) -> {
          if (text.length() > 0) {
            text.append(' ');
          }
          text.append(job).append(':').append(indexes(attempts));
        });
    return text.toString();
  }

  public static Map<TaskId, Integer> tasks(String text) {
    Map<TaskId, Integer> parsed = new LinkedHashMap<>();
    if (text != null && !text.isEmpty()) {
      for (String group : text.split(" ")) {
        int colon = group.indexOf(':');
        String job = group.substring(0, colon);
        indexes(group.substring(colon + 1))
            .forEach((index, attempt) -> parsed.put(new TaskId(job, index), attempt));
      }
    }
    return parsed;
  }

  /** Formats task indexes with their attempts: "0-3,7*2"; runs of the same attempt are merged. */
  public static String indexes(TreeMap<Integer, Integer> attempts) {
    StringBuilder text = new StringBuilder();
    int from = -1;
    int to = -1;
    int attempt = 0;
    for (Map.Entry<Integer, Integer> entry : attempts.entrySet()) {
      if (from >= 0 && entry.getKey() == to + 1 && entry.getValue() == attempt) {
        to++;
        continue;
      }
      append(text, from, to, attempt);
      from = entry.getKey();
      to = from;
      attempt = entry.getValue();
    }
    append(text, from, to, attempt);
    return text.toString();
  }

  private static void append(StringBuilder text, int from, int to, int attempt) {
    if (from < 0) {
      return;
    }
    if (text.length() > 0) {
      text.append(',');
    }
    text.append(from);
    if (to > from) {
      text.append('-').append(to);
    }
    if (attempt != 1) {
      text.append('*').append(attempt);
    }
  }

  public static TreeMap<Integer, Integer> indexes(String text) {
    TreeMap<Integer, Integer> attempts = new TreeMap<>();
    if (text == null || text.isEmpty()) {
      return attempts;
    }
    for (String item : text.split(",")) {
      int star = item.indexOf('*');
      int attempt = star < 0 ? 1 : Integer.parseInt(item.substring(star + 1));
      String range = star < 0 ? item : item.substring(0, star);
      int dash = range.indexOf('-');
      int from = Integer.parseInt(dash < 0 ? range : range.substring(0, dash));
      int to = dash < 0 ? from : Integer.parseInt(range.substring(dash + 1));
      for (int i = from; i <= to; i++) {
        attempts.put(i, attempt);
      }
    }
    return attempts;
  }
}
