package org.baygw.control.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Utf8;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Json;

/** A conditional write under construction. */
public final class Txn {
  /**
   * A put, attached to a lease unless the lease is 0, or a delete if the value is null.
   *
   * @param bytes size of the value
   */
  record Change(JsonNode value, long leaseId, int bytes) {}

  /** Most bytes that a condition or a change takes besides its key and value. */
  private static final int ENTRY_BYTES = 50;

  /** Bytes of a request without conditions and changes, {"when":[],"then":[]}. */
  private static final int FRAME_BYTES = 22;

  private final Map<String, Long> conditions = new LinkedHashMap<>();
  final Map<String, Change> changes = new LinkedHashMap<>();
  private int bytes = FRAME_BYTES;

  /** Adds a condition: the key has this stamp, or does not exist if the stamp is 0. */
  public Txn when(String key, long stamp) {
    if (conditions.put(key, stamp) == null) {
      bytes += entryBytes(key, 0);
    }
    return this;
  }

  public Txn put(String key, JsonNode value) {
    return put(key, value, 0);
  }

  public Txn put(String key, JsonNode value, long leaseId) {
    return change(key, new Change(value, leaseId, Json.size(value)));
  }

  public Txn delete(String key) {
    return change(key, new Change(null, 0, 0));
  }

  private Txn change(String key, Change change) {
    Change replaced = changes.put(key, change);
    bytes += replaced == null ? entryBytes(key, change.bytes()) : change.bytes() - replaced.bytes();
    return this;
  }

  /** The most bytes that a condition on the key takes. */
  public static int conditionBytes(String key) {
    return entryBytes(key, 0);
  }

  private static int entryBytes(String key, int valueBytes) {
    return ENTRY_BYTES + Utf8.encodedLength(key) + valueBytes;
  }

  /** Size of the request in bytes; the actual size is the same or slightly smaller. */
  public int bytes() {
    return bytes;
  }

  /**
   * Whether the write stays within the state service's limits on changes and bytes if a key is put
   * as well, with a condition on its stamp.
   */
  public boolean hasSpaceFor(String key, int valueBytes, Settings.StateLimits limits) {
    int added = entryBytes(key, 0) + entryBytes(key, valueBytes);
    return changes.size() < limits.txnOps() && bytes + added <= Constants.MAX_BODY_BYTES;
  }

  /** The key with the largest value; empty if nothing is put. */
  String largestKey() {
    return changes.entrySet().stream()
        .max(Comparator.comparingInt(change -> change.getValue().bytes()))
        .map(Map.Entry::getKey)
        .orElse("");
  }

  /** Keys that the write puts or deletes. */
  public java.util.Set<String> keys() {
    return changes.keySet();
  }

  public int conditionCount() {
    return conditions.size();
  }

  public int writeCount() {
    return changes.size();
  }

  ObjectNode toJson() {
    ObjectNode json = Json.object();
    ArrayNode conditionList = json.putArray("when");
    conditions.forEach(
        (key, stamp) -> conditionList.addObject().put("key", key).put("stamp", stamp));
    ArrayNode changeList = json.putArray("then");
    changes.forEach(
        (key, change) -> {
          if (change.value() == null) {
            changeList.addObject().put("delete", key);
          } else {
            ObjectNode put = changeList.addObject().put("write", key);
            put.set("value", change.value());
            if (change.leaseId() != 0) {
              put.put("hold", change.leaseId());
            }
          }
        });
    return json;
  }
}
