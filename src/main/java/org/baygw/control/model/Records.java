package org.baygw.control.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baygw.control.core.Json;

/**
 * Converts records to and from their JSON form in the state service. Reading throws
 * IllegalArgumentException if a record is malformed.
 */
public final class Records {
  public static ObjectNode job(Job job) {
    JobSpec spec = job.spec();
    ObjectNode node = Json.object();
    node.put("state", job.state().name()).put("accepted_ms", job.acceptedMs());
    if (job.state() == Job.State.CANCELLED) {
      node.put("cancelled_ms", job.cancelledMs());
    }
    ObjectNode specNode = node.putObject("spec");
    specNode.put("class", spec.jobClass()).put("team", spec.team()).put("service", spec.service());
    specNode.put("priority", spec.priority().name()).put("tasks", spec.tasks());
    specNode.put("cpus", spec.cpus()).put("gpus", spec.gpus()).put("memory_gb", spec.memoryGb());
    specNode.put("image", spec.image()).put("image_gb", spec.imageGb());
    if (!spec.types().isEmpty()) {
      ArrayNode t = specNode.putArray("types");
      spec.types().forEach(t::add);
    }
    if (spec.zone() != null) {
      specNode.put("zone", spec.zone());
    }
    specNode.put("one_zone", spec.oneZone()).put("spread", spec.spread()).put("spot", spec.spot());
    specNode.put("estimate_s", spec.estimateS());
    specNode.put("checkpoint_s", spec.checkpointS()).put("save_s", spec.saveS());
    if (spec.deadlineS() != null) {
      specNode.put("deadline_s", spec.deadlineS());
    }
    return node;
  }

  public static Job job(String id, JsonNode node) {
    JsonNode specNode = object(node.path("spec"));
    List<String> types = new ArrayList<>();
    specNode.path("types").forEach(t -> types.add(t.asText()));
    JobSpec spec =
        new JobSpec(
            id,
            specNode.path("class").asText(),
            specNode.path("team").asText(),
            specNode.path("service").asBoolean(),
            JobSpec.Priority.valueOf(specNode.path("priority").asText()),
            specNode.path("tasks").asInt(),
            specNode.path("cpus").asDouble(),
            specNode.path("gpus").asDouble(),
            specNode.path("memory_gb").asDouble(),
            specNode.path("image").asText(),
            specNode.path("image_gb").asDouble(),
            List.copyOf(types),
            specNode.path("zone").isTextual() ? specNode.path("zone").asText() : null,
            specNode.path("one_zone").asBoolean(),
            specNode.path("spread").asBoolean(),
            specNode.path("spot").asBoolean(),
            specNode.path("estimate_s").asDouble(),
            specNode.path("checkpoint_s").asDouble(),
            specNode.path("save_s").asDouble(),
            specNode.path("deadline_s").isNumber() ? specNode.path("deadline_s").asDouble() : null);
    return new Job(
        spec,
        Job.State.valueOf(node.path("state").asText()),
        node.path("accepted_ms").asLong(),
        node.path("cancelled_ms").asLong());
  }

  /** A machine's own record; its tasks and condition are in its partition's record. */
  public static ObjectNode machine(Machine machine) {
    return Json.object()
        .put("type", machine.type())
        .put("zone", machine.zone())
        .put("spot", machine.spot())
        .put("addr", machine.addr());
  }

  public static Machine machine(String name, JsonNode node, int partitionsPerZone) {
    String zone = object(node).path("zone").asText();
    return new Machine(
        name,
        node.path("type").asText(),
        zone,
        node.path("spot").asBoolean(),
        node.path("addr").asText(),
        Machine.Condition.OK,
        Map.of(),
        List.of(),
        Partition.of(name, zone, partitionsPerZone));
  }

  public static ObjectNode partitionRecord(PartitionRecord record) {
    ObjectNode node = Json.object();
    if (record.pageCount() > 1) {
      node.put("pages", record.pageCount());
    }
    stringMap(node.putObject("on"), record.tasksByMachine());
    stringMap(node.putObject("conditions"), record.conditionsByMachine());
    stringMap(node.putObject("done"), record.completedByJob());
    stringMap(node.putObject("back"), record.requeuedByJob());
    return node;
  }

  private static void stringMap(ObjectNode node, Map<String, String> strings) {
    strings.forEach(node::put);
  }

  public static PartitionRecord partitionRecord(JsonNode node) {
    object(node);
    return new PartitionRecord(
        node.path("pages").asInt(1),
        stringMap(node.path("on")),
        stringMap(node.path("conditions")),
        stringMap(node.path("done")),
        stringMap(node.path("back")));
  }

  private static Map<String, String> stringMap(JsonNode node) {
    Map<String, String> strings = new LinkedHashMap<>();
    node.fields().forEachRemaining(e -> strings.put(e.getKey(), e.getValue().asText()));
    return strings;
  }

  public static ObjectNode rental(Rental rental) {
    return Json.object()
        .put("type", rental.type())
        .put("zone", rental.zone())
        .put("spot", rental.spot())
        .put("count", rental.count());
  }

  public static Rental rental(JsonNode node) {
    return new Rental(
        node.path("type").asText(),
        node.path("zone").asText(),
        node.path("spot").asBoolean(),
        node.path("count").asInt());
  }

  public static ObjectNode types(List<MachineType> types) {
    ObjectNode node = Json.object();
    ArrayNode array = node.putArray("types");
    for (MachineType type : types) {
      ObjectNode typeNode = array.addObject();
      typeNode.put("name", type.name()).put("cpus", type.cpus()).put("gpus", type.gpus());
      typeNode.put("memory_gb", type.memoryGb()).put("cache_gb", type.cacheGb());
      typeNode.put("fetch_gb_per_s", type.fetchGbPerS());
      typeNode
          .put("price", type.price())
          .put("spot_price", type.spotPrice())
          .put("boot_s", type.bootS());
      ArrayNode z = typeNode.putArray("zones");
      type.zones().forEach(z::add);
    }
    return node;
  }

  public static List<MachineType> types(JsonNode node) {
    List<MachineType> types = new ArrayList<>();
    for (JsonNode typeNode : node.path("types")) {
      List<String> zones = new ArrayList<>();
      typeNode.path("zones").forEach(z -> zones.add(z.asText()));
      types.add(
          new MachineType(
              typeNode.path("name").asText(),
              typeNode.path("cpus").asDouble(),
              typeNode.path("gpus").asDouble(),
              typeNode.path("memory_gb").asDouble(),
              typeNode.path("cache_gb").asDouble(),
              typeNode.path("fetch_gb_per_s").asDouble(),
              typeNode.path("price").asDouble(),
              typeNode.path("spot_price").asDouble(),
              typeNode.path("boot_s").asDouble(),
              List.copyOf(zones)));
    }
    return types;
  }

  private static JsonNode object(JsonNode node) {
    if (!node.isObject()) {
      throw new IllegalArgumentException("not a JSON object");
    }
    return node;
  }

  private Records() {}
}
