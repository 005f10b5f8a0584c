package org.baygw.control.store;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.baygw.control.model.Partition;
import org.baygw.control.model.PartitionRecord;

/** Cached pages of all partitions' records, with their sizes. */
public final class PartitionPages {
  /**
   * A page with its estimated sizes: that of its machines' tasks and conditions, and of its ended
   * tasks.
   */
  private record Page(PartitionRecord record, int machinesBytes, int endedBytes) {
    private static final Page EMPTY = of(PartitionRecord.EMPTY);

    static Page of(PartitionRecord record) {
      return new Page(record, record.machinesSize(), record.endedSize());
    }
  }

  private static final TreeMap<Integer, Page> NO_PAGES = new TreeMap<>();

  private final Map<Partition, TreeMap<Integer, Page>> pages = new HashMap<>();

  /** Number of pages of a partition's record. */
  public int count(Partition partition) {
    return get(partition, 0).pageCount();
  }

  /** Page of a partition's record; empty if it does not exist. */
  public PartitionRecord get(Partition partition, int page) {
    return page(partition, page).record();
  }

  /** Estimated size of a page. */
  public int bytes(Partition partition, int page) {
    Page found = page(partition, page);
    return found.machinesBytes() + found.endedBytes();
  }

  /** Estimated size of the machines' tasks and conditions on a page. */
  public int machinesBytes(Partition partition, int page) {
    return page(partition, page).machinesBytes();
  }

  /** Estimated size of the ended tasks on a page. */
  public int endedBytes(Partition partition, int page) {
    return page(partition, page).endedBytes();
  }

  private Page page(Partition partition, int page) {
    return pages.getOrDefault(partition, NO_PAGES).getOrDefault(page, Page.EMPTY);
  }

  /** Replaces a page and returns the former one. */
  PartitionRecord put(Partition partition, int page, PartitionRecord next) {
    Page old = pages.computeIfAbsent(partition, k -> new TreeMap<>()).put(page, Page.of(next));
    return old == null ? PartitionRecord.EMPTY : old.record();
  }

  /**
   * First result from the pages of a partition's record that is not null, or null. A machine is on
   * one page only, except while all keys are being listed again.
   */
  String find(Partition partition, Function<PartitionRecord, String> lookup) {
    for (Page page : pages.getOrDefault(partition, NO_PAGES).values()) {
      String found = lookup.apply(page.record());
      if (found != null) {
        return found;
      }
    }
    return null;
  }
}
