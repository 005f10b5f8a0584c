package org.baygw.control.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
import org.baygw.control.core.TokenBucket;
import org.baygw.control.model.MachineType;

/** Client of the cloud. Calls wait for tokens: returns first, then rentals, then readings. */
public final class Cloud {
  /** A machine as the cloud lists it, a while ago. */
  public record Listed(
      String name, String type, String zone, boolean spot, String status, double ageS) {}

  /** Answer to a rental. */
  public enum Rented {
    OK,
    NO_CAPACITY,
    /** Not carried out, or not known to be. */
    FAILED
  }

  /** Gets the answer to a rental. */
  public interface RentCallback {
    void done(Rented outcome, List<String> hosts);
  }

  private record Waiting(String method, String path, byte[] body, Outbox.Callback then) {}

  private static final int RETURN = 0;
  private static final int RENT = 1;
  private static final int READ = 2;

  private final Clock clock;
  private final Outbox out;
  private final String addr;
  private final TokenBucket bucket;
  private final List<Deque<Waiting>> queues = new ArrayList<>();

  public Cloud(Clock clock, Outbox out, Settings s) {
    this.clock = clock;
    this.out = out;
    this.addr = s.cloudAddr();
    // Only the leader calls the cloud often; a little is left for a former leader's last calls, and
    // for
    // owners that return a machine with a cancelled task.
    this.bucket = new TokenBucket(s.cloud().rps() * 0.9, s.cloud().rps());
    for (int i = 0; i <= READ; i++) {
      queues.add(new ArrayDeque<>());
    }
  }

  public void tick() {
    for (Deque<Waiting> q : queues) {
      while (!q.isEmpty()) {
        if (!bucket.take(clock.now(), 1)) {
          return;
        }
        Waiting w = q.poll();
        out.call(
            addr,
            w.method,
            w.path,
            w.body,
            Constants.CLOUD_TIMEOUT_MS,
            (status, body) -> {
              if (status == 429) {
                bucket.rest(clock.now(), Constants.CLOUD_RETRY_MS);
              }
              w.then.done(status, body);
            });
      }
    }
  }

  private void request(int queue, String method, String path, JsonNode body, Outbox.Callback then) {
    queues.get(queue).add(new Waiting(method, path, body == null ? null : Json.bytes(body), then));
    tick();
  }

  /** Reads the types; null where they could not be had. */
  public void types(Consumer<List<MachineType>> then) {
    request(
        READ,
        "GET",
        "/machine_types",
        null,
        (status, body) -> {
          JsonNode builds = status == 200 ? Json.parse(body).path("builds") : null;
          if (builds == null || !builds.isArray()) {
            then.accept(null);
            return;
          }
          List<MachineType> types = new ArrayList<>();
          for (JsonNode b : builds) {
            List<String> zones = new ArrayList<>();
            b.path("yards").forEach(z -> zones.add(z.asText()));
            types.add(
                new MachineType(
                    b.path("name").asText(),
                    b.path("cores").asDouble(),
                    b.path("accelerators").asDouble(),
                    b.path("memoryGb").asDouble(),
                    b.path("localGb").asDouble(),
                    b.path("pullGbPerS").asDouble(),
                    b.path("price").asDouble(),
                    b.path("spotPrice").asDouble(),
                    b.path("readyS").asDouble(),
                    List.copyOf(zones)));
          }
          then.accept(types);
        });
  }

  /** Reads the whole list; null where it could not be had. */
  public void list(Consumer<List<Listed>> then) {
    page("", new ArrayList<>(), then);
  }

  private void page(String after, List<Listed> sofar, Consumer<List<Listed>> then) {
    request(
        READ,
        "GET",
        "/machines?page=500" + (after.isEmpty() ? "" : "&after=" + after),
        null,
        (status, body) -> {
          JsonNode n = Json.parse(body);
          if (status != 200 || !n.path("hosts").isArray()) {
            then.accept(null);
            return;
          }
          String last = after;
          for (JsonNode h : n.path("hosts")) {
            last = h.path("id").asText();
            sofar.add(
                new Listed(
                    last,
                    h.path("build").asText(),
                    h.path("yard").asText(),
                    h.path("loaners").asBoolean(),
                    h.path("status").asText(),
                    h.path("heldS").asDouble()));
          }
          if (n.path("more").asBoolean() && !last.equals(after)) {
            page(last, sofar, then);
          } else {
            then.accept(sofar);
          }
        });
  }

  public void rent(
      String booking, String type, String zone, boolean spot, int count, RentCallback then) {
    ObjectNode n = Json.object().put("booking", booking).put("build", type).put("yard", zone);
    n.put("loaners", spot).put("count", count);
    request(
        RENT,
        "POST",
        "/machines",
        n,
        (status, body) -> {
          JsonNode a = Json.parse(body);
          List<String> hosts = new ArrayList<>();
          if (status == 200) {
            a.path("hosts").forEach(h -> hosts.add(h.asText()));
            then.done(Rented.OK, hosts);
          } else if (status == 503 && a.path("error").asText().equals("no capacity")) {
            then.done(Rented.NO_CAPACITY, hosts);
          } else {
            then.done(Rented.FAILED, hosts);
          }
        });
  }

  /** Gives machines back; true once they and all that was on them are gone. */
  public void returnMachines(Collection<String> names, Consumer<Boolean> then) {
    ObjectNode n = Json.object();
    ArrayNode a = n.putArray("hosts");
    names.forEach(a::add);
    request(RETURN, "POST", "/machines/return", n, (status, body) -> then.accept(status == 200));
  }
}
