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
  private double freeCpus;
  private double freeGpus;
  private double freeMemoryGb;
  private int tasks;
  private Set<String> jobs = new HashSet<>();
  private boolean jobsShared;

  private MachineCapacity(Machine machine, MachineType type) {
    this(machine, type.cpus(), type.gpus(), type.memoryGb());
  }

  private MachineCapacity(Machine machine, double freeCpus, double freeGpus, double freeMemoryGb) {
    this.machine = machine;
    this.freeCpus = freeCpus;
    this.freeGpus = freeGpus;
    this.freeMemoryGb = freeMemoryGb;
  }

  /** Returns null for a machine of an unknown type. */
  public static MachineCapacity of(StateCache cache, Machine machine) {
    MachineType type = cache.type(machine.type());
    if (type == null) {
      return null;
    }
    MachineCapacity capacity = new MachineCapacity(machine, type);
    for (Map.Entry<TaskId, Integer> entry : machine.tasks().entrySet()) {
      StateCache.Entry<Job> job = cache.jobs.get(entry.getKey().job());
      if (job != null) {
        capacity.reserve(job.value().spec());
      }
    }
    return capacity;
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
    MachineCapacity copy = new MachineCapacity(machine, freeCpus, freeGpus, freeMemoryGb);
    copy.tasks = tasks;
    copy.jobs = jobs;
    copy.jobsShared = true;
    jobsShared = true;
    return copy;
  }

  public Machine machine() {
    return machine;
  }

  public double freeCpus() {
    return freeCpus;
  }

  public double freeGpus() {
    return freeGpus;
  }

  public double freeMemoryGb() {
    return freeMemoryGb;
  }

  /** Whether a task of the job is on the machine. */
  public boolean hasTaskOf(String job) {
    return jobs.contains(job);
  }

  public int tasks() {
    return tasks;
  }

  /** Whether a task of the job meets the constraints and fits into the free capacity. */
  public boolean fits(JobSpec spec) {
    return hasResourcesFor(spec, 0, 0, 0) && meetsConstraints(spec);
  }

  /** Whether the task would fit if the given amounts were free in addition. */
  public boolean hasResourcesFor(
      JobSpec spec, double extraCpus, double extraGpus, double extraMemoryGb) {
    return freeCpus + extraCpus + Constants.EPS >= spec.cpus()
        && freeGpus + extraGpus + Constants.EPS >= spec.gpus()
        && freeMemoryGb + extraMemoryGb + Constants.EPS >= spec.memoryGb();
  }

  /** Whether the task may run on the machine, regardless of its free resources. */
  public boolean meetsConstraints(JobSpec spec) {
    return tasks < Constants.MAX_TASKS_PER_MACHINE
        && allowed(spec, machine.type(), machine.zone(), machine.spot())
        // Replicas of a service do not share a machine (anti-affinity).
        && !(spec.service() && jobs.contains(spec.id()));
  }

  public static boolean allowed(JobSpec spec, String type, String zone, boolean spot) {
    return spec.typeAllowed(type)
        && (spec.zone() == null || spec.zone().equals(zone))
        && (spec.spot() || !spot);
  }

  /** Releases the resources of a task on the machine. */
  public void release(JobSpec spec) {
    freeCpus += spec.cpus();
    freeGpus += spec.gpus();
    freeMemoryGb += spec.memoryGb();
    tasks--;
  }

  /**
   * Preference among machines on which the task fits; higher is better. A service prefers machines
   * that have its image, on which it starts at once. Other jobs prefer spot machines, which leaves
   * the rest to jobs that need them. Empty machines are used last, as in the search.
   */
  public int rank(JobSpec spec) {
    int image = machine.images().contains(spec.image()) ? 1 : 0;
    int used = tasks > 0 ? 1 : 0;
    return spec.service()
        ? image * 2 + used
        : (spec.spot() && machine.spot() ? 4 : 0) + used * 2 + image;
  }

  /**
   * Whether the task is better placed on this machine than on the other. Among machines of equal
   * rank the one with the fewest free CPUs is better, as in the search, so that other machines
   * become empty; then the oldest for services, which stay, and the newest for arrays, which end
   * soon. Callers must compare machines in order of age, oldest first.
   */
  public boolean isBetterThan(MachineCapacity other, JobSpec spec) {
    int rank = rank(spec);
    int otherRank = other.rank(spec);
    if (rank != otherRank) {
      return rank > otherRank;
    }
    double difference = freeCpus - other.freeCpus;
    return Math.abs(difference) > Constants.EPS ? difference < 0 : !spec.service();
  }

  public void reserve(JobSpec spec) {
    freeCpus -= spec.cpus();
    freeGpus -= spec.gpus();
    freeMemoryGb -= spec.memoryGb();
    tasks++;
    if (jobsShared) {
      jobs = new HashSet<>(jobs);
      jobsShared = false;
    }
    jobs.add(spec.id());
  }

  /** Number of tasks of the job that fit, up to a maximum. */
  public int countFitting(JobSpec spec, int max) {
    if (!fits(spec)) {
      return 0;
    }
    int count = spec.service() ? 1 : max;
    count = Math.min(count, Constants.MAX_TASKS_PER_MACHINE - tasks);
    count = limit(count, freeCpus, spec.cpus());
    count = limit(count, freeGpus, spec.gpus());
    return limit(count, freeMemoryGb, spec.memoryGb());
  }

  /** Tentatively places as many of the tasks as fit; returns how many remain. */
  public int fill(JobSpec spec, int count) {
    int fitting = countFitting(spec, count);
    for (int i = 0; i < fitting; i++) {
      reserve(spec);
    }
    return count - fitting;
  }

  private static int limit(int count, double available, double perTask) {
    return perTask <= 0 ? count : Math.min(count, (int) ((available + Constants.EPS) / perTask));
  }
}
