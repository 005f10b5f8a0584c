package org.baygw.control.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.baygw.control.core.Json;

/** A conditional write under construction. */
public final class Txn {
  /** A put, attached to a lease unless the lease is 0, or a delete if the value is null. */
  record Change(JsonNode value, long leaseId) {}

  private final Map<String, Long> conditions = new LinkedHashMap<>();
  final Map<String, Change> changes = new LinkedHashMap<>();

  /** Adds a condition: the key has this stamp, or does not exist if the stamp is 0. */
  public Txn when(String key, long stamp) {
    conditions.put(key, stamp);
    return this;
  }

  public Txn put(String key, JsonNode value) {
    changes.put(key, new Change(value, 0));
    return this;
  }

  public Txn put(String key, JsonNode value, long leaseId) {
    changes.put(key, new Change(value, leaseId));
    return this;
  }

  public Txn delete(String key) {
    changes.put(key, new Change(null, 0));
    return this;
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
