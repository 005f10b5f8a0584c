package org.baygw.control.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One reading of all keys, which arrive in pages of different revisions. While decisions are made
 * from the cache, nothing is applied before all pages have arrived: with some of them a task could
 * seem to be on no machine. Only values that are newer than the cache's are kept until then.
 */
final class Listing {
  private record KeyValue(String key, JsonNode value, long stamp) {}

  private final StateCache cache;
  private final boolean cacheInUse;
  private final long startedAt;
  private final Set<String> seen = new HashSet<>();
  private final List<KeyValue> newer = new ArrayList<>();
  private String lastKey = "";
  private long firstRevision;
  private long lastRevision;
  private boolean complete;

  /**
   * Begins a listing.
   *
   * @param cacheInUse whether decisions are made from the cache while the pages arrive
   * @param startedAt time in ms at which the first page is requested
   */
  Listing(StateCache cache, boolean cacheInUse, long startedAt) {
    this.cache = cache;
    this.cacheInUse = cacheInUse;
    this.startedAt = startedAt;
  }

  long startedAt() {
    return startedAt;
  }

  /** The last key that has arrived; empty before the first page. */
  String lastKey() {
    return lastKey;
  }

  /** The revision of the first page: later changes may be missing. */
  long firstRevision() {
    return firstRevision;
  }

  int keyCount() {
    return seen.size();
  }

  boolean complete() {
    return complete;
  }

  /** Whether all pages have the same revision, so that they fit together. */
  boolean consistent() {
    return firstRevision == lastRevision;
  }

  /** Adds the next page; returns false if the response is malformed. */
  boolean addPage(JsonNode response) {
    if (!response.path("ledgerRev").isNumber()) {
      return false;
    }
    lastRevision = response.path("ledgerRev").asLong();
    firstRevision = firstRevision == 0 ? lastRevision : firstRevision;
    for (JsonNode entry : response.path("entries")) {
      add(
          new KeyValue(
              entry.path("key").asText(), entry.path("value"), entry.path("stamp").asLong()));
    }
    complete = !response.path("more").asBoolean();
    return true;
  }

  private void add(KeyValue entry) {
    lastKey = entry.key();
    seen.add(entry.key());
    if (!cacheInUse) {
      cache.put(entry.key(), entry.value(), entry.stamp());
    } else if (cache.isNewer(entry.key(), entry.stamp())) {
      newer.add(entry);
    }
  }

  /** Applies the complete listing to the cache. */
  void apply() {
    newer.forEach(entry -> cache.put(entry.key(), entry.value(), entry.stamp()));
    // A known key that is not listed was deleted while no changes were read.
    for (String key : cache.keys()) {
      if (!seen.contains(key) && cache.stamp(key) <= firstRevision) {
        cache.delete(key, firstRevision);
      }
    }
    cache.advanceTo(firstRevision);
  }
}
