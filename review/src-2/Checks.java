import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** What was submitted, answered and run, and the protocol's rules about it, as written there. */
final class Checks {
  /** A job as its user submitted it. */
  static final class Job {
    String id;
    String lane = "permit-lists";
    String team = "ranger-liaison";
    boolean service;
    String rank = "normal";
    int tasks = 1;
    double cpus = 1;
    double memoryGb = 5.7;
    String image = "img-1";
    double imageGb = 1.5;
    String zone;
    boolean together;
    boolean spread;
    boolean spot;
    double stashEveryS;
    double stashS;
    long runMs = 40_000;

    byte[] submission() {
      Map<String, Object> body = Json.of("id", id, "lane", lane, "crew", team);
      body.putAll(Json.of("shape", service ? "standing" : "array", "rank", rank));
      body.putAll(Json.of("chores", tasks, "cores", cpus, "accelerators", 0.0));
      body.putAll(Json.of("memoryGb", memoryGb, "bundle", image, "sizeGb", imageGb));
      body.putAll(Json.of("builds", null, "yard", zone, "together", together));
      body.putAll(Json.of("spread", spread, "loaners", spot));
      body.putAll(Json.of("guessS", service ? 0.0 : runMs / 1000.0));
      body.putAll(Json.of("stashEveryS", stashEveryS, "stashS", stashS, "dueS", null));
      return Json.bytes(body);
    }
  }

  private final Rig rig;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, Set<Worker>> machinesOf = new HashMap<>();
  private final Set<String> done = new HashSet<>();
  private final Map<String, String> told = new HashMap<>();
  private final Set<String> cancelRequested = new HashSet<>();
  private final Map<String, Long> cancelledAt = new HashMap<>();

  /** Times at which a request about each job was last answered. */
  final Map<String, Long> answeredAt = new HashMap<>();

  /** Rules that were broken, with what broke them. */
  final Set<String> broken = new LinkedHashSet<>();

  int starts;
  private final Set<String> begun = new HashSet<>();

  Checks(Rig rig) {
    this.rig = rig;
  }

  void add(Job job) {
    jobs.put(job.id, job);
  }

  Job job(String id) {
    return jobs.get(id);
  }

  Job jobOf(String task) {
    return jobs.get(task.substring(0, task.lastIndexOf('/')));
  }

  boolean isDone(String task) {
    return done.contains(task);
  }

  String told(String id) {
    return told.get(id);
  }

  void cancelRequested(String id) {
    cancelRequested.add(id);
  }

  Set<Worker> machinesOf(String task) {
    return machinesOf.getOrDefault(task, Set.of());
  }

  /** Records that a rule was broken. */
  void report(String rule, String what) {
    broken(rule, what);
  }

  private void broken(String rule, String what) {
    if (broken.add(rule + ": " + what)) {
      rig.note("RULE BROKEN " + rule + ": " + what);
    }
  }

  /** Whether all tasks of the job have completed. */
  boolean allDone(String id) {
    for (int i = 0; i < jobs.get(id).tasks; i++) {
      if (!done.contains(id + "/" + i)) {
        return false;
      }
    }
    return true;
  }

  /** Number of the job's tasks that are on a machine. */
  int running(String id) {
    int count = 0;
    for (int i = 0; i < jobs.get(id).tasks; i++) {
      count += machinesOf(id + "/" + i).isEmpty() ? 0 : 1;
    }
    return count;
  }

  /** The machines that the job's tasks are on. */
  Set<String> machineNames(String id) {
    Set<String> names = new LinkedHashSet<>();
    for (int i = 0; i < jobs.get(id).tasks; i++) {
      machinesOf(id + "/" + i).forEach(worker -> names.add(worker.name));
    }
    return names;
  }

  /** Whether a task of the job has started. */
  boolean hasBegun(String id) {
    return begun.contains(id);
  }

