package org.baygw.control.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baygw.control.core.Json;

/**
 * Converts records to and from their JSON form in the state service. Reading throws
 * IllegalArgumentException if a record is malformed.
 */
public final class Records {
  public static ObjectNode job(Job j) {
    JobSpec s = j.spec();
    ObjectNode n = Json.object();
    n.put("state", j.state().name()).put("accepted_ms", j.acceptedMs());
    if (j.state() == Job.State.CANCELLED) {
      n.put("cancelled_ms", j.cancelledMs());
    }
    ObjectNode o = n.putObject("spec");
    o.put("class", s.jobClass()).put("team", s.team()).put("service", s.service());
    o.put("priority", s.priority().name()).put("tasks", s.tasks());
    o.put("cpus", s.cpus()).put("gpus", s.gpus()).put("memory_gb", s.memoryGb());
    o.put("image", s.image()).put("image_gb", s.imageGb());
    if (!s.types().isEmpty()) {
      ArrayNode t = o.putArray("types");
      s.types().forEach(t::add);
    }
    if (s.zone() != null) {
      o.put("zone", s.zone());
    }
    o.put("one_zone", s.oneZone()).put("spread", s.spread()).put("spot", s.spot());
    o.put("estimate_s", s.estimateS());
    o.put("checkpoint_s", s.checkpointS()).put("save_s", s.saveS());
    if (s.deadlineS() != null) {
      o.put("deadline_s", s.deadlineS());
    }
    return n;
  }

  public static Job job(String id, JsonNode n) {
    JsonNode o = object(n.path("spec"));
    List<String> types = new ArrayList<>();
    o.path("types").forEach(t -> types.add(t.asText()));
    JobSpec spec =
        new JobSpec(
            id,
            o.path("class").asText(),
            o.path("team").asText(),
            o.path("service").asBoolean(),
            JobSpec.Priority.valueOf(o.path("priority").asText()),
            o.path("tasks").asInt(),
            o.path("cpus").asDouble(),
            o.path("gpus").asDouble(),
            o.path("memory_gb").asDouble(),
            o.path("image").asText(),
            o.path("image_gb").asDouble(),
            List.copyOf(types),
            o.path("zone").isTextual() ? o.path("zone").asText() : null,
            o.path("one_zone").asBoolean(),
            o.path("spread").asBoolean(),
            o.path("spot").asBoolean(),
            o.path("estimate_s").asDouble(),
            o.path("checkpoint_s").asDouble(),
            o.path("save_s").asDouble(),
            o.path("deadline_s").isNumber() ? o.path("deadline_s").asDouble() : null);
    return new Job(
        spec,
        Job.State.valueOf(n.path("state").asText()),
        n.path("accepted_ms").asLong(),
        n.path("cancelled_ms").asLong());
  }

  public static ObjectNode progress(Progress p) {
    ObjectNode n = Json.object();
    n.put("done", Base64.getEncoder().encodeToString(p.done.toByteArray()));
    ArrayNode live = n.putArray("live");
    p.live.forEach(
        (i, l) -> {
          ArrayNode a = live.addArray().add(i).add(l.attempt()).add(l.partition().toString());
          if (l.stopRequested()) {
            a.add(true);
          }
        });
    ArrayNode tried = n.putArray("tried");
    p.lastAttempts.forEach((i, a) -> tried.addArray().add(i).add(a));
    return n;
  }

  public static Progress progress(JsonNode n) {
    Progress p = new Progress();
    p.done.or(BitSet.valueOf(Base64.getDecoder().decode(n.path("done").asText(""))));
    for (JsonNode l : n.path("live")) {
      p.live.put(
          l.path(0).asInt(),
          new Progress.LiveTask(
              l.path(1).asInt(), Partition.parse(l.path(2).asText()), l.path(3).asBoolean()));
    }
    for (JsonNode t : n.path("tried")) {
      p.lastAttempts.put(t.path(0).asInt(), t.path(1).asInt());
    }
    return p;
  }

