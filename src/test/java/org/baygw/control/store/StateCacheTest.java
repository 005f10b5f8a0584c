package org.baygw.control.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.MapDifference;
import com.google.common.collect.Maps;
import java.nio.charset.StandardCharsets;
import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.baygw.control.core.Json;
import org.baygw.control.model.Machine;
import org.baygw.control.model.Partition;
import org.baygw.control.model.Records;
import org.baygw.control.model.TaskId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Indexes of the state cache, whatever the order in which keys arrive. */
final class StateCacheTest {
  private static final int STEPS = 400;
  private static final Partition PARTITION = new Partition("a", 0);

  private static void readChanges(StateCache cache, SimulatedRecords records) {
    for (SimulatedRecords.Change change : records.changes) {
      if (change.stamp() > cache.revision()) {
        cache.put(change.key(), change.value(), change.stamp());
      }
    }
    cache.advanceTo(records.revision);
  }

  /** Applies all keys in a random order, as a controller that missed changes does. */
  private static void list(StateCache cache, SimulatedRecords records, Random random) {
    List<String> keys = new ArrayList<>(records.items.keySet());
    Collections.shuffle(keys, random);
    for (String key : keys) {
      SimulatedRecords.Item item = records.items.get(key);
      cache.put(key, item.value(), item.stamp());
    }
    cache.advanceTo(records.revision);
  }

  /** What the other packages see of the cache. */
  private static TreeMap<String, Object> view(StateCache cache) {
    TreeMap<String, Object> view = new TreeMap<>();
    for (Partition partition : SimulatedRecords.partitions()) {
      view.put("unplaced " + partition, new TreeSet<>(cache.unplaced(partition)));
      view.put("granted " + partition, cache.grantedCount(partition));
      view.put("machines " + partition, cache.machinesOf(partition));
    }
    for (String name : SimulatedRecords.machines()) {
      StateCache.Entry<Machine> machine = cache.machines.get(name);
      view.put("tasks " + name, cache.tasksOn(name));
      view.put("machine " + name, machine == null ? "none" : machine.value().tasks());
    }
    for (TaskId task : SimulatedRecords.tasks()) {
      view.put("grant " + task, String.valueOf(cache.grant(task)));
      view.put("machines of " + task, cache.machinesWith(task));
    }
    view.put("done", cache.doneCount(SimulatedRecords.JOB));
    return view;
  }

  private static void assertSameView(StateCache expected, StateCache actual, String message) {
    MapDifference<String, Object> difference = Maps.difference(view(expected), view(actual));
    assertEquals(Map.of(), difference.entriesDiffering(), message);
  }

  /**
   * Guards against tasks that are lost or counted as being on no machine after a controller that
   * missed changes has listed all keys.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void anyOrderOfKeysGivesTheSameCache(long seed) {
    SimulatedRecords records = new SimulatedRecords(seed);
    Random random = new Random(seed);
    StateCache watching = new StateCache();
    StateCache listing = new StateCache();
    for (int step = 0; step < STEPS; step++) {
      records.step();
      readChanges(watching, records);
      if (random.nextInt(10) == 0) {
        list(listing, records, random);
        assertSameView(watching, listing, "listed again, step " + step);
        StateCache first = new StateCache();
        list(first, records, random);
        assertSameView(watching, first, "listed for the first time, step " + step);
      }
    }
  }

  /**
   * Guards against a value that is lost, or applied in part, while its stamp says that it is not.
   */
  @Test
  void undecodableValueKeepsTheFormerOneWithItsStamp() {
    StateCache cache = new StateCache();
    String key = Keys.record(PARTITION, 0);
    cache.put(key, json("{'on':{'n-1':'run-1:0','n-2':'run-1:1'}}"), 5);
    cache.put(key, json("{'on':{'n-1':'run-1:2','n-2':'no list of tasks'}}"), 6);
    assertEquals(Set.of("n-1"), cache.machinesWith(new TaskId("run-1", 0)));
    assertEquals(Set.of(), cache.machinesWith(new TaskId("run-1", 2)));
    assertEquals(5, cache.stamp(key));
    assertTrue(cache.hasUndecodableRecord(PARTITION.toString()));

    cache.put(key, json("{'on':{'n-1':'run-1:2'}}"), 7);
    assertEquals(Set.of("n-1"), cache.machinesWith(new TaskId("run-1", 2)));
    assertEquals(7, cache.stamp(key));
    assertFalse(cache.hasUndecodableRecord(PARTITION.toString()));
  }

  /** Guards against a cache that is relied on after an error, such as an exhausted stack. */
  @Test
  void errorDuringChangeLeavesInconsistentCache() {
    StateCache cache = new StateCache();
    cache.put(Keys.LAYOUT, json("{'partitions_per_zone':1}"), 1);
    List<String> images =
        new AbstractList<>() {
          @Override
          public String get(int index) {
            throw new StackOverflowError();
          }

          @Override
          public int size() {
            return 1;
          }
        };
    Machine machine =
        new Machine(
            "n-1", "c16", "a", false, "", Machine.Condition.OK, Map.of(), images, PARTITION);
    cache.machines.put("n-1", new StateCache.Entry<>(machine, 1));
    JsonNode record = Records.machine(machine);
    assertThrows(StackOverflowError.class, () -> cache.put(Keys.machine("n-1"), record, 2));
    assertTrue(cache.inconsistent());
  }

  private static JsonNode json(String text) {
    return Json.parse(text.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
  }
}
