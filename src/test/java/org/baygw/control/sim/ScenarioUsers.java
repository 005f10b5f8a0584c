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

/** The users of a scenario: they submit, poll and cancel jobs, and retry until answered. */
final class ScenarioUsers {
  private final SimulatedCluster cluster;
  private final List<String> failures;

  /** Bodies of the submissions sent, by job. */
  private final Map<String, byte[]> sent = new TreeMap<>();

  /** Jobs that are no longer polled. */
  final Set<String> unpolled = new HashSet<>();

  ScenarioUsers(SimulatedCluster cluster, List<String> failures) {
    this.cluster = cluster;
    this.failures = failures;
  }

  /** Cancels running jobs within 0.2 s; their machines hang if {@code hangMs} is positive. */
  void cancelNow(String[] words, long hangMs) {
    int remaining = Integer.parseInt(ScenarioWords.options(words, 3).getOrDefault("count", "1"));
    for (String id : cluster.checker.running()) {
      if (remaining-- > 0) {
        cluster.after(cluster.random.nextInt(200), () -> abort(id, null));
        if (hangMs > 0) {
          cluster.checker.machinesOf(id).forEach(m -> m.hang(hangMs));
        }
      }
    }
  }

  /**
   * Repeats submissions, cancels jobs that are done, and submits jobs that can never run or lack a
   * field.
   */
  void sendOddRequests(long untilMs) {
    if (cluster.now() >= untilMs) {
      return;
    }
    List<String> ids = new ArrayList<>(sent.keySet());
    if (!ids.isEmpty()) {
      String id = ids.get(cluster.random.nextInt(ids.size()));
      ask("POST", "/v1/jobs", sent.get(id), id, 0, i -> {});
      if ("done".equals(cluster.checker.lastStatusTold(id))) {
        ask("POST", "/v1/jobs/" + id + "/abort", Json.bytes(Json.object()), id, 0, i -> {});
      }
      ObjectNode invalid = (ObjectNode) Json.parse(sent.get(id));
      String refusedId = "run-odd" + cluster.now();
      submitExpectingRefusal(invalid.put("id", refusedId).put("cores", 1_000.0), refusedId, 422);
      invalid.put("cores", 1.0).remove("crew");
      submitExpectingRefusal(invalid.put("id", refusedId + "x"), refusedId + "x", 400);
    }
    cluster.after(500, () -> sendOddRequests(untilMs));
  }

  /**
   * Sends a submission that must be refused with this status; 429, 503 and a missing answer are
   * allowed while the service cannot decide.
   */
  void submitExpectingRefusal(ObjectNode body, String id, int status) {
    List<String> live = new ArrayList<>(cluster.liveLabels());
    if (live.isEmpty()) {
      return;
    }
    live.sort(null);
    cluster.call(
        "user",
        live.get(cluster.random.nextInt(live.size())) + ":8080",
        "POST",
        "/v1/jobs",
        Json.bytes(body),
        5_000,
        (s, answer) -> {
          if (s > 0 && s != status && s != 503 && s != 429) {
            failures.add("a submission that must be refused with " + status + " was answered " + s);
          }
        });
  }

  void submit(String[] words) {
    Map<String, String> options = ScenarioWords.options(words, 4);
    InvariantChecker.Submitted job =
        new InvariantChecker.Submitted(
            words[3],
            options.getOrDefault("team", cluster.teams.get(0).name()),
            options.containsKey("service"),
            Integer.parseInt(options.getOrDefault("tasks", "1")),
            Double.parseDouble(options.getOrDefault("cpus", "4")),
            options.getOrDefault("image", "img"),
            options.get("zone"),
            options.containsKey("spread"),
            options.containsKey("together"),
            options.containsKey("spot"),
            options.containsKey("saves"),
            options.containsKey("mistaken"),
            options.containsKey("uneven"),
            ScenarioWords.millis(options.getOrDefault("run", "5")));
    cluster.checker.submitted(job);
    ObjectNode request =
        Json.object().put("id", job.id()).put("lane", "any").put("crew", job.team());
    request.put("shape", job.service() ? "standing" : "array");
    request.put("rank", options.getOrDefault("rank", job.service() ? "prod" : "normal"));
    request.put("chores", job.tasks()).put("cores", job.cpus()).put("accelerators", 0.0);
    request.put("memoryGb", Double.parseDouble(options.getOrDefault("memory", "4")));
    request.put("bundle", job.image()).put("sizeGb", 1.0);
    request.put("yard", job.zone()).put("together", job.together()).put("spread", job.spread());
    request.put("loaners", job.spot()).put("guessS", job.service() ? 0 : job.runMs() / 1000.0);
    request.put("stashEveryS", job.saves() ? 5.0 : 0.0).put("stashS", job.saves() ? 1.0 : 0.0);
    sent.put(job.id(), Json.bytes(request));
    ask("POST", "/v1/jobs", Json.bytes(request), job.id(), 0, this::schedulePoll);
    if (options.containsKey("twice")) {
      ask("POST", "/v1/jobs", Json.bytes(request), job.id(), 0, id -> {});
    }
  }

  interface AnswerCallback {
    void answered(String id);
  }

  /** Sends a request to random live controllers until one gives a final answer. */
  void ask(
      String method, String path, byte[] body, String id, int attempts, AnswerCallback callback) {
    if (attempts > 300) {
      failures.add(method + " " + path + " was never answered");
      return;
    }
    List<String> live = new ArrayList<>(cluster.liveLabels());
    if (live.isEmpty()) {
      cluster.after(1_000, () -> ask(method, path, body, id, attempts + 1, callback));
      return;
    }
    live.sort(null);
    askController(
        live.get(cluster.random.nextInt(live.size())), method, path, body, id, attempts, callback);
  }

  void askController(
      String label,
      String method,
      String path,
      byte[] body,
      String id,
      int attempts,
      AnswerCallback callback) {
    Runnable retry =
        () -> cluster.after(1_000, () -> ask(method, path, body, id, attempts + 1, callback));
    String statusBefore = cluster.checker.lastStatusTold(id);
    cluster.call(
        "user",
        label + ":8080",
        method,
        path,
        body,
        5_000,
        (status, answer) -> {
          if (status == 200 || status == 201 || status == 400 || status == 404 || status == 422) {
            cluster.checker.answered(id, status, Json.parse(answer), statusBefore);
            callback.answered(id);
          } else {
            if (status != Outbox.NO_ANSWER
                && status != Outbox.NOT_SENT
                && status != 503
                && status != 429) {
              failures.add(method + " " + path + " was answered " + status);
            }
            retry.run();
          }
        });
  }

  void schedulePoll(String id) {
    cluster.after(
        1_500 + cluster.random.nextInt(1_000),
        () -> {
          if (!unpolled.contains(id)) {
            ask("GET", "/v1/jobs/" + id, null, id, 0, this::schedulePoll);
          }
        });
  }

  void abort(String id, String via) {
    cluster.checker.abortRequested(id);
    byte[] none = Json.bytes(Json.object());
    if (via == null) {
      ask("POST", "/v1/jobs/" + id + "/abort", none, id, 0, i -> {});
    } else {
      askController(via, "POST", "/v1/jobs/" + id + "/abort", none, id, 0, i -> {});
    }
  }
}