  void started(Worker worker, String task, long number) {
    starts++;
    begun.add(jobOf(task).id);
    rig.note(worker.name + ": " + task + "@" + number + " starts");
    Set<Worker> machines = machinesOf.computeIfAbsent(task, k -> new LinkedHashSet<>());
    for (Worker other : machines) {
      broken("ran_twice", task + " starts on " + worker.name + " while it is on " + other.name);
    }
    machines.add(worker);
    Job job = jobOf(task);
    Long cancelled = cancelledAt.get(job.id);
    if (cancelled != null && rig.now() > cancelled + rig.site.cancelS * 1000) {
      broken("ran_cancelled", task + " starts on " + worker.name);
    }
    checkQuota(job.team);
    checkPlace(worker, job);
  }

  private void checkQuota(String team) {
    double used = 0;
    for (Map.Entry<String, Set<Worker>> entry : machinesOf.entrySet()) {
      Job job = jobOf(entry.getKey());
      used += job.team.equals(team) ? job.cpus * entry.getValue().size() : 0;
    }
    for (Object[] t : rig.site.teams) {
      double max = (Double) t[2];
      if (t[0].equals(team) && max > 0 && used > max + 1e-6) {
        broken("quota", team + " uses " + used + " of " + max + " CPUs");
      }
    }
  }

  private void checkPlace(Worker worker, Job job) {
    int here = 0;
    int elsewhere = 0;
    for (int i = 0; i < job.tasks; i++) {
      for (Worker other : machinesOf(job.id + "/" + i)) {
        here += other.zone.equals(worker.zone) ? 1 : 0;
        elsewhere += other.zone.equals(worker.zone) ? 0 : 1;
      }
    }
    if (worker.spot && !job.spot
        || job.zone != null && !job.zone.equals(worker.zone)
        || job.spread && here > (job.tasks + 1) / 2
        || job.together && elsewhere > 0) {
      broken("wrong_place", job.id + " on " + worker.name);
    }
  }

  void left(Worker worker, String task) {
    machinesOf.getOrDefault(task, new HashSet<>()).remove(worker);
    rig.note(worker.name + ": " + task + " is no longer on it");
  }

  void completed(String task) {
    done.add(task);
  }

  /** Checks an answer; {@code before} is what users had been told when the request was sent. */
  void answered(String id, int status, Map<String, Object> body, String before) {
    if (before != null && (status == 404 || status == 400 || status == 422)) {
      broken("forgotten", id + " was answered " + status + " after it was accepted");
    }
    if (status != 200 && status != 201) {
      return;
    }
    answeredAt.put(id, rig.now());
    if (!jobs.containsKey(id)) {
      broken("invented", id);
      return;
    }
    String now = Json.string(body, "status");
    boolean ended = "done".equals(before) || "cancelled".equals(before);
    if (ended && !now.equals(before)
        || now.equals("cancelled") && !cancelRequested.contains(id)) {
      broken("went_back", id + " was " + before + " and is called " + now);
    }
    if (now.equals("done")) {
      for (int i = 0; i < jobs.get(id).tasks; i++) {
        if (!done.contains(id + "/" + i)) {
          broken("not_done", id + " is called done, but " + id + "/" + i + " is not");
        }
      }
    }
    if (now.equals("cancelled") && cancelledAt.putIfAbsent(id, rig.now()) == null) {
      rig.after(
          (long) (rig.site.cancelS * 1000) + 1,
          () -> {
            for (int i = 0; i < jobs.get(id).tasks; i++) {
              for (Worker worker : machinesOf(id + "/" + i)) {
                broken("ran_cancelled", id + "/" + i + " is still on " + worker.name);
              }
            }
          });
    }
    String last = told.get(id);
    if (!"done".equals(last) && !"cancelled".equals(last)) {
      told.put(id, now);
      if (!now.equals(last)) {
        rig.note("user is told that " + id + " is " + now);
      }
    }
  }
}
