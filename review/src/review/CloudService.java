package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the cloud by the published protocol, with one machine type. */
final class CloudService {
  private static final class Host {
    String zone;
    boolean spot;
    long rentedAt;
    long upAt;
    long goneAt = Long.MAX_VALUE;
    long stoppedAt = Long.MAX_VALUE;
    Worker worker;
  }

  /** Chooses the name of the next machine. */
  interface Names {
    String next(int number);
  }

  /** A machine that has stopped by itself keeps being listed as running for about this long. */
  private static final long LISTED_AS_RUNNING_MS = 30_000;

  private final Rig rig;
  private final TreeMap<String, Host> hosts = new TreeMap<>();
  private final Map<String, Object> bookings = new HashMap<>();
  private int created;
  private double tokens;
  private long tokensAt;

  int capacity = 28;
  long bootMs = 2_000;
  Names names = number -> String.format("n-%06d", number);

  CloudService(Rig rig) {
    this.rig = rig;
    this.tokens = 2 * rig.cloudRps;
  }

  Worker worker(String host) {
    Host found = hosts.get(host);
    return found == null ? null : found.worker;
  }

  List<Worker> workers() {
    List<Worker> found = new ArrayList<>();
    hosts.values().stream().filter(h -> h.worker != null).forEach(h -> found.add(h.worker));
    return found;
  }

  String add(String zone, boolean spot, long upInMs) {
    String name = names.next(++created);
    Host host = new Host();
    host.zone = zone;
    host.spot = spot;
    host.rentedAt = rig.now();
    host.upAt = rig.now() + upInMs;
    hosts.put(name, host);
    rig.after(
        upInMs,
        () -> {
          if (host.goneAt == Long.MAX_VALUE) {
            rig.log("cloud: %s (%s%s) is up", name, zone, spot ? ", spot" : "");
            host.worker = new Worker(rig, name, zone, spot);
          }
        });
    return name;
  }

  /** The machine stops by itself with all that is on it; it is listed as running for 30 s more. */
  void stop(String name) {
    Host host = hosts.get(name);
    host.stoppedAt = rig.now();
    host.worker.die();
    host.worker = null;
  }

  private void remove(String name) {
    Host host = hosts.get(name);
    if (host != null && host.goneAt == Long.MAX_VALUE) {
      host.goneAt = rig.now();
      rig.log("cloud: %s is returned", name);
      if (host.worker != null) {
        host.worker.die();
        host.worker = null;
      }
    }
  }

  private long usedCapacity() {
    return hosts.values().stream().filter(h -> h.goneAt == Long.MAX_VALUE).count();
  }

  void handle(String from, String method, String uri, byte[] body, Rig.Reply reply) {
    tokens = Math.min(2 * rig.cloudRps, tokens + (rig.now() - tokensAt) * rig.cloudRps / 1000);
    tokensAt = rig.now();
    if (tokens < 1) {
      reply.send(429, Json.object("error", "too many requests"));
      return;
    }
    tokens--;
    Map<String, Object> request = Json.map(body.length == 0 ? Map.of() : Json.parse(body));
    if (uri.equals("/machine_types")) {
      reply.send(
          200,
          Json.object(
              "builds",
              List.of(
                  Json.object(
                      "name", rig.machineType, "cores", 16.0, "accelerators", 0.0, "memoryGb",
                      rig.machineMemoryGb, "localGb", 80.0, "pullGbPerS", 1.0, "price", rig.price,
                      "spotPrice", rig.spotPrice, "readyS", rig.readyS, "yards", rig.zones))));
    } else if (uri.equals("/machines/return")) {
      List<Object> names = Json.list(request.get("hosts"));
      if (names.size() > 100) {
        reply.send(400, Json.object("error", "too many"));
        return;
      }
      names.forEach(name -> remove((String) name));
      reply.send(200, Json.object());
    } else if (method.equals("POST")) {
      rent(request, reply);
    } else {
      list(uri, reply);
    }
  }

  private void rent(Map<String, Object> request, Rig.Reply reply) {
    String booking = (String) request.get("booking");
    if (!bookings.containsKey(booking)) {
      long count = Math.min(Json.number(request.get("count")), capacity - usedCapacity());
      if (count <= 0) {
        reply.send(503, Json.object("error", "no capacity"));
        return;
      }
      List<Object> rented = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        rented.add(
            add((String) request.get("yard"), Boolean.TRUE.equals(request.get("loaners")), bootMs));
      }
      rig.log("cloud: booking %s rents %s", booking, rented);
      bookings.put(booking, Json.object("hosts", rented));
    }
    reply.send(200, bookings.get(booking));
  }

  private void list(String uri, Rig.Reply reply) {
    int at = uri.indexOf("after=");
    String after = at < 0 ? "" : uri.substring(at + "after=".length()).split("&")[0];
    long seenAt = rig.now() - (long) (rig.listLagS * 1000);
    List<Object> listed = new ArrayList<>();
    boolean more = false;
    for (Map.Entry<String, Host> entry : hosts.tailMap(after, false).entrySet()) {
      Host host = entry.getValue();
      if (host.rentedAt > seenAt || host.goneAt <= seenAt) {
        continue;
      }
      if (listed.size() == 500) {
        more = true;
        break;
      }
      listed.add(
          Json.object(
              "id", entry.getKey(), "address", "127.0.0.1:1", "build", rig.machineType, "yard",
              host.zone, "loaners", host.spot, "status",
              host.stoppedAt <= seenAt - LISTED_AS_RUNNING_MS
                  ? "failed"
                  : host.upAt <= seenAt ? "running" : "booting", "heldS",
              (seenAt - host.rentedAt) / 1000.0));
    }
    reply.send(200, Json.object("hosts", listed, "more", more));
  }
}
