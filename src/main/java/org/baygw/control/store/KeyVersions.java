package org.baygw.control.store;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Stamps of the keys in the state cache: which changes it has, and which it could not decode. */
final class KeyVersions {
  private final Map<String, Long> stamps = new HashMap<>();

  /** Stamps of deletions beyond the cache's revision, which older values must not undo. */
  private final Map<String, Long> tombstones = new HashMap<>();

  /** Stamps of values that could not be decoded, newer than those that the cache has. */
  private final Map<String, Long> undecodable = new HashMap<>();

  /** Stamp of the value that the cache has; 0 if it has none. */
  long stamp(String key) {
    return stamps.getOrDefault(key, 0L);
  }

  /** Whether a change of the key with this stamp is newer than what the cache has. */
  boolean isNewer(String key, long stamp) {
    return stamp > stamp(key) && stamp > tombstones.getOrDefault(key, 0L);
  }

  void applied(String key, long stamp) {
    stamps.put(key, stamp);
    undecodable.remove(key);
  }

  void deleted(String key, long stamp, long revision) {
    stamps.remove(key);
    undecodable.remove(key);
    if (stamp > revision) {
      tombstones.put(key, stamp);
    }
  }

  /**
   * Notes a value that could not be decoded. The key keeps the stamp of the value that the cache
   * has, so that no write that depends on the key succeeds.
   */
  void couldNotDecode(String key, long stamp) {
    undecodable.put(key, stamp);
  }

  /** Notes that all changes up to the revision have arrived. */
  void advanceTo(long revision) {
    tombstones.values().removeIf(stamp -> stamp <= revision);
  }

  /** All keys with a value, also those of which none could be decoded. */
  Set<String> keys() {
    Set<String> keys = new HashSet<>(stamps.keySet());
    keys.addAll(undecodable.keySet());
    return keys;
  }

  int undecodableCount() {
    return undecodable.size();
  }

  /** Whether the latest value of a page of the partition's record could not be decoded. */
  boolean hasUndecodableRecord(String partition) {
    if (undecodable.isEmpty()) {
      return false;
    }
    String firstPage = Keys.record(partition);
    return undecodable.keySet().stream()
        .anyMatch(key -> key.equals(firstPage) || key.startsWith(firstPage + "/"));
  }
}
