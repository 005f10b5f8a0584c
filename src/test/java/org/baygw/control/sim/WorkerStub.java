package org.baygw.control.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baygw.control.core.Json;

/** Simulates a worker by its protocol. */
final class WorkerStub {
  /** One attempt at a task. */
  static final class Attempt {
    final String task;
    final int number;
    String status;
    String cause;
    boolean kept;
    int generation;

    Attempt(String task, int number) {
      this.task = task;
      this.number = number;
    }

    boolean isActive() {
      return status.equals("running") || status.equals("saving");
    }
  }

  final SimulatedCluster cluster;
  final String name;
  final String zone;
  final boolean spot;

  /** All attempts at tasks that the worker has not forgotten, by task and attempt. */
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();

  private final Set<String> images = new HashSet<>();
  private long session = 1;
  private long tick;
  private long token;
  private long lastAnsweredReportAt;
  private int controllerIndex;
  private boolean reportInFlight;
  private boolean dead;
  private boolean hung;
  private long lastReportAt = -10_000;
  private boolean changed;
  private final List<Runnable> deferredWhileHung = new ArrayList<>();
  boolean sick;
  Long reclaimAt;

  WorkerStub(SimulatedCluster cluster, String name, String zone, boolean spot) {
    this.cluster = cluster;
    this.name = name;
    this.zone = zone;
    this.spot = spot;
  }

  void start() {
    lastAnsweredReportAt = cluster.now();
    controllerIndex = cluster.random.nextInt(cluster.labels.size());
    runPeriodically();
  }

  void remove() {
    dead = true;
    cluster.checker.clearHung(this);
    List.copyOf(attempts.values()).forEach(r -> stop(r));
    attempts.clear();
  }

  void hang(long ms) {
    hung = true;
    cluster.after(
        ms,
        () -> {
          hung = false;
          cluster.checker.clearHung(this);
          deferredWhileHung.forEach(Runnable::run);
          deferredWhileHung.clear();
        });
  }

  /** CPUs that no task uses; a machine that is gone or sick has none. */
  double freeCpus() {
    double free = dead || sick ? 0 : 16;
    for (Attempt attempt : attempts.values()) {
      free -= attempt.cause == null ? cluster.checker.job(attempt.task).cpus() : 0;
    }
    return free;
  }

  private void runPeriodically() {
    if (dead) {
      return;
    }
    long now = cluster.now();
    // A hung machine runs its tasks only until its lease expires.
    if (now - lastAnsweredReportAt > cluster.leaseMs) {
      if (hung) {
        attempts.values().stream()
            .filter(Attempt::isActive)
            .forEach(r -> cluster.checker.lostWhileHung(this, r.task));
      }
      List.copyOf(attempts.values()).forEach(this::stop);
      attempts.clear();
      session++;
      tick = 0;
      lastAnsweredReportAt = now;
      changed = true;
    }
    long period =
        SimulatedCluster.REPORT_MS * 3 / 4 + cluster.random.nextInt(SimulatedCluster.REPORT_MS / 2);
    if (!hung
        && !reportInFlight
        && (now - lastReportAt >= period || changed && now - lastReportAt >= 500)) {
      report();
    }
    cluster.after(100, this::runPeriodically);
  }

  private void report() {
    reportInFlight = true;
    changed = false;
    lastReportAt = cluster.now();
    long sentAt = cluster.now();
    long sentInSession = session;
    ObjectNode report = describe();
    String label = cluster.labels.get(controllerIndex);
    cluster.call(
        name,
        label + ":8080",
        "POST",
        "/checkin",
        Json.bytes(report),
        4_000,
        (status, body) -> {
          if (hung) {
            deferredWhileHung.add(() -> reportAnswered(label, status, body, sentAt, sentInSession));
          } else {
            reportAnswered(label, status, body, sentAt, sentInSession);
          }
        });
  }

  private void reportAnswered(
      String label, int status, byte[] body, long sentAt, long sentInSession) {
    if (dead) {
      return;
    }
    JsonNode answer = Json.parse(body);
    if (status == 200) {
      reportInFlight = false;
      if (sentInSession != session
          || cluster.now() - sentAt > 4_000
          || answer.path("baton").asLong() < token
          || !answer.has("baton")) {
        return;
      }
      accept(answer, label);
      lastAnsweredReportAt = sentAt;
      execute(answer.path("orders"));
    } else {
      int home = status == 421 ? cluster.labels.indexOf(answer.path("home").asText("")) : -1;
      boolean known = home >= 0 && home != controllerIndex;
      controllerIndex = known ? home : (controllerIndex + 1) % cluster.labels.size();
      cluster.after(
          known ? 100 : 1_000,
          () -> {
            reportInFlight = false;
            lastReportAt = -10_000;
          });
    }
  }

  /** Records the token of a message whose orders are about to be executed. */
  private void accept(JsonNode message, String from) {
    long newToken = message.path("baton").asLong();
    boolean launches = false;
    for (JsonNode order : message.path("orders")) {
      launches |= order.path("verb").asText().equals("launch");
    }
    cluster.probe.accepted(cluster.partitionOf(this), newToken, launches);
    cluster.checker.obeyed(name, newToken, from);
    if (newToken > token) {
      token = newToken;
      changed = true;
    }
  }

