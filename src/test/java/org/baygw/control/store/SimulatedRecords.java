package org.baygw.control.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Json;
import org.baygw.control.model.Machine;
import org.baygw.control.model.Partition;
import org.baygw.control.model.PartitionRecord;
import org.baygw.control.model.Progress;
import org.baygw.control.model.Records;
import org.baygw.control.model.TaskId;

/**
 * The keys of a small deployment in which random tasks are granted, placed, ended and recorded in
 * the order that the controllers' writes keep. Each step is one write.
 */
final class SimulatedRecords {
  static final String JOB = "run-1";
  private static final String ZONE = "a";
  private static final int PARTITIONS = 3;
  private static final int MACHINES = 9;
  private static final int TASKS = 8;

  /** A stored value with the revision of its last change. */
  record Item(JsonNode value, long stamp) {}

  /** A change of a key; the value is null if the key was deleted. */
  record Change(String key, JsonNode value, long stamp) {}

  final TreeMap<String, Item> items = new TreeMap<>();
  final List<Change> changes = new ArrayList<>();
  long revision;

  private final Random random;
  private final ProgressCodec codec =
      new ProgressCodec(new Settings.StateLimits(100, 100, 8, 16), List.of(ZONE));
  private Progress progress = new Progress(0);
  private final Map<Partition, List<PartitionRecord>> records = new TreeMap<>();

  SimulatedRecords(long seed) {
    random = new Random(seed);
    write(Keys.LAYOUT, Json.object().put("partitions_per_zone", PARTITIONS));
    for (int i = 0; i < MACHINES; i++) {
      Partition partition = partitionOf(machine(i));
      Machine.Condition ok = Machine.Condition.OK;
      Machine machine =
          new Machine(
              machine(i), "c16", ZONE, false, "10.0.0.1:1", ok, Map.of(), List.of(), partition);
      write(Keys.machine(machine(i)), Records.machine(machine));
    }
    for (Partition partition : Partition.all(List.of(ZONE), PARTITIONS)) {
      records.put(partition, new ArrayList<>(List.of(PartitionRecord.EMPTY.copy())));
    }
  }

  static List<Partition> partitions() {
    return Partition.all(List.of(ZONE), PARTITIONS);
  }

