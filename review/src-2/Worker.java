import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Stand-in of a worker, by the protocol's page. */
final class Worker {
  /** One attempt at a task that the worker has not forgotten. */
  static final class Attempt {
    final String task;
    final long number;
    String status = "fetching";
    String cause;
    boolean kept;

    /** Changes with each step, so that a timer of an earlier step has no effect. */
    int step;

    Attempt(String task, long number) {
      this.task = task;
      this.number = number;
    }

    boolean onMachine() {
      return status.equals("running") || status.equals("saving");
    }
  }

  private final Rig rig;
  final String name;
  final String zone;
  final boolean spot;
  final String address;
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private long session = 1;
  private long tick;
  private long token;
  private long answeredReportSentAt;
  private long lastReportAt = -100_000;
  private long nextPeriod;
  private long notBefore;
  private boolean changed;
  private boolean inFlight;
  private boolean gone;
  private int node;

  /** Called with the text of a report when it is sent, and when its answer has arrived. */
  interface ReportListener {
    void report(Worker worker, byte[] report, int status);
  }

  static ReportListener onReportSent = (worker, report, status) -> {};
  static ReportListener onReportAnswered = (worker, report, status) -> {};

  /** Decides whether an attempt fails, and after how many ms; negative: it does not. */
  interface Faults {
    long failsAfterMs(Worker worker, String task, long number);
  }

  static Faults faults = (worker, task, number) -> -1;

  Worker(Rig rig, String name, String zone, boolean spot) {
    this.rig = rig;
    this.name = name;
    this.zone = zone;
    this.spot = spot;
    this.address = rig.serve(this::handle);
  }

  void start() {
    answeredReportSentAt = rig.now();
    node = Math.floorMod(name.hashCode(), rig.labels.size());
    nextPeriod = 0;
    step();
  }

  void remove() {
    gone = true;
    new ArrayList<>(attempts.values()).forEach(this::leave);
    attempts.clear();
  }

  boolean has(String task) {
    return attempts.values().stream().anyMatch(a -> a.task.equals(task) && a.cause == null);
  }

  boolean runs(String task) {
    return attempts.values().stream().anyMatch(a -> a.task.equals(task) && a.onMachine());
  }

  /** CPUs that no task on the machine takes, those that wait for their image included. */
  double freeCpus() {
    double free = rig.site.typeCpus;
    for (Attempt attempt : attempts.values()) {
      free -= attempt.cause == null ? rig.checks.jobOf(attempt.task).cpus : 0;
    }
    return free;
  }

  double freeMemoryGb() {
    double free = rig.site.typeMemoryGb;
    for (Attempt attempt : attempts.values()) {
      free -= attempt.cause == null ? rig.checks.jobOf(attempt.task).memoryGb : 0;
    }
    return free;
  }

  int saving() {
    return (int) attempts.values().stream().filter(a -> a.status.equals("saving")).count();
  }

  private void step() {
    if (gone) {
      return;
    }
    long now = rig.now();
    if (now - answeredReportSentAt > rig.site.leaseS * 1000) {
      if (!attempts.isEmpty()) {
        rig.note(name + ": lease has ended, with " + attempts.keySet());
      }
      new ArrayList<>(attempts.values()).forEach(this::leave);
      attempts.clear();
      session++;
      answeredReportSentAt = now;
      changed = true;
    }
    boolean due = now - lastReportAt >= nextPeriod || changed && now - lastReportAt >= 500;
    if (!inFlight && now >= notBefore && due) {
      report();
    }
    rig.after(50, this::step);
  }

  private void report() {
    inFlight = true;
    changed = false;
    lastReportAt = rig.now();
    nextPeriod = (long) (rig.site.reportS * 1000 * (0.75 + Math.random() * 0.5));
    long sentAt = lastReportAt;
    long sentInSession = session;
    byte[] body = Json.bytes(describe());
    String label = rig.labels.get(node);
    var sent = rig.send(label, false, "POST", "/checkin", body, 4);
    onReportSent.report(this, body, 0);
    sent
        .thenAccept(
            answer -> {
              synchronized (rig) {
                if (!gone) {
                  answered(label, answer, sentAt, sentInSession);
                  onReportAnswered.report(this, body, answer.status());
                }
              }
            });
  }

  private void answered(String label, Rig.Answer answer, long sentAt, long sentInSession) {
    inFlight = false;
    long now = rig.now();
    if (answer.status() == 200) {
      if (sentInSession == session
          && now - sentAt <= 4000
          && answer.body().containsKey("baton")
          && Json.number(answer.body(), "baton", 0) >= token) {
        take(answer.body());
        answeredReportSentAt = sentAt;
        execute(Json.list(answer.body(), "orders"), "answer of " + label);
      }
      return;
    }
    int home = answer.status() == 421 ? rig.labels.indexOf(Json.string(answer.body(), "home")) : -1;
    if (home >= 0 && home != node) {
      node = home;
      notBefore = now + (long) (Math.random() * 500);
    } else {
      node = (node + 1) % rig.labels.size();
      notBefore = now + 1000;
    }
    lastReportAt = -100_000;
  }

  private void take(Map<String, Object> message) {
    long newToken = Json.number(message, "baton", 0);
    if (newToken > token) {
      token = newToken;
      changed = true;
    }
  }

