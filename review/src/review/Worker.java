package review;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Stand-in of a worker by the published protocol. */
final class Worker {
  /** What happens to a message of a controller that was sent directly to a worker. */
  enum Fate {
    DELIVERED,
    /** The message is held up on its way, unanswered, and carried out once, 10 s late. */
    HELD
  }

  private static final long HELD_MS = 10_000;

  private static final class Attempt {
    final String task;
    final long number;
    String status = "fetching";
    String cause;
    boolean kept;
    long phase;
    long startedAt;

    Attempt(String task, long number) {
      this.task = task;
      this.number = number;
    }

    boolean ended() {
      return cause != null;
    }
  }

  private static final long ANSWER_MS = 4_000;

  private final Rig rig;
  final String name;
  final String zone;
  final boolean spot;
  private final int port;
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private final Map<String, List<Runnable>> fetching = new LinkedHashMap<>();
  private long session = 1;
  private long tick;
  private long token;
  private long answeredReportSentAt;
  private long lastReportAt = -60_000;
  private long nextPeriodMs;
  private long notBefore;
  private long lastTokenChangeAt = -60_000;
  private int node;
  private boolean inFlight;
  private boolean changed;
  private boolean dead;

  Worker(Rig rig, String name, String zone, boolean spot) {
    this.rig = rig;
    this.name = name;
    this.zone = zone;
    this.spot = spot;
    this.port = rig.serve("a controller", (from, method, uri, body, reply) ->
        direct(method, uri, body, reply));
    this.answeredReportSentAt = rig.now();
    this.node = rig.firstNode.getAsInt();
    step();
  }

  /** The machine is gone: it says nothing any more. */
  void die() {
    dead = true;
    List.copyOf(attempts.values()).forEach(attempt -> leave(attempt, "the machine is gone"));
    attempts.clear();
  }

  double freeCpus() {
    double free = rig.machineCpus;
    for (Attempt attempt : attempts.values()) {
      free -= attempt.ended() ? 0 : rig.job(attempt.task).cpus;
    }
    return free;
  }

  /** Whether the task is on this machine and has not ended. */
  boolean has(String task) {
    return attempts.values().stream().anyMatch(a -> a.task.equals(task) && !a.ended());
  }

  int active() {
    return (int) attempts.values().stream().filter(a -> !a.ended()).count();
  }

  /** A task of an array completes now. */
  void complete(String task) {
    for (Attempt attempt : attempts.values()) {
      if (attempt.task.equals(task) && attempt.status.equals("running")) {
        rig.job(task).done.set(rig.index(task));
        end(attempt, "done");
      }
    }
  }

  /** The highest number of a task that is on this machine and has not ended; -1 without one. */
  int highestActive() {
    return attempts.values().stream()
        .filter(attempt -> !attempt.ended())
        .mapToInt(attempt -> rig.index(attempt.task))
        .max()
        .orElse(-1);
  }

  private void step() {
    if (dead) {
      return;
    }
    long now = rig.now();
    if (now - answeredReportSentAt > rig.leaseS * 1000) {
      rig.log("%s: the lease has expired, session %d begins", name, session + 1);
      List.copyOf(attempts.values()).forEach(attempt -> leave(attempt, "the lease expired"));
      attempts.clear();
      fetching.clear();
      session++;
      answeredReportSentAt = now;
      changed = true;
    }
    boolean due = now - lastReportAt >= nextPeriodMs || changed && now - lastReportAt >= 500;
    if (!inFlight && now >= notBefore && due) {
      report();
    }
    rig.after(50, this::step);
  }

  private void report() {
    inFlight = true;
    changed = false;
    lastReportAt = rig.now();
    nextPeriodMs = (long) (rig.reportS * 1000 * (0.75 + rig.random.nextDouble() / 2));
    long sentAt = rig.now();
    long sentIn = session;
    String label = rig.labels.get(node);
    rig.call(
        label,
        "POST",
        "/checkin",
        describe(),
        ANSWER_MS,
        (status, body) -> {
          if (dead) {
            return;
          }
          inFlight = false;
          Map<String, Object> answer = Json.map(body.length == 0 ? null : Json.parse(body));
          if (status == 200) {
            if (sentIn == session && answer.containsKey("baton") && rig.now() - sentAt <= ANSWER_MS
                && Json.number(answer.get("baton")) >= token) {
              see(Json.number(answer.get("baton")));
              answeredReportSentAt = sentAt;
              execute(label + " (answer)", Json.list(answer.get("orders")));
            }
            return;
          }
          int home = status == 421 ? rig.labels.indexOf("" + answer.get("home")) : -1;
          boolean known = home >= 0 && home != node;
          node = known ? home : (node + 1) % rig.labels.size();
          notBefore = rig.now() + (known ? 100 : 1_000);
          lastReportAt = -60_000;
        });
  }

  private void see(long newToken) {
    if (newToken > token) {
      token = newToken;
      if (rig.now() - lastTokenChangeAt >= rig.leaseS * 500) {
        lastTokenChangeAt = rig.now();
        changed = true;
      }
    }
  }

