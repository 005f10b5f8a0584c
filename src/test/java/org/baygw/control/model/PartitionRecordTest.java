package org.baygw.control.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.baygw.control.core.Json;
import org.junit.jupiter.api.Test;

/**
 * Pages of a partition's record: splitting moves machines only to the new pages, machines are
 * spread evenly, and a page is read as it was written.
 */
final class PartitionRecordTest {
  private static String machine(int i) {
    return String.format("n-%06d", i);
  }

  @Test
  void addingAPageMovesMachinesOnlyFromTheSplitPage() {
    for (int pages = 1; pages <= 64; pages++) {
      int moved = 0;
      for (int i = 0; i < 2_000; i++) {
        int before = PartitionRecord.pageOf(machine(i), pages);
        int after = PartitionRecord.pageOf(machine(i), pages + 1);
        boolean moves = before == PartitionRecord.nextSplit(pages) && after == pages;
        assertTrue(after == before || moves, machine(i) + " of " + pages);
        moved += moves ? 1 : 0;
      }
      assertTrue(moved > 0, "no machine moved to page " + pages);
    }
  }

  @Test
  void doublingThePagesKeepsMachinesOrMovesThemToTheNewHalf() {
    for (int pages = 1; pages <= 32; pages *= 2) {
      for (int i = 0; i < 2_000; i++) {
        int before = PartitionRecord.pageOf(machine(i), pages);
        int after = PartitionRecord.pageOf(machine(i), 2 * pages);
        assertTrue(after == before || after == before + pages, machine(i) + " of " + pages);
      }
    }
  }

  @Test
  void machinesOfAPartitionSpreadOverItsPages() {
    // With the hash that selects the partition, its machines would share few pages.
    int[] machinesByPage = new int[8];
    int all = 0;
    for (int i = 0; i < 8_000; i++) {
      if (Partition.of(machine(i), "a", 8).index() == 3) {
        machinesByPage[PartitionRecord.pageOf(machine(i), 8)]++;
        all++;
      }
    }
    for (int count : machinesByPage) {
      assertTrue(count > all / 16 && count < all / 4, count + " of " + all);
    }
  }

  @Test
  void aPageIsReadAsItWasWritten() {
    PartitionRecord record = PartitionRecord.EMPTY.copy().withPageCount(4);
    record
        .tasksByMachine()
        .put("n-000001", PartitionRecord.tasks(Map.of(new TaskId("run-1", 3), 2)));
    record.conditionsByMachine().put("n-000001", "SILENT");
    record.completedByJob().put("run-1", "0-2");
    record.requeuedByJob().put("run-1", "5*2");
    assertEquals(
        record, Records.partitionRecord(Json.parse(Json.bytes(Records.partitionRecord(record)))));
    assertEquals(1, Records.partitionRecord(Json.parse("{\"on\":{}}".getBytes())).pageCount());
  }
}
