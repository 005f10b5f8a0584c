package org.baygw.control.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.baygw.control.core.Json;

/** Simulates the cloud by its protocol, with one machine type of 16 CPUs and 64 GB. */
final class CloudStub {
  static final String TYPE = "c16";
  private static final int MAX_LISTED = 500;
  private static final int MAX_RENTED = 50;
  private static final int MAX_RETURNED = 100;

  private static final class RentedMachine {
    String zone;
    boolean spot;
    long rentedAt;
    boolean up;
    boolean neverBoots;
  }

  private final SimulatedCluster cluster;
  private final TreeMap<String, RentedMachine> machines = new TreeMap<>();
  private final TreeMap<String, JsonNode> listed = new TreeMap<>();
  private final Map<String, JsonNode> bookings = new HashMap<>();
  private long outageUntil;
  private int machinesCreated;
  private int neverBootsLeft;
  private int slowBootsLeft;
  private long slowFactor;
  int capacity = 40;

  /** Maximum number of spot machines within the capacity. */
  int spotCapacity = Integer.MAX_VALUE;

  long bootMs = 8_000;
  int rentals;

  /** Description of the first request over a limit of the protocol, or null. */
  String firstLimitViolation;

  CloudStub(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void outage(long ms) {
    outageUntil = cluster.now() + ms;
  }

  void nextNeverBoots(int count) {
    neverBootsLeft = count;
  }

  /** The next {@code count} rented machines take {@code factor} times as long to boot. */
  void nextBootSlowly(int count, long factor) {
    slowBootsLeft = count;
    slowFactor = factor;
  }

  int size() {
    return machines.size();
  }

  /** The next machine gets this number in its name, on which its partition depends. */
  void nextNumber(int number) {
    machinesCreated = number - 1;
  }

  String add(String zone, boolean spot, long bootDelayMs) {
    String name = String.format("n-%06d", ++machinesCreated);
    RentedMachine machine = new RentedMachine();
    machine.zone = zone;
    machine.spot = spot;
    machine.rentedAt = cluster.now();
    machine.neverBoots = neverBootsLeft > 0 && neverBootsLeft-- > 0;
    machines.put(name, machine);
    cluster.after(1_500 + cluster.random.nextInt(1_500), () -> publish(name));
    if (!machine.neverBoots) {
      cluster.after(
          bootDelayMs,
          () -> {
            if (machines.containsKey(name)) {
              machine.up = true;
              WorkerStub worker = new WorkerStub(cluster, name, zone, spot);
              cluster.workers.put(name, worker);
              worker.start();
            }
          });
    }
    return name;
  }

  private void publish(String name) {
    RentedMachine machine = machines.get(name);
    if (machine == null) {
      listed.remove(name);
      return;
    }
    ObjectNode description =
        Json.object().put("id", name).put("address", cluster.address(name)).put("build", TYPE);
    description
        .put("yard", machine.zone)
        .put("loaners", machine.spot)
        .put("status", machine.up ? "running" : "booting");
    listed.put(name, description.put("heldS", (cluster.now() - machine.rentedAt) / 1000.0));
    cluster.after(1_000, () -> publish(name));
  }

  /** Removes a machine: the cloud reclaims it, or it dies. */
  void remove(String name) {
    machines.remove(name);
    WorkerStub worker = cluster.workers.remove(name);
    if (worker != null) {
      worker.remove();
    }
  }

  void handle(
      String method, String path, JsonNode request, StateServiceStub.ResponseCallback respond) {
    if (request.path("hosts").size() > MAX_RETURNED || request.path("count").asInt() > MAX_RENTED) {
      firstLimitViolation = "too many machines at once: " + path;
      respond.done(400, Json.bytes(Json.object()));
      return;
    }
    if (cluster.now() < outageUntil) {
      respond.done(503, Json.bytes(Json.object().put("error", "trouble")));
    } else if (path.equals("/machine_types")) {
      respond.done(200, types());
    } else if (path.equals("/machines/return")) {
      for (JsonNode host : request.path("hosts")) {
        remove(host.asText());
      }
      respond.done(200, Json.bytes(Json.object()));
    } else if (method.equals("POST")) {
      rent(request, respond);
    } else {
      list(path, respond);
    }
  }

  /** Answers a page of the list: the machines after the one that the request names, by name. */
  private void list(String path, StateServiceStub.ResponseCallback respond) {
    int at = path.indexOf("after=");
    String after = at < 0 ? "" : path.substring(at + "after=".length()).split("&")[0];
    ObjectNode out = Json.object();
    ArrayNode hosts = out.putArray("hosts");
    Iterator<JsonNode> rest = listed.tailMap(after, false).values().iterator();
    while (rest.hasNext() && hosts.size() < MAX_LISTED) {
      hosts.add(rest.next());
    }
    respond.done(200, Json.bytes(out.put("more", rest.hasNext())));
  }

  private void rent(JsonNode request, StateServiceStub.ResponseCallback respond) {
    String booking = request.path("booking").asText();
    if (!bookings.containsKey(booking)) {
      List<String> names = new ArrayList<>();
      boolean spot = request.path("loaners").asBoolean();
      int free = capacity - machines.size();
      long freeSpot = spotCapacity - machines.values().stream().filter(r -> r.spot).count();
      int count =
          (int) Math.min(request.path("count").asInt(), spot ? Math.min(free, freeSpot) : free);
      if (count <= 0) {
        respond.done(503, Json.bytes(Json.object().put("error", "no capacity")));
        return;
      }
      for (int i = 0; i < count; i++) {
        names.add(add(request.path("yard").asText(), spot, nextBootMs()));
        rentals++;
      }
      ObjectNode out = Json.object();
      ArrayNode hosts = out.putArray("hosts");
      names.forEach(hosts::add);
      bookings.put(booking, out);
    }
    respond.done(200, Json.bytes(bookings.get(booking)));
  }

  private long nextBootMs() {
    return slowBootsLeft-- > 0 ? bootMs * slowFactor : bootMs;
  }

  private byte[] types() {
    ObjectNode out = Json.object();
    ObjectNode type = out.putArray("builds").addObject();
    type.put("name", TYPE).put("cores", 16).put("accelerators", 0).put("memoryGb", 64);
    type.put("localGb", 80).put("pullGbPerS", 1.0).put("price", 0.6).put("spotPrice", 0.2);
    type.put("readyS", bootMs / 1000.0);
    ArrayNode yards = type.putArray("yards");
    cluster.zones.forEach(yards::add);
    return Json.bytes(out);
  }
}
