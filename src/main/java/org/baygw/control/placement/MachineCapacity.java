package org.baygw.control.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baygw.control.Constants;
import org.baygw.control.model.Job;
import org.baygw.control.model.JobSpec;
import org.baygw.control.model.Machine;
import org.baygw.control.model.MachineType;
import org.baygw.control.model.Partition;
import org.baygw.control.model.TaskId;
import org.baygw.control.store.StateCache;

/** Free capacity of one machine, updated as tasks are tentatively placed on it. */
public final class MachineCapacity {
  private final Machine machine;
  private double cpus;
  private double gpus;
  private double memoryGb;
  private int tasks;
  private Set<String> jobs = new HashSet<>();
  private boolean shared;

  private MachineCapacity(Machine machine, MachineType type) {
    this(machine, type.cpus(), type.gpus(), type.memoryGb());
  }

  private MachineCapacity(Machine machine, double cpus, double gpus, double memoryGb) {
    this.machine = machine;
    this.cpus = cpus;
    this.gpus = gpus;
    this.memoryGb = memoryGb;
  }

  /** Returns null for a machine of an unknown type. */
  public static MachineCapacity of(StateCache view, Machine m) {
    MachineType type = view.type(m.type());
    if (type == null) {
      return null;
    }
    MachineCapacity r = new MachineCapacity(m, type);
    for (Map.Entry<TaskId, Integer> t : m.tasks().entrySet()) {
      StateCache.Entry<Job> j = view.jobs.get(t.getKey().job());
      if (j != null) {
        r.reserve(j.value().spec());
      }
    }
    return r;
  }

  /** Capacity of an empty machine that is booting or could be rented. */
  public static MachineCapacity empty(String name, MachineType type, String zone, boolean spot) {
    return new MachineCapacity(
        new Machine(
            name,
            type.name(),
            zone,
            spot,
            "",
            Machine.Condition.OK,
            Map.of(),
            List.of(),
            new Partition(zone, 0)),
        type);
  }

  /** An independent copy; the set of jobs is shared until one of the two changes it. */
  MachineCapacity copy() {
    MachineCapacity r = new MachineCapacity(machine, cpus, gpus, memoryGb);
    r.tasks = tasks;
    r.jobs = jobs;
    r.shared = true;
    shared = true;
    return r;
  }

  public Machine machine() {
    return machine;
  }

  public double freeCpus() {
    return cpus;
  }

  public double freeGpus() {
    return gpus;
  }

  public double freeMemoryGb() {
    return memoryGb;
  }

  /** Whether a task of the job is on the machine. */
  public boolean hasTaskOf(String job) {
    return jobs.contains(job);
  }

  public int tasks() {
    return tasks;
  }

  /** Whether a task of the job meets the constraints and fits into the free capacity. */
  public boolean fits(JobSpec s) {
    return hasResourcesFor(s, 0, 0, 0) && meetsConstraints(s);
  }

  /** Whether the task would fit if the given amounts were free in addition. */
  public boolean hasResourcesFor(JobSpec s, double moreCpus, double moreGpus, double moreMemoryGb) {
    return cpus + moreCpus + Constants.EPS >= s.cpus()
        && gpus + moreGpus + Constants.EPS >= s.gpus()
        && memoryGb + moreMemoryGb + Constants.EPS >= s.memoryGb();
  }

  /** Whether the task may run on the machine, regardless of its free resources. */
  public boolean meetsConstraints(JobSpec s) {
    return tasks < Constants.MAX_TASKS_PER_MACHINE
        && allowed(s, machine.type(), machine.zone(), machine.spot())
        // Replicas of a service do not share a machine (the design's anti-colocation).
        && !(s.service() && jobs.contains(s.id()));
  }

  public static boolean allowed(JobSpec s, String type, String zone, boolean spot) {
    return s.typeAllowed(type)
        && (s.zone() == null || s.zone().equals(zone))
        && (s.spot() || !spot);
  }

  /** Releases the resources of a task on the machine. */
  public void release(JobSpec s) {
    cpus += s.cpus();
    gpus += s.gpus();
    memoryGb += s.memoryGb();
    tasks--;
  }

  /**
   * Preference among machines on which the task fits; higher is better. A service prefers machines
   * that have its image, on which it starts at once. Other jobs prefer spot machines, which leaves
   * the rest to jobs that need them. Empty machines are used last, as in the search.
   */
  public int rank(JobSpec s) {
    int image = machine.images().contains(s.image()) ? 1 : 0;
    int used = tasks > 0 ? 1 : 0;
    return s.service() ? image * 2 + used : (s.spot() && machine.spot() ? 4 : 0) + used * 2 + image;
  }

  /**
   * Whether the task is better placed on this machine than on the other. Among machines of equal
   * rank the one with the fewest free CPUs is better, as in the search, so that other machines
   * become empty; then the oldest for services, which stay, and the newest for arrays, which end
   * soon. Callers must compare machines in order of age, oldest first.
   */
  public boolean isBetterThan(MachineCapacity than, JobSpec s) {
    int a = rank(s);
    int b = than.rank(s);
    if (a != b) {
      return a > b;
    }
    double more = cpus - than.cpus;
    return Math.abs(more) > Constants.EPS ? more < 0 : !s.service();
  }

  public void reserve(JobSpec s) {
    cpus -= s.cpus();
    gpus -= s.gpus();
    memoryGb -= s.memoryGb();
    tasks++;
    if (shared) {
      jobs = new HashSet<>(jobs);
      shared = false;
    }
    jobs.add(s.id());
  }

  /** Number of tasks of the job that fit, up to a maximum. */
  public int countFitting(JobSpec s, int most) {
    if (!fits(s)) {
      return 0;
    }
    int n = s.service() ? 1 : most;
    n = Math.min(n, Constants.MAX_TASKS_PER_MACHINE - tasks);
    n = least(n, cpus, s.cpus());
    n = least(n, gpus, s.gpus());
    return least(n, memoryGb, s.memoryGb());
  }

  /** Tentatively places as many of the tasks as fit; returns how many remain. */
  public int fill(JobSpec s, int waiting) {
    int n = countFitting(s, waiting);
    for (int i = 0; i < n; i++) {
      reserve(s);
    }
    return waiting - n;
  }

  private static int least(int n, double free, double each) {
    return each <= 0 ? n : Math.min(n, (int) ((free + Constants.EPS) / each));
  }
}
