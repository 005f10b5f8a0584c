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
  void onePageMoreMovesMachinesOnlyFromThePageThatIsSplit() {
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
  void twiceThePagesLeaveAMachineOrMoveItToTheNewHalf() {
    for (int pages = 1; pages <= 32; pages *= 2) {
      for (int i = 0; i < 2_000; i++) {
        int before = PartitionRecord.pageOf(machine(i), pages);
        int after = PartitionRecord.pageOf(machine(i), 2 * pages);
        assertTrue(after == before || after == before + pages, machine(i) + " of " + pages);
      }
    }
  }

  @Test
  void theMachinesOfOnePartSpreadOverItsPages() {
    // With the hash that selects the partition, its machines would share few pages.
    int[] on = new int[8];
    int all = 0;
    for (int i = 0; i < 8_000; i++) {
      if (Partition.of(machine(i), "a", 8).index() == 3) {
        on[PartitionRecord.pageOf(machine(i), 8)]++;
        all++;
      }
    }
    for (int n : on) {
      assertTrue(n > all / 16 && n < all / 4, n + " of " + all);
    }
  }

  @Test
  void aPageIsReadAsItWasWritten() {
    PartitionRecord r = PartitionRecord.EMPTY.copy().withPageCount(4);
    r.tasksByMachine().put("n-000001", PartitionRecord.tasks(Map.of(new TaskId("run-1", 3), 2)));
    r.conditionsByMachine().put("n-000001", "SILENT");
    r.completedByJob().put("run-1", "0-2");
    r.requeuedByJob().put("run-1", "5*2");
    assertEquals(r, Records.partitionRecord(Json.parse(Json.bytes(Records.partitionRecord(r)))));
    assertEquals(1, Records.partitionRecord(Json.parse("{\"on\":{}}".getBytes())).pageCount());
  }
}
