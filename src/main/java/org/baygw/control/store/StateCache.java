package org.baygw.control.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.baygw.control.model.Job;
import org.baygw.control.model.Machine;
import org.baygw.control.model.MachineType;
import org.baygw.control.model.Partition;
import org.baygw.control.model.PartitionRecord;
import org.baygw.control.model.Progress;
import org.baygw.control.model.Records;
import org.baygw.control.model.Rental;
import org.baygw.control.model.SchedulingParameters;
import org.baygw.control.model.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Parsed cache of the state service's keys, with the indexes that the other packages need. An entry
 * is replaced only by one with a newer stamp, so late and repeated answers do no harm. The cost of
 * applying a change depends on what changed, not on the size of the record or of the cache.
 */
public final class StateCache {
  /** A value with its stamp, the revision of its key's last change. */
  public record Entry<T>(T value, long stamp) {}

  /** Owner of a claim, and the lease that the claim's key is attached to. */
  public record Claim(String owner, long leaseId) {}

  /**
   * A live controller. One that cannot reach its workers leaves the partitions to the others; one
   * that is leaving hands all its roles over to them.
   */
  public record Member(String zone, long leaseId, boolean reachesWorkers, boolean leaving) {}

  /** State of a machine that is being drained. */
  public enum Drain {
    /** The machine was given up: it is returned even with tasks on it. */
    GIVEN_UP,
    /** The machine is not needed: it is returned unless it was given tasks meanwhile. */
    IDLE,
    /** The cloud has taken the machine back. */
    GONE
  }

  private static final Logger LOG = LoggerFactory.getLogger(StateCache.class);

  private final KeyVersions versions = new KeyVersions();
  private boolean inconsistent;
  private long revision;
  private long changeCount;

  /** Number of changes of claims and members. */
  private long ownershipChangeCount;

  public final Map<String, Entry<Job>> jobs = new HashMap<>();

  /** Jobs that are open or still have progress keys; only the state of the others is needed. */
  public final Map<String, Entry<Job>> activeJobs = new LinkedHashMap<>();

  /** Progress by job and chunk, including the ended tasks in the partitions' records. */
  public final Map<String, TreeMap<Integer, Entry<Progress>>> progress = new HashMap<>();

  public final Map<String, Entry<Machine>> machines = new HashMap<>();
  public final Map<String, Entry<Claim>> claims = new HashMap<>();
  public final TreeMap<String, Entry<Member>> members = new TreeMap<>();
  public final TreeMap<String, Entry<Rental>> rentals = new TreeMap<>();
  public final TreeMap<String, Drain> drains = new TreeMap<>();
  public final Set<String> cordons = new HashSet<>();
  public List<MachineType> types = List.of();
  public SchedulingParameters params = SchedulingParameters.DEFAULTS;

  /** Partitions per zone; 0 until the number is durable. */
  private int partitionsPerZone;

  /** Additions of machines whose keys arrived before the number of partitions, by name. */
  private final Map<String, Runnable> machinesBeforeLayout = new LinkedHashMap<>();

  /** Progress as stored, by key, without the ended tasks in the partitions' records. */
  private final Map<String, Progress> storedProgress = new HashMap<>();

  private final Map<Partition, Set<String>> machinesByPartition = new HashMap<>();
  private final PartitionPages pages = new PartitionPages();
  private final TaskIndex tasks = new TaskIndex(this::grant);

  private final EndedTaskIndex endedTasks = new EndedTaskIndex();
  private final Map<Partition, Map<String, Drain>> drainsByPartition = new HashMap<>();

  private Set<String> changedMachines = new LinkedHashSet<>();

  private final CancellationIndex cancellations = new CancellationIndex();

  public long revision() {
    return revision;
  }

  /** Increases with every change, so that callers can skip a pass over unchanged data. */
  public long changeCount() {
    return changeCount;
  }

  /** Increases with every change of a claim or a member. */
  public long ownershipChangeCount() {
    return ownershipChangeCount;
  }

  public int partitionsPerZone() {
    return partitionsPerZone;
  }

  public long stamp(String key) {
    return versions.stamp(key);
  }