  static List<String> machines() {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < MACHINES; i++) {
      names.add(machine(i));
    }
    return names;
  }

  static List<TaskId> tasks() {
    List<TaskId> tasks = new ArrayList<>();
    for (int i = 0; i < TASKS; i++) {
      tasks.add(new TaskId(JOB, i));
    }
    return tasks;
  }

  private static String machine(int number) {
    return "n-00000" + number;
  }

  private static Partition partitionOf(String machine) {
    return Partition.of(machine, ZONE, PARTITIONS);
  }

  private void write(String key, JsonNode value) {
    revision++;
    items.put(key, new Item(value, revision));
    changes.add(new Change(key, value, revision));
  }

  private void writeRecord(Partition partition, int page) {
    write(Keys.record(partition, page), Records.partitionRecord(pageOf(partition, page)));
  }

  private PartitionRecord pageOf(Partition partition, int page) {
    return records.get(partition).get(page);
  }

  private int pageNumber(String machine) {
    return PartitionRecord.pageOf(machine, records.get(partitionOf(machine)).size());
  }

  private Map<TaskId, Integer> tasksOn(String machine) {
    PartitionRecord page = pageOf(partitionOf(machine), pageNumber(machine));
    return PartitionRecord.tasks(page.tasksByMachine().get(machine));
  }

  /** The machine that has the task, or null. */
  private String machineOf(TaskId task) {
    return machines().stream().filter(m -> tasksOn(m).containsKey(task)).findAny().orElse(null);
  }

  /** Whether a page lists the present attempt of the task as ended. */
  private boolean isListedAsEnded(TaskId task) {
    Progress.LiveTask grant = progress.live.get(task.index());
    return records.values().stream()
        .flatMap(List::stream)
        .anyMatch(
            page ->
                PartitionRecord.indexes(page.completedByJob().get(JOB)).containsKey(task.index())
                    || PartitionRecord.indexes(page.requeuedByJob().get(JOB))
                            .getOrDefault(task.index(), 0)
                        == grant.attempt());
  }

  /** Makes one random write that the present state allows, or none. */
  void step() {
    TaskId task = tasks().get(random.nextInt(TASKS));
    Progress.LiveTask grant = progress.live.get(task.index());
    if (random.nextInt(20) == 0) {
      splitPage(partitions().get(random.nextInt(PARTITIONS)));
    } else if (random.nextInt(5) == 0) {
      recordEndedTasks();
    } else if (random.nextInt(5) == 0) {
      dropRecordedTasks(partitions().get(random.nextInt(PARTITIONS)));
    } else if (grant == null && !progress.isDone(task.index())) {
      progress.grant(task.index(), partitions().get(random.nextInt(PARTITIONS)));
      writeProgress();
    } else if (grant != null && !isListedAsEnded(task)) {
      placeOrEnd(task, grant);
    }
  }

  private void writeProgress() {
    write(Keys.progress(JOB, 0), codec.encode(0, progress));
  }

  private void placeOrEnd(TaskId task, Progress.LiveTask grant) {
    String current = machineOf(task);
    if (current != null) {
      end(task, grant, current);
      return;
    }
    List<String> candidates =
        machines().stream().filter(m -> partitionOf(m).equals(grant.partition())).toList();
    if (!candidates.isEmpty()) {
      String machine = candidates.get(random.nextInt(candidates.size()));
      Map<TaskId, Integer> tasks = tasksOn(machine);
      tasks.put(task, grant.attempt());
      setTasks(machine, tasks);
      writeRecord(grant.partition(), pageNumber(machine));
    }
  }

  private void setTasks(String machine, Map<TaskId, Integer> tasks) {
    Map<String, String> texts = pageOf(partitionOf(machine), pageNumber(machine)).tasksByMachine();
    if (tasks.isEmpty()) {
      texts.remove(machine);
    } else {
      texts.put(machine, PartitionRecord.tasks(tasks));
    }
  }

  private void end(TaskId task, Progress.LiveTask grant, String machine) {
    Map<TaskId, Integer> tasks = tasksOn(machine);
    tasks.remove(task);
    setTasks(machine, tasks);
    PartitionRecord page = pageOf(grant.partition(), pageNumber(machine));
    boolean completed = random.nextInt(10) == 0;
    Map<String, String> lists = completed ? page.completedByJob() : page.requeuedByJob();
    TreeMap<Integer, Integer> indexes = PartitionRecord.indexes(lists.get(JOB));
    indexes.put(task.index(), completed ? 1 : grant.attempt());
    lists.put(JOB, PartitionRecord.indexes(indexes));
    writeRecord(grant.partition(), pageNumber(machine));
  }

  /** Includes in the progress the ended tasks that the pages list. */
  private void recordEndedTasks() {
    Progress next = progress.copy();
    for (List<PartitionRecord> pages : records.values()) {
      for (PartitionRecord page : pages) {
        PartitionRecord.indexes(page.completedByJob().get(JOB)).keySet().forEach(next::complete);
        PartitionRecord.indexes(page.requeuedByJob().get(JOB))
            .forEach(
                (index, attempt) -> {
                  if (next.isLive(index, attempt)) {
                    next.requeue(index);
                  }
                });
      }
    }
    progress = next;
    writeProgress();
  }

  /** Drops the ended tasks from a partition's pages that the progress includes. */
  private void dropRecordedTasks(Partition partition) {
    for (int number = 0; number < records.get(partition).size(); number++) {
      PartitionRecord page = pageOf(partition, number);
      keepOnly(page.completedByJob(), (index, attempt) -> !progress.isDone(index));
      keepOnly(page.requeuedByJob(), progress::isLive);
      writeRecord(partition, number);
    }
  }

  private static void keepOnly(
      Map<String, String> lists, java.util.function.BiPredicate<Integer, Integer> kept) {
    TreeMap<Integer, Integer> indexes = PartitionRecord.indexes(lists.get(JOB));
    indexes.entrySet().removeIf(entry -> !kept.test(entry.getKey(), entry.getValue()));
    if (indexes.isEmpty()) {
      lists.remove(JOB);
    } else {
      lists.put(JOB, PartitionRecord.indexes(indexes));
    }
  }

  /** Splits a page; all pages change in one write, under one revision. */
  private void splitPage(Partition partition) {
    List<PartitionRecord> pages = records.get(partition);
    int count = pages.size();
    if (count == 4) {
      return;
    }
    pages.add(PartitionRecord.EMPTY.copy());
    PartitionRecord split = pages.get(PartitionRecord.nextSplit(count));
    for (String machine : List.copyOf(split.tasksByMachine().keySet())) {
      if (PartitionRecord.pageOf(machine, count + 1) == count) {
        pages.get(count).tasksByMachine().put(machine, split.tasksByMachine().remove(machine));
      }
    }
    pages.set(0, pages.get(0).withPageCount(count + 1));
    revision++;
    for (int page = 0; page <= count; page++) {
      JsonNode value = Records.partitionRecord(pageOf(partition, page));
      items.put(Keys.record(partition, page), new Item(value, revision));
      changes.add(new Change(Keys.record(partition, page), value, revision));
    }
  }
}
