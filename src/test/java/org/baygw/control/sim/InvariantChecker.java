package org.baygw.control.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;

/** Watches the simulated world and notes every broken rule of the protocol, by its name there. */
final class InvariantChecker {
  /** A job as its user sent it. */
  record Submitted(
      String id,
      String team,
      boolean service,
      int tasks,
      double cpus,
      String image,
      String zone,
      boolean spread,
      boolean together,
      boolean spot,
      boolean saves,
      boolean mistaken,
      long runMs) {}

  private final SimulatedCluster world;
  private final Map<String, Submitted> jobs = new HashMap<>();
  private final TreeMap<String, Set<WorkerStub>> on = new TreeMap<>();

  /** Thousandths of a CPU that each team has in use, kept with each start and end. */
  private final Map<String, Long> milliCpus = new HashMap<>();

  private final Map<String, Long> startedAt = new HashMap<>();
  private final Map<String, Long> progress = new HashMap<>();
  private final Set<String> done = new HashSet<>();
  private final Map<String, String> told = new HashMap<>();
  final Map<String, Long> cancelTold = new HashMap<>();
  private final Set<String> cancelAsked = new HashSet<>();
  final Map<String, Long> doneTold = new LinkedHashMap<>();
  final Set<String> broken = new TreeSet<>();
  int starts;

  /** Jobs' first starts. */
  final Map<String, Long> begun = new HashMap<>();

  /** When a question about a job was last answered, and when it was first accepted. */
  private final Map<String, Long> answeredAt = new HashMap<>();

  InvariantChecker(SimulatedCluster world) {
    this.world = world;
  }

  void submitted(Submitted s) {
    jobs.put(s.id(), s);
  }

  Submitted job(String task) {
    return jobs.get(task.substring(0, task.lastIndexOf('/')));
  }

  boolean completed(String task) {
    return done.contains(task);
  }

  long left(String task) {
    startedAt.put(task, world.now());
    return Math.max(1, job(task).runMs() - progress.getOrDefault(task, 0L));
  }

  void saved(String task) {
    progress.merge(task, world.now() - startedAt.getOrDefault(task, world.now()), Long::sum);
  }

  void taskDone(String task) {
    done.add(task);
    String id = job(task).id();
    boolean last = true;
    for (int i = 0; i < jobs.get(id).tasks(); i++) {
      last &= done.contains(id + "/" + i);
    }
    if (last && cancelAtEnd != null) {
      cancelAtEnd.accept(id);
    }
  }

  /** Asked to cancel a job at the moment at which its last task ends; null: nobody does. */
  Consumer<String> cancelAtEnd;

  /** Jobs of which a task is on a machine, in order. */
  List<String> running() {
    return on.entrySet().stream()
        .filter(e -> !e.getValue().isEmpty())
        .map(e -> job(e.getKey()).id())
        .distinct()
        .toList();
  }

  Set<WorkerStub> machinesOf(String id) {
    Set<WorkerStub> found = new LinkedHashSet<>();
    onOf(id).values().forEach(found::addAll);
    return found;
  }

  int tasksOn(String id) {
    int n = 0;
    for (Set<WorkerStub> at : onOf(id).values()) {
      n += at.size();
    }
    return n;
  }

  /** Where the job's tasks are: the character after the slash closes the range. */
  private Map<String, Set<WorkerStub>> onOf(String id) {
    return on.subMap(id + "/", id + "0");
  }

  String toldOf(String id) {
    return told.get(id);
  }

  /** Once all troubles are over, a job about which nothing is answered for so long is forgotten. */
  static final long FORGOTTEN_MS = 75_000;

  /**
   * Once all troubles are over, a job that has waited so long must not go on waiting while a
   * machine that fits has room and its team is under its limit.
   */
  static final long WAIT_MS = 90_000;

  /** How long there must have been that room without a break: a grant and a launch take seconds. */
  private static final long ROOM_MS = 10_000;

  private static final long SAMPLE_MS = 1_000;

  /** Since when there has been room for jobs that wait. */
  private final Map<String, Long> roomSince = new HashMap<>();

  private final Map<String, Long> acceptedAt = new HashMap<>();

  private boolean hasRoom(Submitted s) {
    double used = milliCpus.getOrDefault(s.team(), 0L) / 1000.0;
    for (Settings.Team t : world.teams) {
      if (t.name().equals(s.team()) && used + s.cpus() > t.cpusMax()) {
        return false;
      }
    }
    return world.workers.values().stream()
        .anyMatch(
            w ->
                w.freeCpus() >= s.cpus()
                    && (!w.spot || s.spot())
                    && (s.zone() == null || s.zone().equals(w.zone)));
  }

  void over(long troublesEnd) {
    answeredAt.forEach(
        (id, at) -> {
          if (world.now() - Math.max(at, troublesEnd) > FORGOTTEN_MS) {
            breaks("forgotten", id);
          }
        });
  }

  /**
   * Looks from now on whether jobs wait though they could run; to be called when the troubles are
   * over.
   */
  void watchWaiting() {
    sampleWaiting(world.now());
  }

  private void sampleWaiting(long troublesEnd) {
    jobs.values().forEach(s -> noteRoom(s, troublesEnd));
    world.after(SAMPLE_MS, () -> sampleWaiting(troublesEnd));
  }

  private void noteRoom(Submitted s, long troublesEnd) {
    Long accepted = acceptedAt.get(s.id());
    boolean waits = accepted != null && !begun.containsKey(s.id()) && !cancelAsked.contains(s.id());
    if (!waits || s.spread() || s.together() || !hasRoom(s)) {
      roomSince.remove(s.id());
      return;
    }
    long since = roomSince.computeIfAbsent(s.id(), k -> world.now());
    if (world.now() - Math.max(accepted, troublesEnd) > WAIT_MS && world.now() - since >= ROOM_MS) {
      breaks("waited", s.id());
    }
  }

