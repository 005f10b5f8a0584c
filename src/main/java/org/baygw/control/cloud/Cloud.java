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

/**
 * Client of the cloud's API. Calls are rate-limited and queued by priority: returns first, then
 * rentals, then reads.
 */
public final class Cloud {
  /**
   * A machine as it appears in the cloud's list, which lags.
   *
   * @param ageS seconds since the machine was requested
   */
  public record ListedMachine(
      String name, String type, String zone, boolean spot, String status, double ageS) {}

  /** Outcome of a rental request. */
  public enum RentOutcome {
    OK,
    NO_CAPACITY,
    /** The rental was not carried out, or it is unknown whether it was. */
    FAILED
  }

  /** Receives the outcome of a rental request. */
  public interface RentCallback {
    /**
     * @param hosts names of the rented machines, possibly fewer than requested; empty unless the
     *     outcome is OK
     */
    void done(RentOutcome outcome, List<String> hosts);
  }

  private record QueuedRequest(String method, String path, byte[] body, Outbox.Callback callback) {}

  private static final int RETURN = 0;
  private static final int RENT = 1;
  private static final int READ = 2;

  private final Clock clock;
  private final Outbox outbox;
  private final String addr;
  private final TokenBucket bucket;
  private final List<Deque<QueuedRequest>> queues = new ArrayList<>();

  public Cloud(Clock clock, Outbox outbox, Settings settings) {
    this.clock = clock;
    this.outbox = outbox;
    this.addr = settings.cloudAddr();
    // Only the leader calls the cloud often. A tenth of the rate is left for a former leader's last
    // calls and for partition owners that return a machine with a cancelled task.
    this.bucket = new TokenBucket(settings.cloud().rps() * 0.9, settings.cloud().rps());
    for (int i = 0; i <= READ; i++) {
      queues.add(new ArrayDeque<>());
    }
  }

  public void tick() {
    for (Deque<QueuedRequest> queue : queues) {
      while (!queue.isEmpty()) {
        if (!bucket.take(clock.now(), 1)) {
          return;
        }
        QueuedRequest request = queue.poll();
        outbox.call(
            addr,
            request.method,
            request.path,
            request.body,
            Constants.CLOUD_TIMEOUT_MS,
            (status, body) -> {
              if (status == 429) {
                bucket.pause(clock.now(), Constants.CLOUD_RETRY_MS);
              }
              request.callback.done(status, body);
            });
      }
    }
  }

  private void enqueue(
      int queue, String method, String path, JsonNode body, Outbox.Callback callback) {
    queues
        .get(queue)
        .add(new QueuedRequest(method, path, body == null ? null : Json.bytes(body), callback));
    tick();
  }

  /** Reads the machine types; passes null to the callback if the call fails. */
  public void types(Consumer<List<MachineType>> callback) {
    enqueue(
        READ,
        "GET",
        "/machine_types",
        null,
        (status, body) -> {
          JsonNode builds = status == 200 ? Json.parse(body).path("builds") : null;
          if (builds == null || !builds.isArray()) {
            callback.accept(null);
            return;
          }
          List<MachineType> types = new ArrayList<>();
          for (JsonNode build : builds) {
            List<String> zones = new ArrayList<>();
            build.path("yards").forEach(z -> zones.add(z.asText()));
            types.add(
                new MachineType(
                    build.path("name").asText(),
                    build.path("cores").asDouble(),
                    build.path("accelerators").asDouble(),
                    build.path("memoryGb").asDouble(),
                    build.path("localGb").asDouble(),
                    build.path("pullGbPerS").asDouble(),
                    build.path("price").asDouble(),
                    build.path("spotPrice").asDouble(),
                    build.path("readyS").asDouble(),
                    List.copyOf(zones)));
          }
          callback.accept(types);
        });
  }

  /** Reads all pages of the machine list; passes null to the callback if a call fails. */
  public void list(Consumer<List<ListedMachine>> callback) {
    listPage("", new ArrayList<>(), callback);
  }

  private void listPage(
      String after, List<ListedMachine> collected, Consumer<List<ListedMachine>> callback) {
    enqueue(
        READ,
        "GET",
        "/machines?page=500" + (after.isEmpty() ? "" : "&after=" + after),
        null,
        (status, body) -> {
          JsonNode response = Json.parse(body);
          if (status != 200 || !response.path("hosts").isArray()) {
            callback.accept(null);
            return;
          }
          String last = after;
          for (JsonNode host : response.path("hosts")) {
            last = host.path("id").asText();
            collected.add(
                new ListedMachine(
                    last,
                    host.path("build").asText(),
                    host.path("yard").asText(),
                    host.path("loaners").asBoolean(),
                    host.path("status").asText(),
                    host.path("heldS").asDouble()));
          }
          if (response.path("more").asBoolean() && !last.equals(after)) {
            listPage(last, collected, callback);
          } else {
            callback.accept(collected);
          }
        });
  }

  /**
   * Rents machines.
   *
   * @param booking idempotency key: repeating a request with the same booking rents nothing more
   */
  public void rent(
      String booking, String type, String zone, boolean spot, int count, RentCallback callback) {
    ObjectNode requestBody =
        Json.object().put("booking", booking).put("build", type).put("yard", zone);
    requestBody.put("loaners", spot).put("count", count);
    enqueue(
        RENT,
        "POST",
        "/machines",
        requestBody,
        (status, body) -> {
          JsonNode response = Json.parse(body);
          List<String> hosts = new ArrayList<>();
          if (status == 200) {
            response.path("hosts").forEach(h -> hosts.add(h.asText()));
            callback.done(RentOutcome.OK, hosts);
          } else if (status == 503 && response.path("error").asText().equals("no capacity")) {
            callback.done(RentOutcome.NO_CAPACITY, hosts);
          } else {
            callback.done(RentOutcome.FAILED, hosts);
          }
        });
  }

  /**
   * Returns machines to the cloud; passes true to the callback once the machines and everything
   * that ran on them are gone.
   */
  public void returnMachines(Collection<String> names, Consumer<Boolean> callback) {
    ObjectNode requestBody = Json.object();
    ArrayNode hosts = requestBody.putArray("hosts");
    names.forEach(hosts::add);
    enqueue(
        RETURN,
        "POST",
        "/machines/return",
        requestBody,
        (status, body) -> callback.accept(status == 200));
  }
}