  /** A machine's own record; its tasks and condition are in its partition's record. */
  public static ObjectNode machine(Machine m) {
    return Json.object()
        .put("type", m.type())
        .put("zone", m.zone())
        .put("spot", m.spot())
        .put("addr", m.addr());
  }

  public static Machine machine(String name, JsonNode n, int partitionsPerZone) {
    String zone = object(n).path("zone").asText();
    return new Machine(
        name,
        n.path("type").asText(),
        zone,
        n.path("spot").asBoolean(),
        n.path("addr").asText(),
        Machine.Condition.OK,
        Map.of(),
        List.of(),
        Partition.of(name, zone, partitionsPerZone));
  }

  public static ObjectNode partitionRecord(PartitionRecord r) {
    ObjectNode n = Json.object();
    if (r.pageCount() > 1) {
      n.put("pages", r.pageCount());
    }
    texts(n.putObject("on"), r.tasksByMachine());
    texts(n.putObject("conditions"), r.conditionsByMachine());
    texts(n.putObject("done"), r.completedByJob());
    texts(n.putObject("back"), r.requeuedByJob());
    return n;
  }

  private static void texts(ObjectNode n, Map<String, String> m) {
    m.forEach(n::put);
  }

  public static PartitionRecord partitionRecord(JsonNode n) {
    object(n);
    return new PartitionRecord(
        n.path("pages").asInt(1),
        texts(n.path("on")),
        texts(n.path("conditions")),
        texts(n.path("done")),
        texts(n.path("back")));
  }

  private static Map<String, String> texts(JsonNode n) {
    Map<String, String> out = new LinkedHashMap<>();
    n.fields().forEachRemaining(e -> out.put(e.getKey(), e.getValue().asText()));
    return out;
  }

  public static ObjectNode rental(Rental r) {
    return Json.object()
        .put("type", r.type())
        .put("zone", r.zone())
        .put("spot", r.spot())
        .put("count", r.count());
  }

  public static Rental rental(JsonNode n) {
    return new Rental(
        n.path("type").asText(),
        n.path("zone").asText(),
        n.path("spot").asBoolean(),
        n.path("count").asInt());
  }

  public static ObjectNode types(List<MachineType> types) {
    ObjectNode n = Json.object();
    ArrayNode a = n.putArray("types");
    for (MachineType t : types) {
      ObjectNode o = a.addObject();
      o.put("name", t.name()).put("cpus", t.cpus()).put("gpus", t.gpus());
      o.put("memory_gb", t.memoryGb()).put("cache_gb", t.cacheGb());
      o.put("fetch_gb_per_s", t.fetchGbPerS());
      o.put("price", t.price()).put("spot_price", t.spotPrice()).put("boot_s", t.bootS());
      ArrayNode z = o.putArray("zones");
      t.zones().forEach(z::add);
    }
    return n;
  }

  public static List<MachineType> types(JsonNode n) {
    List<MachineType> out = new ArrayList<>();
    for (JsonNode o : n.path("types")) {
      List<String> zones = new ArrayList<>();
      o.path("zones").forEach(z -> zones.add(z.asText()));
      out.add(
          new MachineType(
              o.path("name").asText(),
              o.path("cpus").asDouble(),
              o.path("gpus").asDouble(),
              o.path("memory_gb").asDouble(),
              o.path("cache_gb").asDouble(),
              o.path("fetch_gb_per_s").asDouble(),
              o.path("price").asDouble(),
              o.path("spot_price").asDouble(),
              o.path("boot_s").asDouble(),
              List.copyOf(zones)));
    }
    return out;
  }

  private static JsonNode object(JsonNode n) {
    if (!n.isObject()) {
      throw new IllegalArgumentException("not a JSON object");
    }
    return n;
  }

  private Records() {}
}