  private ObjectNode describe() {
    ObjectNode description = Json.object().put("host", name).put("address", cluster.address(name));
    description.put("build", CloudStub.TYPE).put("yard", zone).put("loaners", spot);
    description.put("stint", session).put("tick", ++tick).put("baton", token);
    if (reclaimAt != null) {
      description.put("warningS", (reclaimAt - cluster.now()) / 1000.0);
    }
    ArrayNode chores = description.putArray("chores");
    for (Attempt attempt : attempts.values()) {
      ObjectNode chore = chores.addObject().put("chore", attempt.task).put("try", attempt.number);
      chore.put("status", attempt.status);
      if (attempt.cause != null) {
        chore.put("cause", attempt.cause).put("kept", attempt.kept);
      }
    }
    return description;
  }

  void handle(
      String from,
      String method,
      String path,
      JsonNode request,
      StateServiceStub.ResponseCallback respond) {
    if (dead) {
      return;
    }
    if (hung) {
      deferredWhileHung.add(() -> handle(from, method, path, request, respond));
      return;
    }
    if (path.equals("/show")) {
      respond.done(200, Json.bytes(describe()));
    } else if (!request.has("baton") || !request.has("stint")) {
      respond.done(400, Json.bytes(Json.object()));
    } else if (request.path("baton").asLong() < token
        || request.path("stint").asLong() != session) {
      respond.done(409, Json.bytes(describe()));
    } else {
      accept(request, from);
      execute(request.path("orders"));
      respond.done(200, Json.bytes(describe()));
    }
  }

  private static String key(String task, int number) {
    return task + "@" + number;
  }

  private boolean isOnMachine(String task) {
    return attempts.values().stream()
        .anyMatch(attempt -> attempt.task.equals(task) && attempt.cause == null);
  }

  private void execute(JsonNode orders) {
    for (JsonNode order : orders) {
      String task = order.path("chore").asText();
      int number = order.path("try").asInt();
      Attempt existing = attempts.get(key(task, number));
      switch (order.path("verb").asText()) {
        case "launch" -> {
          if (existing == null) {
            launch(task, number);
          }
        }
        case "kill" -> {
          if (existing != null && existing.cause == null) {
            kill(existing, order.path("windDownS").asDouble());
          }
        }
        case "forget" -> {
          if (existing != null && existing.cause != null) {
            attempts.remove(key(task, number));
          }
        }
        default -> throw new IllegalStateException("unknown order: " + order);
      }
    }
  }

  /** Starts a task that no controller has ordered. */
  void launchUnrequested(String task) {
    images.add(cluster.checker.job(task).image());
    launch(task, 99);
  }

  private void launch(String task, int number) {
    boolean busy = isOnMachine(task);
    Attempt attempt = new Attempt(task, number);
    attempts.put(key(task, number), attempt);
    changed = true;
    if (busy) {
      end(attempt, "busy");
      return;
    }
    InvariantChecker.Submitted job = cluster.checker.job(task);
    if (job == null) {
      end(attempt, "no_such");
      return;
    }
    double used = job.cpus();
    for (Attempt other : attempts.values()) {
      if (other != attempt && other.cause == null) {
        used += cluster.checker.job(other.task).cpus();
      }
    }
    if (used > 16) {
      end(attempt, "no_room");
      return;
    }
    attempt.status = "fetching";
    long fetch = images.contains(job.image()) ? 0 : 1_000;
    int generation = ++attempt.generation;
    cluster.after(
        fetch,
        () -> {
          if (attempt.generation == generation && !dead && attempt.cause == null) {
            images.add(job.image());
            begin(attempt, job);
          }
        });
  }

  private void begin(Attempt attempt, InvariantChecker.Submitted job) {
    attempt.status = "running";
    changed = true;
    cluster.checker.taskStarted(this, attempt.task);
    int generation = ++attempt.generation;
    if (cluster.checker.completed(attempt.task)) {
      end(attempt, "done");
    } else if (sick || job.mistaken()) {
      cluster.after(200, () -> finish(attempt, generation, "error"));
    } else if (!job.service()) {
      cluster.after(
          cluster.checker.remainingMs(attempt.task), () -> finish(attempt, generation, "done"));
    }
  }

  private void finish(Attempt attempt, int generation, String cause) {
    if (dead || attempt.generation != generation || attempt.cause != null) {
      return;
    }
    if (hung) {
      deferredWhileHung.add(() -> finish(attempt, generation, cause));
      return;
    }
    if (cause.equals("done")) {
      cluster.checker.taskDone(attempt.task);
    }
    end(attempt, cause);
  }

  private void kill(Attempt attempt, double graceS) {
    InvariantChecker.Submitted job = cluster.checker.job(attempt.task);
    attempt.generation++;
    if (attempt.status.equals("running") && job.saves() && graceS >= 1) {
      attempt.status = "saving";
      changed = true;
      int generation = attempt.generation;
      cluster.after(
          1_000,
          () -> {
            if (attempt.generation == generation) {
              attempt.kept = true;
              cluster.checker.checkpointSaved(attempt.task);
              end(attempt, "halted");
            }
          });
    } else {
      end(attempt, "halted");
    }
  }

  private void end(Attempt attempt, String cause) {
    stop(attempt);
    attempt.status = "ended";
    attempt.cause = cause;
    attempt.generation++;
    changed = true;
  }

  private void stop(Attempt attempt) {
    if (attempt.status != null && attempt.isActive()) {
      cluster.checker.taskLeft(this, attempt.task);
    }
    attempt.generation++;
  }
}