  public MachineType type(String name) {
    for (MachineType t : types) {
      if (t.name().equals(name)) {
        return t;
      }
    }
    return null;
  }

  public Progress progress(String job, int chunk) {
    TreeMap<Integer, Entry<Progress>> chunks = progress.get(job);
    Entry<Progress> entry = chunks == null ? null : chunks.get(chunk);
    return entry == null ? null : entry.value();
  }

  /**
   * Progress as its key stores it. Null if there is no such key; then the partitions' records need
   * not keep the chunk's ended tasks either.
   */
  public Progress storedProgress(String job, int chunk) {
    return storedProgress.get(Keys.progress(job, chunk));
  }

  /**
   * Whether a job's tasks should run: the job is open, and no peer has reported its cancellation. A
   * durable cancellation is final, so it takes effect before this cache has reached it; answers to
   * users depend on the job's key alone.
   */
  public boolean shouldRun(String job) {
    Entry<Job> j = jobs.get(job);
    return j != null && j.value().open() && !cancellations.isReported(job);
  }

  public boolean isCancelled(String job) {
    Entry<Job> j = jobs.get(job);
    return cancellations.isReported(job) || j != null && j.value().state() == Job.State.CANCELLED;
  }

  /** Time of day, in ms, at which the cancellation of a cancelled job was written. */
  public long cancelledMs(String job) {
    if (cancellations.isReported(job)) {
      return cancellations.reportedMs(job);
    }
    Entry<Job> entry = jobs.get(job);
    return entry == null ? 0 : entry.value().cancelledMs();
  }

  /** Adds a cancellation that a peer reported, which became durable at the revision. */
  public void addPeerCancellation(String job, long stamp, long cancelledMs) {
    if (stamp > revision && cancellations.addReported(job, stamp, cancelledMs)) {
      changeCount++;
      markMachinesChanged(job);
    }
  }

  /** Jobs in this cache that were cancelled after a revision, by revision of the cancellation. */
  public SortedMap<Long, Set<String>> cancelledAfter(long revision) {
    return cancellations.recordedAfter(revision);
  }

  private void markMachinesChanged(String job) {
    for (Entry<Progress> c : progress.getOrDefault(job, NO_CHUNKS).values()) {
      for (int i : c.value().live.keySet()) {
        changedMachines.addAll(tasks.machinesWith(new TaskId(job, i)));
      }
    }
  }

  /** Pages of the partitions' records. */
  public PartitionPages pages() {
    return pages;
  }

  private String condition(Partition partition, String machine) {
    return pages.find(partition, r -> r.conditionsByMachine().get(machine));
  }

  /** Names of a partition's machines. */
  public Set<String> machinesOf(Partition partition) {
    return machinesByPartition.getOrDefault(partition, Set.of());
  }

  /** Tasks on a machine by its partition's record, with their attempts. */
  public Map<TaskId, Integer> tasksOn(String machine) {
    return tasks.tasksOn(machine);
  }

  /** Machines that may have the task; more than one only in case of a fault. */
  public Set<String> machinesWith(TaskId task) {
    return tasks.machinesWith(task);
  }

  /** Number of tasks granted to a partition. */
  public int grantedCount(Partition partition) {
    return tasks.grantedCount(partition);
  }

  /** Tasks granted to a partition that are on no machine. */
  public Set<TaskId> unplaced(Partition partition) {
    return tasks.unplaced(partition);
  }

  /** Number of a job's completed tasks, including those not yet in its stored progress. */
  public int doneCount(String job) {
    int count = 0;
    for (Entry<Progress> chunk : progress.getOrDefault(job, NO_CHUNKS).values()) {
      count += chunk.value().doneCount();
    }
    return count;
  }

  private static final TreeMap<Integer, Entry<Progress>> NO_CHUNKS = new TreeMap<>();

  /** Returns and resets the machines to check: those changed or with a task to stop. */
  public Set<String> takeChangedMachines() {
    Set<String> changed = changedMachines;
    changedMachines = new LinkedHashSet<>();
    return changed;
  }

  private void grantAdded(TaskId task, Progress.LiveTask grant) {
    tasks.addGrant(task, grant);
    if (grant.stopRequested()) {
      changedMachines.addAll(tasks.machinesWith(task));
    }
  }