  private void breaks(String rule, String what) {
    broken.add(rule + ": " + what);
  }

  void started(WorkerStub w, String task) {
    starts++;
    machinesUsed.add(w.name);
    Submitted s = job(task);
    begun.putIfAbsent(s.id(), world.now());
    Set<WorkerStub> at = on.computeIfAbsent(task, k -> new LinkedHashSet<>());
    if (!at.isEmpty()) {
      breaks("ran_twice", task);
    }
    if (at.add(w)) {
      milliCpus.merge(s.team(), Math.round(s.cpus() * 1000), Long::sum);
    }
    Long cancelled = cancelTold.get(s.id());
    if (cancelled != null && world.now() > cancelled + world.cancelMs) {
      breaks("ran_cancelled", task);
    }
    int here = 0;
    int elsewhere = 0;
    for (Set<WorkerStub> others : onOf(s.id()).values()) {
      for (WorkerStub o : others) {
        if (o.zone.equals(w.zone)) {
          here++;
        } else {
          elsewhere++;
        }
      }
    }
    if (w.spot && !s.spot()
        || s.zone() != null && !s.zone().equals(w.zone)
        || s.spread() && here > (s.tasks() + 1) / 2
        || s.together() && elsewhere > 0) {
      breaks("wrong_place", task);
    }
    double used = milliCpus.get(s.team()) / 1000.0;
    for (Settings.Team t : world.teams) {
      if (t.name().equals(s.team()) && used > t.cpusMax() + 1e-6) {
        breaks("quota", s.team());
      }
    }
  }

  /** Jobs of which a task that ran has left its machine. */
  final Set<String> everLeft = new HashSet<>();

  /** Machines on which a task has started. */
  final Set<String> machinesUsed = new HashSet<>();

  void left(WorkerStub w, String task) {
    everLeft.add(task.substring(0, task.lastIndexOf('/')));
    Set<WorkerStub> at = on.get(task);
    if (at != null && at.remove(w)) {
      Submitted s = job(task);
      milliCpus.merge(s.team(), -Math.round(s.cpus() * 1000), Long::sum);
    }
  }

  /** Tasks whose lease ended while their machine hung: for a cancellation they are still there. */
  private final Map<WorkerStub, Set<String>> stuck = new HashMap<>();

  void stuck(WorkerStub w, String task) {
    stuck.computeIfAbsent(w, k -> new HashSet<>()).add(job(task).id());
  }

  void unstuck(WorkerStub w) {
    stuck.remove(w);
  }

  /** The highest epoch in which each worker has obeyed. */
  private final Map<String, Long> obeyedEpochs = new HashMap<>();

  /**
   * A worker obeyed a message with this token: its epoch must be of a claim of the controller that
   * sent it. Which process of several on loopback sent it cannot be told.
   */
  void obeyed(String worker, long token, String from) {
    long epoch = token >> Constants.TOKEN_BITS;
    String claimant = world.probe.claimant(epoch);
    if (claimant == null || !from.equals(claimant) && !from.equals(ProcessCluster.ANY)) {
      breaks("not_the_owner", worker + " obeyed " + from + " in epoch " + epoch);
    }
    long before = obeyedEpochs.merge(worker, epoch, Math::max);
    if (epoch < before) {
      breaks("obeyed_old_epoch", worker + " obeyed epoch " + epoch + " after " + before);
    }
  }

  /** The final states that users were told, by job: there may be one only. */
  private final Map<String, Set<String>> finalAnswers = new HashMap<>();

  private void noteFinal(String id, String status) {
    if (status.equals("done") || status.equals("cancelled")) {
      Set<String> told = finalAnswers.computeIfAbsent(id, k -> new TreeSet<>());
      told.add(status);
      if (told.size() > 1) {
        breaks("two_final_answers", id);
      }
    }
  }

  void abortAsked(String id) {
    cancelAsked.add(id);
  }

  /**
   * What a user was told, and what had been told when the request was sent: an answer that was
   * under way at the same time as another may come after it.
   */
  void answered(String id, int status, JsonNode body, String before) {
    if (status == 404 && before != null) {
      breaks("forgotten", id);
    }
    if ((status == 400 || status == 422) && before != null) {
      breaks("forgotten", id);
    }
    if (status != 200 && status != 201) {
      return;
    }
    if (!jobs.containsKey(id)) {
      breaks("invented", id);
      return;
    }
    acceptedAt.putIfAbsent(id, world.now());
    answeredAt.put(id, world.now());
    String now = body.path("status").asText();
    noteFinal(id, now);
    boolean wasFinal = "done".equals(before) || "cancelled".equals(before);
    if (wasFinal && !now.equals(before) || now.equals("cancelled") && !cancelAsked.contains(id)) {
      breaks("went_back", id);
    }
    if (now.equals("done")) {
      doneTold.putIfAbsent(id, world.now());
      for (int i = 0; i < jobs.get(id).tasks(); i++) {
        if (!done.contains(id + "/" + i)) {
          breaks("not_done", id);
        }
      }
    }
    if (now.equals("cancelled") && cancelTold.putIfAbsent(id, world.now()) == null) {
      world.after(
          world.cancelMs,
          () -> {
            if (tasksOn(id) > 0 || stuck.values().stream().anyMatch(s -> s.contains(id))) {
              breaks("ran_cancelled", id);
            }
          });
    }
    String last = told.get(id);
    if (!"done".equals(last) && !"cancelled".equals(last)) {
      told.put(id, now);
    }
  }
}
