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
  record Change(JsonNode value, long hold) {}

  private final Map<String, Long> conditions = new LinkedHashMap<>();
  final Map<String, Change> changes = new LinkedHashMap<>();

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
    ObjectNode n = Json.object();
    ArrayNode w = n.putArray("when");
    conditions.forEach((k, s) -> w.addObject().put("key", k).put("stamp", s));
    ArrayNode t = n.putArray("then");
    changes.forEach(
        (k, c) -> {
          if (c.value() == null) {
            t.addObject().put("delete", k);
          } else {
            ObjectNode o = t.addObject().put("write", k);
            o.set("value", c.value());
            if (c.hold() != 0) {
              o.put("hold", c.hold());
            }
          }
        });
    return n;
  }
}