  /** Grant of the task, or null. */
  public Progress.LiveTask grant(TaskId task) {
    Progress p = progress(task.job(), Progress.chunkOf(task.index()));
    return p == null ? null : p.live.get(task.index());
  }

  /** Notes that all changes up to the revision have been applied. */
  void advanceTo(long rev) {
    if (rev > revision) {
      revision = rev;
      versions.advanceTo(rev);
      cancellations.advanceTo(rev);
    }
  }

  Set<String> keys() {
    return versions.keys();
  }

  /** Number of keys whose latest value cannot be decoded. */
  public int undecodableCount() {
    return versions.undecodableCount();
  }

  /** Whether a page of the partition's record cannot be decoded, so that its tasks are unknown. */
  public boolean hasUndecodableRecord(String partition) {
    return versions.hasUndecodableRecord(partition);
  }

  /**
   * Whether a change failed half-way, so that the indexes may contradict each other and nothing may
   * be decided from this cache any more.
   */
  public boolean inconsistent() {
    return inconsistent;
  }

  boolean isNewer(String key, long stamp) {
    return versions.isNewer(key, stamp);
  }

  void put(String key, JsonNode value, long stamp) {
    if (!isNewer(key, stamp)) {
      return;
    }
    Runnable change;
    try {
      change = decode(key, value, stamp);
    } catch (RuntimeException e) {
      LOG.error("cannot decode the value of {} at revision {}", key, stamp, e);
      versions.couldNotDecode(key, stamp);
      changeCount++;
      return;
    }
    if (run(change, key, stamp)) {
      versions.applied(key, stamp);
    }
  }

  void delete(String key, long stamp) {
    if (!isNewer(key, stamp)) {
      return;
    }
    if (stamp(key) == 0 || run(decode(key, null, stamp), key, stamp)) {
      versions.deleted(key, stamp, revision);
    }
  }

  /**
   * Makes a decoded change; one that fails, or ends with an error, leaves an inconsistent cache.
   */
  private boolean run(Runnable change, String key, long stamp) {
    changeCount++;
    boolean applied = false;
    try {
      change.run();
      applied = true;
    } catch (RuntimeException e) {
      LOG.error("inconsistent since the change of {} at revision {}", key, stamp, e);
    } finally {
      inconsistent |= !applied;
    }
    return applied;
  }

  /**
   * Decodes a key's value, null if the key was deleted, and returns the change that it makes.
   * Nothing is changed before the returned action runs.
   */
  private Runnable decode(String key, JsonNode value, long stamp) {
    String[] segments = key.split("/", 4);
    String id = segments.length > 2 ? segments[2] : "";
    return switch (segments.length > 1 ? segments[1] : "") {
      case "job" -> decodeJob(id, value, stamp);
      case "prog" -> decodeProgress(key, id, Integer.parseInt(segments[3]), value, stamp);
      case "run" -> {
        int page = segments.length > 3 ? Integer.parseInt(segments[3]) : 0;
        yield decodePage(Partition.parse(id), page, value);
      }
      case "machine" -> decodeMachine(id, value, stamp);
      case "layout" -> {
        int perZone = value == null ? 0 : value.path("partitions_per_zone").asInt();
        yield () -> layoutChanged(perZone);
      }
      case "claim" -> {
        Claim claim =
            value == null
                ? null
                : new Claim(value.path("owner").asText(), value.path("hold").asLong());
        yield () -> setOwnership(claims, id, claim, stamp);
      }
      case "member" -> {
        Member member = value == null ? null : decodeMember(value);
        yield () -> setOwnership(members, id, member, stamp);
      }
      case "rent" -> {
        Rental rental = value == null ? null : Records.rental(value);
        yield () -> set(rentals, id, rental, stamp);
      }
      case "drain" -> decodeDrains(Partition.parse(id), value);
      case "cordon" -> value == null ? () -> cordons.remove(id) : () -> cordons.add(id);
      case "types" -> {
        List<MachineType> decoded = value == null ? List.of() : Records.types(value);
        yield () -> types = decoded;
      }
      case "params" -> {
        SchedulingParameters defaults = SchedulingParameters.DEFAULTS;
        SchedulingParameters decoded = value == null ? defaults : defaults.merge(value);
        yield () -> params = decoded;
      }
      default -> () -> LOG.debug("unknown key {}", key);
    };
  }