  private Map<String, Object> describe() {
    List<Object> chores = new ArrayList<>();
    for (Attempt attempt : attempts.values()) {
      Map<String, Object> chore =
          Json.object("chore", attempt.task, "try", attempt.number, "status", attempt.status);
      if (attempt.ended()) {
        chore.put("cause", attempt.cause);
        if (attempt.cause.equals("halted")) {
          chore.put("kept", attempt.kept);
        }
      }
      chores.add(chore);
    }
    return Json.object(
        "host", name, "address", "127.0.0.1:" + port, "build", rig.machineType, "yard", zone,
        "loaners", spot, "stint", session, "tick", ++tick, "baton", token, "warningS", null,
        "chores", chores);
  }

  private void direct(String method, String uri, byte[] body, Rig.Reply reply) {
    if (dead) {
      return; // a machine without power says nothing
    }
    Map<String, Object> request = Json.map(body.length == 0 ? null : Json.parse(body));
    if (rig.fate.of(this, uri, request) == Fate.HELD) {
      rig.log("network: %s %s to %s is held up: %s", method, uri, name, Json.text(request));
      rig.after(
          HELD_MS,
          () ->
              deliver(
                  uri,
                  request,
                  (status, answer) ->
                      rig.log("network: the command to %s arrives: status %d", name, status)));
      return;
    }
    deliver(uri, request, reply);
  }

  private void deliver(String uri, Map<String, Object> request, Rig.Reply reply) {
    if (dead) {
      return;
    }
    if (uri.equals("/show")) {
      reply.send(200, describe());
    } else if (!request.containsKey("baton") || !request.containsKey("stint")) {
      reply.send(400, Json.object("error", "baton or stint is missing"));
    } else if (Json.number(request.get("baton")) < token
        || Json.number(request.get("stint")) != session) {
      reply.send(409, describe());
    } else {
      see(Json.number(request.get("baton")));
      execute("direct", Json.list(request.get("orders")));
      reply.send(200, describe());
    }
  }

  private void execute(String from, List<Object> orders) {
    for (Object item : orders) {
      Map<String, Object> order = Json.map(item);
      String task = (String) order.get("chore");
      long number = Json.number(order.get("try"));
      Attempt known = attempts.get(task + "*" + number);
      rig.ordered(name, from, order);
      switch ((String) order.get("verb")) {
        case "launch" -> {
          if (known == null) {
            launch(task, number);
          }
        }
        case "kill" -> {
          if (known != null && !known.ended()) {
            kill(known, Json.decimal(order.get("windDownS")));
          }
        }
        case "forget" -> {
          if (known != null && known.ended()) {
            attempts.remove(task + "*" + number);
            changed = true;
          }
        }
        default -> rig.log("%s: unknown order %s", name, order);
      }
    }
  }

  private void launch(String task, long number) {
    Attempt attempt = new Attempt(task, number);
    boolean busy = has(task);
    Rig.Job job = rig.job(task);
    double freeCpus = freeCpus();
    attempts.put(task + "*" + number, attempt);
    changed = true;
    if (job == null) {
      end(attempt, "no_such");
    } else if (busy) {
      end(attempt, "busy");
    } else if (job.cpus > freeCpus + 1e-6) {
      end(attempt, "no_room");
    } else if (images.contains(job.image)) {
      begin(attempt, job);
    } else {
      boolean first = !fetching.containsKey(job.image);
      long sessionNow = session;
      fetching
          .computeIfAbsent(job.image, k -> new ArrayList<>())
          .add(
              () -> {
                if (!attempt.ended() && session == sessionNow && !dead) {
                  begin(attempt, job);
                }
              });
      if (first) {
        rig.after(
            (long) (job.imageGb * 1000),
            () -> {
              images.add(job.image);
              List<Runnable> waiting = fetching.remove(job.image);
              if (waiting != null) {
                waiting.forEach(Runnable::run);
              }
            });
      }
    }
  }

  private void begin(Attempt attempt, Rig.Job job) {
    attempt.status = "running";
    attempt.startedAt = rig.now();
    changed = true;
    rig.started(this, attempt.task, attempt.number);
    int index = rig.index(attempt.task);
    if (job.done.get(index)) {
      end(attempt, "done");
    } else if (!job.service) {
      long phase = ++attempt.phase;
      rig.after(
          job.remainingMs(index),
          () -> {
            if (!dead && attempt.phase == phase && !attempt.ended()) {
              job.done.set(index);
              end(attempt, "done");
            }
          });
    }
  }

  private void kill(Attempt attempt, double windDownS) {
    Rig.Job job = rig.job(attempt.task);
    if (attempt.status.equals("running") && job.stashEveryS > 0 && windDownS >= job.stashS) {
      attempt.status = "saving";
      changed = true;
      long phase = ++attempt.phase;
      job.save(rig.index(attempt.task), rig.now() - attempt.startedAt);
      rig.after(
          (long) (job.stashS * 1000),
          () -> {
            if (!dead && attempt.phase == phase && !attempt.ended()) {
              attempt.kept = true;
              end(attempt, "halted");
            }
          });
    } else if (!attempt.status.equals("saving") || windDownS == 0) {
      end(attempt, "halted");
    }
  }

  private void end(Attempt attempt, String cause) {
    boolean active = !attempt.status.equals("fetching");
    attempt.status = "ended";
    attempt.cause = cause;
    attempt.phase++;
    changed = true;
    rig.left(this, attempt.task, attempt.number, cause, active);
  }

  private void leave(Attempt attempt, String why) {
    if (!attempt.ended()) {
      boolean active = !attempt.status.equals("fetching");
      attempt.cause = "gone";
      attempt.phase++;
      rig.left(this, attempt.task, attempt.number, why, active);
    }
  }
}
