package org.baygw.control.store;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.baygw.control.model.Partition;
import org.baygw.control.model.PartitionRecord;

/** The pages of all partitions' records in this controller's copy, with their sizes. */
public final class PartitionPages {
  /** A page with the bytes that its two halves take. */
  private record Page(PartitionRecord record, int onBytes, int endedBytes) {
    private static final Page EMPTY = of(PartitionRecord.EMPTY);

    static Page of(PartitionRecord record) {
      return new Page(record, record.machinesSize(), record.endedSize());
    }
  }

  private static final TreeMap<Integer, Page> NONE = new TreeMap<>();

  private final Map<Partition, TreeMap<Integer, Page>> pages = new HashMap<>();

  /** How many pages a partition's record has. */
  public int count(Partition part) {
    return get(part, 0).pageCount();
  }

  /** A page of a partition's record, empty where it is not there. */
  public PartitionRecord get(Partition part, int page) {
    return page(part, page).record();
  }

  /** About how many bytes a page takes. */
  public int bytes(Partition part, int page) {
    Page found = page(part, page);
    return found.onBytes() + found.endedBytes();
  }

  /** About how many bytes of a page are what machines have to do. */
  public int onBytes(Partition part, int page) {
    return page(part, page).onBytes();
  }

  /** About how many bytes of a page are tasks that have ended. */
  public int endedBytes(Partition part, int page) {
    return page(part, page).endedBytes();
  }

  private Page page(Partition part, int page) {
    return pages.getOrDefault(part, NONE).getOrDefault(page, Page.EMPTY);
  }

  /** Puts a page in the place of the one that it returns. */
  PartitionRecord put(Partition part, int page, PartitionRecord next) {
    Page old = pages.computeIfAbsent(part, k -> new TreeMap<>()).put(page, Page.of(next));
    return old == null ? PartitionRecord.EMPTY : old.record();
  }

  /**
   * What any page of a partition's record has, or null; a machine stands on one page only, but for
   * the middle of reading all keys anew.
   */
  String find(Partition part, Function<PartitionRecord, String> what) {
    for (Page page : pages.getOrDefault(part, NONE).values()) {
      String found = what.apply(page.record());
      if (found != null) {
        return found;
      }
    }
    return null;
  }
}
