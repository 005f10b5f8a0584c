package org.baygw.control.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;

/** The users of a scenario: they submit, ask and cancel, and try again until they are answered. */
final class ScenarioUsers {
  private final SimulatedCluster world;
  private final List<String> failures;

  /** Submissions, as they were sent. */
  private final Map<String, byte[]> sent = new TreeMap<>();

  /** Jobs about which nothing is asked any more. */
  final Set<String> unasked = new HashSet<>();

  ScenarioUsers(SimulatedCluster world, List<String> failures) {
    this.world = world;
    this.failures = failures;
  }

  /** Calls off jobs that run, within a fifth of a second; their machines may hang. */
  void cancelNow(String[] w, long hangMs) {
    int left = Integer.parseInt(ScenarioWords.options(w, 3).getOrDefault("count", "1"));
    for (String id : world.checker.running()) {
      if (left-- > 0) {
        world.after(world.random.nextInt(200), () -> abort(id, null));
        if (hangMs > 0) {
          world.checker.machinesOf(id).forEach(m -> m.hang(hangMs));
        }
      }
    }
  }

  /** Repeats submissions, cancels what is done, sends what can never run or lacks a field. */
  void odd(long until) {
    if (world.now() >= until) {
      return;
    }
    List<String> ids = new ArrayList<>(sent.keySet());
    if (!ids.isEmpty()) {
      String id = ids.get(world.random.nextInt(ids.size()));
      ask("POST", "/v1/jobs", sent.get(id), id, 0, i -> {});
      if ("done".equals(world.checker.toldOf(id))) {
        ask("POST", "/v1/jobs/" + id + "/abort", Json.bytes(Json.object()), id, 0, i -> {});
      }
      ObjectNode bad = (ObjectNode) Json.parse(sent.get(id));
      String never = "run-odd" + world.now();
      refused(bad.put("id", never).put("cores", 1_000.0), never, 422);
      bad.put("cores", 1.0).remove("crew");
      refused(bad.put("id", never + "x"), never + "x", 400);
    }
    world.after(500, () -> odd(until));
  }

  /** Sends a submission that is to be refused with this status, once the service can tell. */
  void refused(ObjectNode body, String id, int status) {
    List<String> live = new ArrayList<>(world.liveLabels());
    if (live.isEmpty()) {
      return;
    }
    live.sort(null);
    world.call(
        "user",
        live.get(world.random.nextInt(live.size())) + ":8080",
        "POST",
        "/v1/jobs",
        Json.bytes(body),
        5_000,
        (s, answer) -> {
          if (s > 0 && s != status && s != 503 && s != 429) {
            failures.add("a submission to be refused with " + status + " was answered " + s);
          }
        });
  }

  void submit(String[] w) {
    Map<String, String> o = ScenarioWords.options(w, 4);
    InvariantChecker.Submitted s =
        new InvariantChecker.Submitted(
            w[3],
            o.getOrDefault("team", world.teams.get(0).name()),
            o.containsKey("service"),
            Integer.parseInt(o.getOrDefault("tasks", "1")),
            Double.parseDouble(o.getOrDefault("cpus", "4")),
            o.getOrDefault("image", "img"),
            o.get("zone"),
            o.containsKey("spread"),
            o.containsKey("together"),
            o.containsKey("spot"),
            o.containsKey("saves"),
            o.containsKey("mistaken"),
            ScenarioWords.seconds(o.getOrDefault("run", "5")));
    world.checker.submitted(s);
    ObjectNode n = Json.object().put("id", s.id()).put("lane", "any").put("crew", s.team());
    n.put("shape", s.service() ? "standing" : "array");
    n.put("rank", o.getOrDefault("rank", s.service() ? "prod" : "normal"));
    n.put("chores", s.tasks()).put("cores", s.cpus()).put("accelerators", 0.0);
    n.put("memoryGb", Double.parseDouble(o.getOrDefault("memory", "4")));
    n.put("bundle", s.image()).put("sizeGb", 1.0);
    n.put("yard", s.zone()).put("together", s.together()).put("spread", s.spread());
    n.put("loaners", s.spot()).put("guessS", s.service() ? 0 : s.runMs() / 1000.0);
    n.put("stashEveryS", s.saves() ? 5.0 : 0.0).put("stashS", s.saves() ? 1.0 : 0.0);
    sent.put(s.id(), Json.bytes(n));
    ask("POST", "/v1/jobs", Json.bytes(n), s.id(), 0, this::polls);
    if (o.containsKey("twice")) {
      ask("POST", "/v1/jobs", Json.bytes(n), s.id(), 0, id -> {});
    }
  }

  interface Then {
    void then(String id);
  }

  /** Asks a live controller until it gets a final status. */
  void ask(String method, String path, byte[] body, String id, int tries, Then then) {
    if (tries > 300) {
      failures.add(method + " " + path + " was never answered");
      return;
    }
    List<String> live = new ArrayList<>(world.liveLabels());
    if (live.isEmpty()) {
      world.after(1_000, () -> ask(method, path, body, id, tries + 1, then));
      return;
    }
    live.sort(null);
    askOf(live.get(world.random.nextInt(live.size())), method, path, body, id, tries, then);
  }

  void askOf(
      String label, String method, String path, byte[] body, String id, int tries, Then then) {
    Runnable again = () -> world.after(1_000, () -> ask(method, path, body, id, tries + 1, then));
    String before = world.checker.toldOf(id);
    world.call(
        "user",
        label + ":8080",
        method,
        path,
        body,
        5_000,
        (status, answer) -> {
          if (status == 200 || status == 201 || status == 400 || status == 404 || status == 422) {
            world.checker.answered(id, status, Json.parse(answer), before);
            then.then(id);
          } else {
            if (status != Outbox.NO_ANSWER
                && status != Outbox.NOT_SENT
                && status != 503
                && status != 429) {
              failures.add(method + " " + path + " was answered " + status);
            }
            again.run();
          }
        });
  }

  void polls(String id) {
    world.after(
        1_500 + world.random.nextInt(1_000),
        () -> {
          if (!unasked.contains(id)) {
            ask("GET", "/v1/jobs/" + id, null, id, 0, this::polls);
          }
        });
  }

  void abort(String id, String via) {
    world.checker.abortAsked(id);
    byte[] none = Json.bytes(Json.object());
    if (via == null) {
      ask("POST", "/v1/jobs/" + id + "/abort", none, id, 0, i -> {});
    } else {
      askOf(via, "POST", "/v1/jobs/" + id + "/abort", none, id, 0, i -> {});
    }
  }
}