  private Runnable decodeJob(String id, JsonNode value, long stamp) {
    Job job = value == null ? null : Records.job(id, value);
    return () -> {
      set(jobs, id, job, stamp);
      updateActive(id);
      if (job != null && !job.open()) {
        if (job.state() == Job.State.CANCELLED) {
          cancellations.addRecorded(id, stamp);
        }
        markMachinesChanged(id);
      }
    };
  }

  private static Member decodeMember(JsonNode value) {
    return new Member(
        value.path("zone").asText(),
        value.path("hold").asLong(),
        value.path("reaches").asBoolean(true),
        value.path("leaving").asBoolean(false));
  }

  private <T> void setOwnership(Map<String, Entry<T>> map, String key, T value, long stamp) {
    ownershipChangeCount++;
    set(map, key, value, stamp);
  }

  private void layoutChanged(int perZone) {
    partitionsPerZone = perZone;
    if (perZone > 0) {
      List<Runnable> additions = List.copyOf(machinesBeforeLayout.values());
      machinesBeforeLayout.clear();
      additions.forEach(Runnable::run);
    }
  }

  private Runnable decodeMachine(String name, JsonNode value, long stamp) {
    if (value == null) {
      return () -> removeMachine(name, stamp);
    }
    Machine machine = Records.machine(name, value, Math.max(1, partitionsPerZone));
    return partitionsPerZone > 0
        ? () -> putMachine(name, machine, stamp)
        : () -> machinesBeforeLayout.put(name, () -> decodeMachine(name, value, stamp).run());
  }

  private void putMachine(String name, Machine decoded, long stamp) {
    Entry<Machine> old = machines.get(name);
    Machine machine = decoded.withTasks(tasksOn(name));
    String condition = condition(machine.partition(), name);
    if (condition != null) {
      machine = machine.withCondition(Machine.Condition.valueOf(condition));
    }
    for (String image : old == null ? List.<String>of() : old.value().images()) {
      machine = machine.withImage(image);
    }
    set(machines, name, withImages(machine, machine.tasks().keySet()), stamp);
    machinesByPartition.computeIfAbsent(machine.partition(), k -> new TreeSet<>()).add(name);
    changedMachines.add(name);
  }

  private void removeMachine(String name, long stamp) {
    machinesBeforeLayout.remove(name);
    Entry<Machine> old = machines.get(name);
    set(machines, name, null, stamp);
    if (old != null) {
      machinesByPartition.get(old.value().partition()).remove(name);
    }
    changedMachines.add(name);
  }

  private Runnable decodeDrains(Partition partition, JsonNode value) {
    Map<String, Drain> next = new HashMap<>();
    if (value != null) {
      value
          .fields()
          .forEachRemaining(e -> next.put(e.getKey(), Drain.valueOf(e.getValue().asText())));
    }
    return () -> drainsChanged(partition, next);
  }

  private void drainsChanged(Partition partition, Map<String, Drain> next) {
    for (String name : drains(partition).keySet()) {
      if (!next.containsKey(name)) {
        drains.remove(name);
        changedMachines.add(name);
      }
    }
    next.forEach(
        (name, drain) -> {
          if (drains.put(name, drain) != drain) {
            changedMachines.add(name);
          }
        });
    drainsByPartition.put(partition, next);
  }

  /** Machines of a partition that are being drained. */
  public Map<String, Drain> drains(Partition partition) {
    return drainsByPartition.getOrDefault(partition, Map.of());
  }

  private void updateActive(String job) {
    Entry<Job> entry = jobs.get(job);
    if (entry != null && (entry.value().open() || progress.containsKey(job))) {
      activeJobs.put(job, entry);
    } else {
      activeJobs.remove(job);
    }
  }

  private Runnable decodeProgress(String key, String job, int chunk, JsonNode value, long stamp) {
    Progress stored = value == null ? null : ProgressCodec.decode(chunk, value);
    return () -> progressChanged(key, job, chunk, stored, stamp);
  }

