import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the cloud, by the protocol's page, with one machine type. */
final class Cloud {
  private static final class Machine {
    String zone;
    boolean spot;
    long rentedAt;
    boolean up;
  }

  private final Rig rig;
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, Map<String, Object>> bookings = new HashMap<>();

  /** The list as it was at earlier times, oldest first: it lags. */
  private final List<Object[]> lists = new ArrayList<>();

  /** Number in the name of the machine that was created last. */
  int created;

  /** The most machines that exist at once. */
  int capacity = 28;

  Cloud(Rig rig) {
    this.rig = rig;
    rig.clock.scheduleAtFixedRate(this::publish, 0, 1000, java.util.concurrent.TimeUnit.MILLISECONDS);
  }

  private void publish() {
    synchronized (rig) {
      List<Object> list = new ArrayList<>();
      machines.forEach(
          (name, m) ->
              list.add(
                  Json.of(
                      "id", name,
                      "address", rig.workers.containsKey(name) ? rig.workers.get(name).address : "",
                      "build", rig.site.type,
                      "yard", m.zone,
                      "loaners", m.spot,
                      "status", m.up ? "running" : "booting",
                      "heldS", (rig.now() - m.rentedAt) / 1000.0)));
      lists.add(new Object[] {rig.now(), list});
      while (lists.size() > 1 && (Long) lists.get(1)[0] < rig.now() - rig.site.listLagS * 1000) {
        lists.remove(0);
      }
    }
  }

  /** Adds a machine that comes up after the given time. */
  String add(String zone, boolean spot, long bootMs) {
    synchronized (rig) {
      String name = String.format("n-%06d", ++created);
      Machine machine = new Machine();
      machine.zone = zone;
      machine.spot = spot;
      machine.rentedAt = rig.now();
      machines.put(name, machine);
      rig.after(
          bootMs,
          () -> {
            if (machines.containsKey(name)) {
              machine.up = true;
              Worker worker = new Worker(rig, name, zone, spot);
              rig.workers.put(name, worker);
              worker.start();
              rig.note("machine " + name + " is up");
            }
          });
      return name;
    }
  }

  /** The machine and everything on it are gone. */
  void remove(String name) {
    if (machines.remove(name) != null) {
      Worker worker = rig.workers.remove(name);
      if (worker != null) {
        worker.remove();
      }
      rig.note("machine " + name + " is gone");
    }
  }

  void handle(String method, String target, byte[] body, Rig.Reply reply) {
    synchronized (rig) {
      Map<String, Object> request = Json.object(body);
      if (target.equals("/machine_types")) {
        Rig.Site s = rig.site;
        Map<String, Object> type =
            Json.of("name", s.type, "cores", s.typeCpus, "accelerators", 0.0);
        type.putAll(Json.of("memoryGb", s.typeMemoryGb, "localGb", 80.0, "pullGbPerS", s.fetchGbPerS));
        type.putAll(Json.of("price", s.price, "spotPrice", s.spotPrice, "readyS", s.bootS));
        type.put("yards", s.zones);
        reply.send(200, Json.of("builds", List.of(type)));
      } else if (target.equals("/machines/return")) {
        Json.list(request, "hosts").forEach(h -> remove((String) h));
        reply.send(200, Json.of());
      } else if (method.equals("POST")) {
        rent(request, reply);
      } else {
        int at = target.indexOf("after=");
        String after = at < 0 ? "" : target.substring(at + 6).split("&")[0];
        List<Object> hosts = new ArrayList<>();
        for (Object o : (List<?>) lists.get(0)[1]) {
          if (Json.string(Json.cast(o), "id").compareTo(after) > 0 && hosts.size() < 500) {
            hosts.add(o);
          }
        }
        reply.send(200, Json.of("hosts", hosts, "more", false));
      }
    }
  }

  private void rent(Map<String, Object> request, Rig.Reply reply) {
    String booking = Json.string(request, "booking");
    if (!bookings.containsKey(booking)) {
      int count = (int) Math.min(Json.number(request, "count", 1), capacity - machines.size());
      if (count <= 0) {
        reply.send(503, Json.of("error", "no capacity"));
        return;
      }
      List<Object> hosts = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        hosts.add(
            add(
                Json.string(request, "yard"),
                Json.flag(request, "loaners"),
                (long) (rig.site.bootS * 1000)));
      }
      bookings.put(booking, Json.of("hosts", hosts));
    }
    reply.send(200, bookings.get(booking));
  }
}
