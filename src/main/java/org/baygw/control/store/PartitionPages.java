package org.baygw.control.store;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.baygw.control.model.Partition;
import org.baygw.control.model.PartitionRecord;

/** Cached pages of all partitions' records, with their sizes. */
public final class PartitionPages {
  /** A page with the estimated sizes of its assignments and of its ended tasks. */
  private record Page(PartitionRecord record, int assignmentBytes, int endedBytes) {
    private static final Page EMPTY = of(PartitionRecord.EMPTY);

    static Page of(PartitionRecord record) {
      return new Page(record, record.machinesSize(), record.endedSize());
    }
  }

  private static final TreeMap<Integer, Page> NO_PAGES = new TreeMap<>();

  private final Map<Partition, TreeMap<Integer, Page>> pages = new HashMap<>();

  /** Number of pages of a partition's record. */
  public int count(Partition part) {
    return get(part, 0).pageCount();
  }

  /** Page of a partition's record; empty if it does not exist. */
  public PartitionRecord get(Partition part, int page) {
    return page(part, page).record();
  }

  /** Estimated size of a page. */
  public int bytes(Partition part, int page) {
    Page found = page(part, page);
    return found.assignmentBytes() + found.endedBytes();
  }

  /** Estimated size of the machines' tasks and conditions on a page. */
  public int assignmentBytes(Partition part, int page) {
    return page(part, page).assignmentBytes();
  }

  /** Estimated size of the ended tasks on a page. */
  public int endedBytes(Partition part, int page) {
    return page(part, page).endedBytes();
  }

  private Page page(Partition part, int page) {
    return pages.getOrDefault(part, NO_PAGES).getOrDefault(page, Page.EMPTY);
  }

  /** Replaces a page and returns the former one. */
  PartitionRecord put(Partition part, int page, PartitionRecord next) {
    Page old = pages.computeIfAbsent(part, k -> new TreeMap<>()).put(page, Page.of(next));
    return old == null ? PartitionRecord.EMPTY : old.record();
  }

  /**
   * First result from the pages of a partition's record that is not null, or null. A machine is on
   * one page only, except while all keys are being listed again.
   */
  String find(Partition part, Function<PartitionRecord, String> lookup) {
    for (Page page : pages.getOrDefault(part, NO_PAGES).values()) {
      String found = lookup.apply(page.record());
      if (found != null) {
        return found;
      }
    }
    return null;
  }
}