  private Map<String, Object> describe() {
    List<Object> chores = new ArrayList<>();
    for (Attempt a : attempts.values()) {
      Map<String, Object> chore = Json.of("chore", a.task, "try", a.number, "status", a.status);
      if (a.cause != null) {
        chore.put("cause", a.cause);
        chore.put("kept", a.kept);
      }
      chores.add(chore);
    }
    Map<String, Object> report = Json.of("host", name, "address", address, "build", rig.site.type);
    report.putAll(Json.of("yard", zone, "loaners", spot, "stint", session, "tick", ++tick));
    report.putAll(Json.of("baton", token, "warningS", null, "chores", chores));
    return report;
  }

  /**
   * While it is positive, direct commands are held up on their way for so many ms and not answered;
   * then they are carried out once, if token and session still match.
   */
  long lateMs;

  private void handle(String method, String target, byte[] body, Rig.Reply reply) {
    synchronized (rig) {
      if (gone) {
        return; // a machine that is gone says nothing
      }
      if (lateMs > 0 && target.equals("/orders")) {
        rig.note(name + ": a direct command is held up: " + new String(body));
        rig.after(
            lateMs,
            () ->
                receive(
                    target,
                    body,
                    (status, answer) -> rig.note(name + ": the late command gets " + status)));
        return;
      }
      receive(target, body, reply);
    }
  }

  private void receive(String target, byte[] body, Rig.Reply reply) {
    if (gone) {
      return;
    }
    Map<String, Object> request = Json.object(body);
    if (target.equals("/show")) {
      reply.send(200, describe());
    } else if (!request.containsKey("baton") || !request.containsKey("stint")) {
      reply.send(400, Json.of());
    } else if (Json.number(request, "baton", 0) < token
        || Json.number(request, "stint", 0) != session) {
      reply.send(409, describe());
    } else {
      take(request);
      execute(Json.list(request, "orders"), "direct command");
      reply.send(200, describe());
    }
  }

  private void execute(List<Object> orders, String by) {
    for (Object o : orders) {
      Map<String, Object> order = Json.cast(o);
      String task = Json.string(order, "chore");
      long number = Json.number(order, "try", 0);
      String key = task + "@" + number;
      Attempt known = attempts.get(key);
      String verb = Json.string(order, "verb");
      rig.note(name + ": " + verb + " " + key + " by " + by + ", session " + session);
      if (verb.equals("launch") && known == null) {
        launch(task, number);
      } else if (verb.equals("kill") && known != null && known.cause == null) {
        kill(known, Json.decimal(order, "windDownS", 0));
      } else if (verb.equals("forget") && known != null && known.cause != null) {
        attempts.remove(key);
        changed = true;
      }
    }
  }

  private void launch(String task, long number) {
    changed = true;
    boolean busy = has(task);
    Checks.Job job = rig.checks.jobOf(task);
    double cpus = job == null ? 0 : job.cpus;
    double memory = job == null ? 0 : job.memoryGb;
    for (Attempt other : attempts.values()) {
      if (other.cause == null) {
        cpus += rig.checks.jobOf(other.task).cpus;
        memory += rig.checks.jobOf(other.task).memoryGb;
      }
    }
    Attempt attempt = new Attempt(task, number);
    attempts.put(task + "@" + number, attempt);
    if (busy) {
      end(attempt, "busy");
    } else if (job == null) {
      end(attempt, "no_such");
    } else if (cpus > rig.site.typeCpus + 1e-6 || memory > rig.site.typeMemoryGb + 1e-6) {
      end(attempt, "no_room");
    } else {
      long fetchMs =
          images.contains(job.image) ? 0 : (long) (1000 * job.imageGb / rig.site.fetchGbPerS);
      later(attempt, fetchMs, () -> begin(attempt, job));
    }
  }

  private void later(Attempt attempt, long ms, Runnable action) {
    int step = ++attempt.step;
    rig.after(
        ms,
        () -> {
          if (!gone && attempt.step == step && attempt.cause == null) {
            action.run();
          }
        });
  }

  private void begin(Attempt attempt, Checks.Job job) {
    images.add(job.image);
    attempt.status = "running";
    changed = true;
    rig.checks.started(this, attempt.task, attempt.number);
    if (rig.checks.isDone(attempt.task)) {
      end(attempt, "done");
      return;
    }
    long failsAfterMs = faults.failsAfterMs(this, attempt.task, attempt.number);
    if (failsAfterMs >= 0) {
      later(attempt, failsAfterMs, () -> end(attempt, "error"));
    } else if (!job.service) {
      later(
          attempt,
          job.runMs,
          () -> {
            rig.checks.completed(attempt.task);
            end(attempt, "done");
          });
    }
  }

  private void kill(Attempt attempt, double windDownS) {
    Checks.Job job = rig.checks.jobOf(attempt.task);
    boolean saves = job.stashEveryS > 0 && windDownS >= job.stashS;
    if (attempt.status.equals("running") && saves) {
      attempt.status = "saving";
      changed = true;
      later(
          attempt,
          (long) (job.stashS * 1000),
          () -> {
            attempt.kept = true;
            end(attempt, "halted");
          });
    } else if (!attempt.status.equals("saving") || windDownS == 0) {
      end(attempt, "halted");
    }
  }

  private void end(Attempt attempt, String cause) {
    leave(attempt);
    attempt.status = "ended";
    attempt.cause = cause;
    changed = true;
    rig.note(name + ": " + attempt.task + "@" + attempt.number + " ended: " + cause);
  }

  private void leave(Attempt attempt) {
    if (attempt.onMachine()) {
      rig.checks.left(this, attempt.task);
    }
    attempt.step++;
  }
}