  private void progressChanged(String key, String job, int chunk, Progress stored, long stamp) {
    TreeMap<Integer, Entry<Progress>> chunks = progress.computeIfAbsent(job, k -> new TreeMap<>());
    Entry<Progress> old = chunks.get(chunk);
    if (old != null) {
      old.value().live.forEach((i, l) -> tasks.removeGrant(new TaskId(job, i), l));
    }
    Progress next = null;
    if (stored == null) {
      storedProgress.remove(key);
    } else {
      storedProgress.put(key, stored);
      next = endedTasks.merge(job, chunk, stored);
      next.live.forEach((i, l) -> grantAdded(new TaskId(job, i), l));
    }
    set(chunks, chunk, next, stamp);
    if (chunks.isEmpty()) {
      progress.remove(job);
    }
    updateActive(job);
  }

  private Runnable decodePage(Partition partition, int page, JsonNode value) {
    PartitionRecord next = value == null ? PartitionRecord.EMPTY : Records.partitionRecord(value);
    PageChange change = PageChange.between(pages.get(partition, page), next);
    return () -> pageChanged(partition, page, change);
  }

  private void pageChanged(Partition partition, int page, PageChange change) {
    pages.put(partition, page, change.next());
    for (String machine : change.removedMachines()) {
      // The machine may be on another page now, if the record was split into more pages.
      tasksChanged(
          machine,
          PartitionRecord.tasks(pages.find(partition, r -> r.tasksByMachine().get(machine))));
    }
    change.tasksByMachine().forEach(this::tasksChanged);
    change.machinesWithCondition().forEach(machine -> conditionChanged(partition, machine));
    String key = Keys.record(partition, page);
    change.endedByJob().forEach((job, ended) -> endedTasksChanged(key, job, ended));
  }

  private void conditionChanged(Partition partition, String machine) {
    Entry<Machine> entry = machines.get(machine);
    String text = condition(partition, machine);
    Machine.Condition condition =
        text == null ? Machine.Condition.OK : Machine.Condition.valueOf(text);
    if (entry != null && condition != entry.value().condition()) {
      machines.put(machine, new Entry<>(entry.value().withCondition(condition), entry.stamp()));
      changedMachines.add(machine);
    }
  }

  private void endedTasksChanged(String pageKey, String job, PageChange.EndedTasks ended) {
    endedTasks.set(job, pageKey, ended);
    ended.done().stream().forEach(i -> taskDone(job, i));
    ended.requeued().forEach((i, attempt) -> taskRequeued(job, i, attempt));
  }

  private void taskDone(String job, int index) {
    Progress chunk = progress(job, Progress.chunkOf(index));
    if (chunk != null && !chunk.isDone(index)) {
      Progress.LiveTask grant = chunk.live.get(index);
      if (grant != null) {
        tasks.removeGrant(new TaskId(job, index), grant);
      }
      chunk.complete(index);
    }
  }

  private void taskRequeued(String job, int index, int attempt) {
    Progress chunk = progress(job, Progress.chunkOf(index));
    if (chunk != null && chunk.isLive(index, attempt)) {
      tasks.removeGrant(new TaskId(job, index), chunk.live.get(index));
      chunk.requeue(index);
    }
  }

  private void tasksChanged(String machine, Map<TaskId, Integer> next) {
    Set<TaskId> added = tasks.setTasks(machine, next);
    Entry<Machine> entry = machines.get(machine);
    if (entry != null) {
      machines.put(
          machine, new Entry<>(withImages(entry.value().withTasks(next), added), entry.stamp()));
    }
    changedMachines.add(machine);
  }

  /** Adds the images of the tasks, since a machine fetches the image of each task it is given. */
  private Machine withImages(Machine machine, Set<TaskId> added) {
    Machine next = machine;
    for (TaskId task : added) {
      Entry<Job> job = jobs.get(task.job());
      if (job != null && !next.images().contains(job.value().spec().image())) {
        next = next.withImage(job.value().spec().image());
      }
    }
    return next;
  }

  private static <K, T> void set(Map<K, Entry<T>> map, K key, T value, long stamp) {
    if (value == null) {
      map.remove(key);
    } else {
      map.put(key, new Entry<>(value, stamp));
    }
  }
}
