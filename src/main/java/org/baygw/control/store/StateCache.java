package org.baygw.control.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.BitSet;
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
import org.baygw.control.Constants;
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

  /** Ended tasks of a job on a page: completed ones, and the ended attempts of the others. */
  private record PageEndedTasks(BitSet done, Map<Integer, Integer> requeued) {}

  private static final Logger LOG = LoggerFactory.getLogger(StateCache.class);

  private final Map<String, Long> stamps = new HashMap<>();
  private final Map<String, Long> tombstones = new HashMap<>();
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

  /** Progress as stored, by key, without the ended tasks in the partitions' records. */
  private final Map<String, Progress> storedProgress = new HashMap<>();

  private final Map<Partition, Set<String>> machinesByPartition = new HashMap<>();
  private final PartitionPages pages = new PartitionPages();
  private final TaskIndex tasks = new TaskIndex(this::grant);

  /** Ended tasks, by job and key of the page of a partition's record. */
  private final Map<String, Map<String, PageEndedTasks>> endedTasks = new HashMap<>();

  private final Map<Partition, Map<String, Drain>> drainsByPartition = new HashMap<>();

  private Set<String> changedMachines = new LinkedHashSet<>();

  /** Jobs that are cancelled in this cache, by the revision of their cancellation. */
  private final TreeMap<Long, Set<String>> cancelledByRevision = new TreeMap<>();

  /** A cancellation reported by a peer: its revision, and the time of day when it was written. */
  private record PeerCancellation(long stamp, long cancelledMs) {}

  /** Durable cancellations reported by peers, of revisions that this cache has not reached. */
  private final Map<String, PeerCancellation> peerCancellations = new HashMap<>();

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
    return stamps.getOrDefault(key, 0L);
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
    return j != null && j.value().open() && !peerCancellations.containsKey(job);
  }

  public boolean isCancelled(String job) {
    Entry<Job> j = jobs.get(job);
    return peerCancellations.containsKey(job)
        || j != null && j.value().state() == Job.State.CANCELLED;
  }

  /** Time of day, in ms, at which the cancellation of a cancelled job was written. */
  public long cancelledMs(String job) {
    PeerCancellation reported = peerCancellations.get(job);
    Entry<Job> j = jobs.get(job);
    return reported != null ? reported.cancelledMs() : j == null ? 0 : j.value().cancelledMs();
  }

  /** Adds a cancellation that a peer reported, which became durable at the revision. */
  public void addPeerCancellation(String job, long stamp, long cancelledMs) {
    if (stamp > revision
        && peerCancellations.putIfAbsent(job, new PeerCancellation(stamp, cancelledMs)) == null) {
      changeCount++;
      markMachinesChanged(job);
    }
  }

  /** Jobs in this cache that were cancelled after a revision, by revision of the cancellation. */
  public SortedMap<Long, Set<String>> cancelledAfter(long revision) {
    return cancelledByRevision.tailMap(revision, false);
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
      tombstones.values().removeIf(s -> s <= rev);
      peerCancellations.values().removeIf(t -> t.stamp() <= rev);
    }
  }

  Set<String> keys() {
    return new HashSet<>(stamps.keySet());
  }

  void put(String key, JsonNode value, long stamp) {
    if (stamp <= stamps.getOrDefault(key, 0L) || stamp <= tombstones.getOrDefault(key, 0L)) {
      return;
    }
    stamps.put(key, stamp);
    changeCount++;
    try {
      apply(key, value, stamp);
    } catch (RuntimeException e) {
      // A malformed value of another writer must not stop the controller; its stamp is kept.
      LOG.error("failed to apply the value of {}: {}", key, e.toString());
    }
  }

  void delete(String key, long stamp) {
    if (stamp <= stamps.getOrDefault(key, 0L) || stamp <= tombstones.getOrDefault(key, 0L)) {
      return;
    }
    stamps.remove(key);
    if (stamp > revision) {
      tombstones.put(key, stamp);
    }
    changeCount++;
    apply(key, null, stamp);
  }

  private void apply(String key, JsonNode v, long stamp) {
    String[] segments = key.split("/", 4);
    String id = segments.length > 2 ? segments[2] : "";
    switch (segments.length > 1 ? segments[1] : "") {
      case "job" -> {
        set(jobs, id, v == null ? null : Records.job(id, v), stamp);
        updateActive(id);
        if (v != null && !jobs.get(id).value().open()) {
          if (jobs.get(id).value().state() == Job.State.CANCELLED) {
            cancelledByRevision.computeIfAbsent(stamp, k -> new HashSet<>()).add(id);
          }
          markMachinesChanged(id);
        }
      }
      case "prog" -> progressChanged(key, id, Integer.parseInt(segments[3]), v, stamp);
      case "run" ->
          recordChanged(
              Partition.parse(id),
              segments.length > 3 ? Integer.parseInt(segments[3]) : 0,
              v == null ? PartitionRecord.EMPTY : Records.partitionRecord(v));
      case "machine" -> {
        Machine next = v == null ? null : Records.machine(id, v, partitionsPerZone);
        Entry<Machine> old = machines.get(id);
        if (next != null) {
          String condition = condition(next.partition(), id);
          next = next.withTasks(tasksOn(id));
          next =
              condition == null ? next : next.withCondition(Machine.Condition.valueOf(condition));
          for (String image : old == null ? List.<String>of() : old.value().images()) {
            next = next.withImage(image);
          }
          next = withImages(next, next.tasks().keySet());
        }
        set(machines, id, next, stamp);
        if (next != null) {
          machinesByPartition.computeIfAbsent(next.partition(), k -> new TreeSet<>()).add(id);
        } else if (old != null) {
          machinesByPartition.get(old.value().partition()).remove(id);
        }
        changedMachines.add(id);
      }
      case "layout" -> partitionsPerZone = v == null ? 0 : v.path("partitions_per_zone").asInt();
      case "claim" -> {
        ownershipChangeCount++;
        set(
            claims,
            id,
            v == null ? null : new Claim(v.path("owner").asText(), v.path("hold").asLong()),
            stamp);
      }
      case "member" -> {
        ownershipChangeCount++;
        set(
            members,
            id,
            v == null
                ? null
                : new Member(
                    v.path("zone").asText(),
                    v.path("hold").asLong(),
                    v.path("reaches").asBoolean(true),
                    v.path("leaving").asBoolean(false)),
            stamp);
      }
      case "rent" -> set(rentals, id, v == null ? null : Records.rental(v), stamp);
      case "drain" -> {
        Map<String, Drain> next = new HashMap<>();
        if (v != null) {
          v.fields()
              .forEachRemaining(e -> next.put(e.getKey(), Drain.valueOf(e.getValue().asText())));
        }
        for (String name : drainsByPartition.getOrDefault(Partition.parse(id), Map.of()).keySet()) {
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
        drainsByPartition.put(Partition.parse(id), next);
      }
      case "cordon" -> {
        if (v == null) {
          cordons.remove(id);
        } else {
          cordons.add(id);
        }
      }
      case "types" -> types = v == null ? List.of() : Records.types(v);
      case "params" ->
          params =
              v == null ? SchedulingParameters.DEFAULTS : SchedulingParameters.DEFAULTS.merge(v);
      default -> LOG.debug("unknown key {}", key);
    }
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

  private void progressChanged(String key, String job, int chunk, JsonNode value, long stamp) {
    TreeMap<Integer, Entry<Progress>> chunks = progress.computeIfAbsent(job, k -> new TreeMap<>());
    Progress next = value == null ? null : ProgressCodec.decode(chunk, value);
    Entry<Progress> old = chunks.get(chunk);
    if (old != null) {
      old.value().live.forEach((i, l) -> tasks.removeGrant(new TaskId(job, i), l));
    }
    if (next == null) {
      storedProgress.remove(key);
    } else {
      storedProgress.put(key, next);
      next = next.copy();
      for (PageEndedTasks ended : endedTasks.getOrDefault(job, Map.of()).values()) {
        int from = Progress.firstIndex(chunk);
        int to = from + Constants.CHUNK_TASKS;
        for (int i = ended.done().nextSetBit(from);
            i >= 0 && i < to;
            i = ended.done().nextSetBit(i + 1)) {
          next.complete(i);
        }
        for (Map.Entry<Integer, Integer> entry : ended.requeued().entrySet()) {
          if (next.isLive(entry.getKey(), entry.getValue())) {
            next.requeue(entry.getKey());
          }
        }
      }
      next.live.forEach((i, l) -> grantAdded(new TaskId(job, i), l));
    }
    set(chunks, chunk, next, stamp);
    if (chunks.isEmpty()) {
      progress.remove(job);
    }
    updateActive(job);
  }

  private void recordChanged(Partition partition, int page, PartitionRecord next) {
    PartitionRecord old = pages.put(partition, page, next);
    for (String machine : old.tasksByMachine().keySet()) {
      if (!next.tasksByMachine().containsKey(machine)) {
        // The machine may be on another page now, if the record was split into more pages.
        tasksChanged(
            machine,
            PartitionRecord.tasks(pages.find(partition, r -> r.tasksByMachine().get(machine))));
      }
    }
    next.tasksByMachine()
        .forEach(
            (machine, text) -> {
              if (!text.equals(old.tasksByMachine().get(machine))) {
                tasksChanged(machine, PartitionRecord.tasks(text));
              }
            });
    Set<String> withCondition = new HashSet<>(old.conditionsByMachine().keySet());
    withCondition.addAll(next.conditionsByMachine().keySet());
    for (String machine : withCondition) {
      String condition = condition(partition, machine);
      Entry<Machine> entry = machines.get(machine);
      Machine.Condition nextCondition =
          condition == null ? Machine.Condition.OK : Machine.Condition.valueOf(condition);
      if (entry != null && nextCondition != entry.value().condition()) {
        machines.put(
            machine, new Entry<>(entry.value().withCondition(nextCondition), entry.stamp()));
        changedMachines.add(machine);
      }
    }
    String key = Keys.record(partition, page);
    Set<String> jobsChanged = new HashSet<>();
    collectChangedJobs(old.completedByJob(), next.completedByJob(), jobsChanged);
    collectChangedJobs(old.requeuedByJob(), next.requeuedByJob(), jobsChanged);
    for (String job : jobsChanged) {
      BitSet done = new BitSet();
      PartitionRecord.indexes(next.completedByJob().get(job)).keySet().forEach(done::set);
      Map<Integer, Integer> requeued = PartitionRecord.indexes(next.requeuedByJob().get(job));
      if (done.isEmpty() && requeued.isEmpty()) {
        Map<String, PageEndedTasks> byPage = endedTasks.get(job);
        if (byPage != null && byPage.remove(key) != null && byPage.isEmpty()) {
          endedTasks.remove(job);
        }
      } else {
        endedTasks
            .computeIfAbsent(job, k -> new HashMap<>())
            .put(key, new PageEndedTasks(done, requeued));
        done.stream().forEach(i -> taskDone(job, i));
        requeued.forEach((i, attempt) -> taskRequeued(job, i, attempt));
      }
    }
  }

  private static void collectChangedJobs(
      Map<String, String> old, Map<String, String> next, Set<String> jobsChanged) {
    next.forEach(
        (job, text) -> {
          if (!text.equals(old.get(job))) {
            jobsChanged.add(job);
          }
        });
    for (String job : old.keySet()) {
      if (!next.containsKey(job)) {
        jobsChanged.add(job);
      }
    }
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
