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

/** Watches the simulated cluster and records each broken rule by its name in the protocol. */
final class InvariantChecker {
  /** A job as its user submitted it. */
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
      boolean uneven,
      long runMs) {

    /** Run time of a task; of uneven jobs, tasks with an odd number run three times as long. */
    long runMs(int task) {
      return uneven && task % 2 == 1 ? 3 * runMs : runMs;
    }
  }

  private final SimulatedCluster cluster;
  private final Map<String, Submitted> jobs = new HashMap<>();
  private final TreeMap<String, Set<WorkerStub>> machinesByTask = new TreeMap<>();

  /** Thousandths of a CPU in use by each team, updated when a task starts or leaves a machine. */
  private final Map<String, Long> milliCpusInUse = new HashMap<>();

  private final Map<String, Long> startedAt = new HashMap<>();
  private final Map<String, Long> progress = new HashMap<>();
  private final Set<String> done = new HashSet<>();
  private final Map<String, String> lastStatusTold = new HashMap<>();
  final Map<String, Long> cancelledToldAt = new HashMap<>();
  private final Set<String> cancelRequested = new HashSet<>();
  final Map<String, Long> doneToldAt = new LinkedHashMap<>();
  final Set<String> violations = new TreeSet<>();
  int starts;

  /** Time at which a task of each job first started. */
  final Map<String, Long> firstStartedAt = new HashMap<>();

  /** Time at which a request about each job was last answered. */
  private final Map<String, Long> answeredAt = new HashMap<>();

  InvariantChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void submitted(Submitted job) {
    jobs.put(job.id(), job);
  }

  Submitted job(String task) {
    return jobs.get(task.substring(0, task.lastIndexOf('/')));
  }

  boolean completed(String task) {
    return done.contains(task);
  }

  long remainingMs(String task) {
    startedAt.put(task, cluster.now());
    int index = Integer.parseInt(task.substring(task.indexOf('/') + 1));
    return Math.max(1, job(task).runMs(index) - progress.getOrDefault(task, 0L));
  }

  void checkpointSaved(String task) {
    progress.merge(task, cluster.now() - startedAt.getOrDefault(task, cluster.now()), Long::sum);
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

  /**
   * Called with a job's id when its last task completes, to cancel it at that moment; may be null.
   */
  Consumer<String> cancelAtEnd;

  /** Jobs with a task on a machine, in order of the tasks' ids. */
  List<String> running() {
    return machinesByTask.entrySet().stream()
        .filter(e -> !e.getValue().isEmpty())
        .map(e -> job(e.getKey()).id())
        .distinct()
        .toList();
  }

  Set<WorkerStub> machinesOf(String id) {
    Set<WorkerStub> found = new LinkedHashSet<>();
    machinesByTaskOf(id).values().forEach(found::addAll);
    return found;
  }

  int tasksOn(String id) {
    int count = 0;
    for (Set<WorkerStub> machines : machinesByTaskOf(id).values()) {
      count += machines.size();
    }
    return count;
  }

  /** The machines of each task of a job; '0', which follows '/', ends the range of its tasks. */
  private Map<String, Set<WorkerStub>> machinesByTaskOf(String id) {
    return machinesByTask.subMap(id + "/", id + "0");
  }

  String lastStatusTold(String id) {
    return lastStatusTold.get(id);
  }

  /** Once all faults are over, a job counts as forgotten after this time without an answer. */
  static final long FORGOTTEN_AFTER_MS = 75_000;

  /**
   * Once all faults are over, a job must not wait longer than this while a suitable machine has
   * free capacity and the job's team is below its quota.
   */
  static final long WAIT_LIMIT_MS = 90_000;

  /**
   * How long that capacity must have been free without interruption, since a grant and a launch
   * take seconds.
   */
  private static final long CAPACITY_FREE_MS = 10_000;

  private static final long SAMPLE_MS = 1_000;

  /** Time since which there has been free capacity for each waiting job. */
  private final Map<String, Long> capacitySince = new HashMap<>();

  private final Map<String, Long> acceptedAt = new HashMap<>();

  private boolean hasCapacityFor(Submitted job) {
    double used = milliCpusInUse.getOrDefault(job.team(), 0L) / 1000.0;
    for (Settings.Team team : cluster.teams) {
      if (team.name().equals(job.team()) && used + job.cpus() > team.cpusMax()) {
        return false;
      }
    }
    return cluster.workers.values().stream()
        .anyMatch(
            worker ->
                worker.freeCpus() >= job.cpus()
                    && (!worker.spot || job.spot())
                    && (job.zone() == null || job.zone().equals(worker.zone)));
  }

  void checkForgotten(long faultsEndAt) {
    answeredAt.forEach(
        (id, at) -> {
          if (cluster.now() - Math.max(at, faultsEndAt) > FORGOTTEN_AFTER_MS) {
            recordViolation("forgotten", id);
          }
        });
  }

  /**
   * Starts checking for jobs that wait though they could run; to be called when all faults are
   * over.
   */
  void watchWaitingJobs() {
    sampleWaitingJobs(cluster.now());
  }

  private void sampleWaitingJobs(long faultsEndAt) {
    jobs.values().forEach(s -> checkWaiting(s, faultsEndAt));
    cluster.after(SAMPLE_MS, () -> sampleWaitingJobs(faultsEndAt));
  }

  private void checkWaiting(Submitted job, long faultsEndAt) {
    Long accepted = acceptedAt.get(job.id());
    boolean waits =
        accepted != null
            && !firstStartedAt.containsKey(job.id())
            && !cancelRequested.contains(job.id());
    if (!waits || job.spread() || job.together() || !hasCapacityFor(job)) {
      capacitySince.remove(job.id());
      return;
    }
    long since = capacitySince.computeIfAbsent(job.id(), k -> cluster.now());
    if (cluster.now() - Math.max(accepted, faultsEndAt) > WAIT_LIMIT_MS
        && cluster.now() - since >= CAPACITY_FREE_MS) {
      recordViolation("waited", job.id());
    }
  }

  private void recordViolation(String rule, String subject) {
    violations.add(rule + ": " + subject);
  }

  void taskStarted(WorkerStub worker, String task) {
    starts++;
    machinesUsed.add(worker.name);
    Submitted job = job(task);
    firstStartedAt.putIfAbsent(job.id(), cluster.now());
    Set<WorkerStub> machines = machinesByTask.computeIfAbsent(task, k -> new LinkedHashSet<>());
    if (!machines.isEmpty()) {
      recordViolation("ran_twice", task);
    }
    if (machines.add(worker)) {
      milliCpusInUse.merge(job.team(), Math.round(job.cpus() * 1000), Long::sum);
    }
    Long cancelled = cancelledToldAt.get(job.id());
    if (cancelled != null && cluster.now() > cancelled + cluster.cancelMs) {
      recordViolation("ran_cancelled", task);
    }
    int here = 0;
    int elsewhere = 0;
    for (Set<WorkerStub> others : machinesByTaskOf(job.id()).values()) {
      for (WorkerStub other : others) {
        if (other.zone.equals(worker.zone)) {
          here++;
        } else {
          elsewhere++;
        }
      }
    }
    if (worker.spot && !job.spot()
        || job.zone() != null && !job.zone().equals(worker.zone)
        || job.spread() && here > (job.tasks() + 1) / 2
        || job.together() && elsewhere > 0) {
      recordViolation("wrong_place", task);
    }
    double used = milliCpusInUse.get(job.team()) / 1000.0;
    for (Settings.Team team : cluster.teams) {
      if (team.name().equals(job.team()) && used > team.cpusMax() + 1e-6) {
        recordViolation("quota", job.team());
      }
    }
  }

  /** Jobs of which a task has left its machine after it had started. */
  final Set<String> jobsWithStoppedTask = new HashSet<>();

  /** Machines on which a task has started. */
  final Set<String> machinesUsed = new HashSet<>();

  void taskLeft(WorkerStub worker, String task) {
    jobsWithStoppedTask.add(task.substring(0, task.lastIndexOf('/')));
    Set<WorkerStub> machines = machinesByTask.get(task);
    if (machines != null && machines.remove(worker)) {
      Submitted job = job(task);
      milliCpusInUse.merge(job.team(), -Math.round(job.cpus() * 1000), Long::sum);
    }
  }

  /**
   * By hung machine: jobs with active tasks on it when its worker's lease expired. The check of a
   * cancellation still counts these tasks as running.
   */
  private final Map<WorkerStub, Set<String>> jobsOnHungMachines = new HashMap<>();

  void lostWhileHung(WorkerStub worker, String task) {
    jobsOnHungMachines.computeIfAbsent(worker, k -> new HashSet<>()).add(job(task).id());
  }

  void clearHung(WorkerStub worker) {
    jobsOnHungMachines.remove(worker);
  }

  /** The highest epoch of the messages that each worker has obeyed. */
  private final Map<String, Long> obeyedEpochs = new HashMap<>();

  /**
   * Checks a message that a worker obeyed: the epoch of its token must be that of a claim of the
   * controller that sent it. The sender is unknown if the controllers are processes on loopback.
   */
  void obeyed(String worker, long token, String from) {
    long epoch = token >> Constants.TOKEN_BITS;
    String claimant = cluster.probe.claimant(epoch);
    if (claimant == null || !from.equals(claimant) && !from.equals(ProcessCluster.ANY_CONTROLLER)) {
      recordViolation("not_the_owner", worker + " obeyed " + from + " in epoch " + epoch);
    }
    long highestBefore = obeyedEpochs.merge(worker, epoch, Math::max);
    if (epoch < highestBefore) {
      recordViolation(
          "obeyed_old_epoch", worker + " obeyed epoch " + epoch + " after " + highestBefore);
    }
  }

  /** The final statuses that users were told, by job: at most one is allowed. */
  private final Map<String, Set<String>> finalStatusesTold = new HashMap<>();

  private void recordFinalStatus(String id, String status) {
    if (status.equals("done") || status.equals("cancelled")) {
      Set<String> statuses = finalStatusesTold.computeIfAbsent(id, k -> new TreeSet<>());
      statuses.add(status);
      if (statuses.size() > 1) {
        recordViolation("two_final_answers", id);
      }
    }
  }

  void abortRequested(String id) {
    cancelRequested.add(id);
  }

  /**
   * Checks an answer to a user. {@code statusBefore} is the status that users had been told when
   * the request was sent, since answers to concurrent requests may arrive in any order.
   */
  void answered(String id, int status, JsonNode body, String statusBefore) {
    if (status == 404 && statusBefore != null) {
      recordViolation("forgotten", id);
    }
    if ((status == 400 || status == 422) && statusBefore != null) {
      recordViolation("forgotten", id);
    }
    if (status != 200 && status != 201) {
      return;
    }
    if (!jobs.containsKey(id)) {
      recordViolation("invented", id);
      return;
    }
    acceptedAt.putIfAbsent(id, cluster.now());
    answeredAt.put(id, cluster.now());
    String newStatus = body.path("status").asText();
    recordFinalStatus(id, newStatus);
    boolean wasFinal = "done".equals(statusBefore) || "cancelled".equals(statusBefore);
    if (wasFinal && !newStatus.equals(statusBefore)
        || newStatus.equals("cancelled") && !cancelRequested.contains(id)) {
      recordViolation("went_back", id);
    }
    if (newStatus.equals("done")) {
      doneToldAt.putIfAbsent(id, cluster.now());
      for (int i = 0; i < jobs.get(id).tasks(); i++) {
        if (!done.contains(id + "/" + i)) {
          recordViolation("not_done", id);
        }
      }
    }
    if (newStatus.equals("cancelled") && cancelledToldAt.putIfAbsent(id, cluster.now()) == null) {
      cluster.after(
          cluster.cancelMs,
          () -> {
            if (tasksOn(id) > 0
                || jobsOnHungMachines.values().stream().anyMatch(s -> s.contains(id))) {
              recordViolation("ran_cancelled", id);
            }
          });
    }
    String lastTold = lastStatusTold.get(id);
    if (!"done".equals(lastTold) && !"cancelled".equals(lastTold)) {
      lastStatusTold.put(id, newStatus);
    }
  }
}
