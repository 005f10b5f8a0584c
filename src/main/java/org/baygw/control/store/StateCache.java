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

  /**
   * Ended tasks of one job on one page of a partition's record: completed tasks, and for the others
   * the attempt that ended.
   */
  private record Ended(BitSet done, Map<Integer, Integer> back) {}

  private static final Logger LOG = LoggerFactory.getLogger(StateCache.class);

  private final Map<String, Long> stamps = new HashMap<>();
  private final Map<String, Long> tombs = new HashMap<>();
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

  /** Machines that may have each task; more than one only in case of a fault. */
  public final Map<TaskId, Set<String>> taskMachines = new HashMap<>();

  /** Partitions per zone; 0 until the number is durable. */
  private int partitionsPerZone;

  /** Progress as stored, by key, without the ended tasks in the partitions' records. */
  private final Map<String, Progress> storedProgress = new HashMap<>();

  private final Map<Partition, Set<String>> machinesOf = new HashMap<>();
  private final PartitionPages pages = new PartitionPages();
  private final Map<String, Map<TaskId, Integer>> tasksByMachine = new HashMap<>();

  /** Ended tasks, by job and key of the page of a partition's record. */
  private final Map<String, Map<String, Ended>> ended = new HashMap<>();

  private final Map<Partition, Map<String, Drain>> drainsOf = new HashMap<>();

  /** Tasks granted to each partition that are on no machine. */
  private final Map<Partition, Set<TaskId>> unplaced = new HashMap<>();

  /** Number of tasks granted to each partition. */
  private final Map<Partition, Integer> grantedCounts = new HashMap<>();

  private Set<String> changedMachines = new LinkedHashSet<>();

  /** Jobs that are cancelled in this cache, by the revision of their cancellation. */
  private final TreeMap<Long, Set<String>> cancelledByRevision = new TreeMap<>();

  /** A cancellation reported by a peer: its revision, and the time of day when it was written. */
  private record Told(long stamp, long cancelledMs) {}

  /** Durable cancellations reported by peers, of revisions that this cache has not reached. */
  private final Map<String, Told> peerCancellations = new HashMap<>();

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
    TreeMap<Integer, Entry<Progress>> m = progress.get(job);
    Entry<Progress> e = m == null ? null : m.get(chunk);
    return e == null ? null : e.value();
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
    Told told = peerCancellations.get(job);
    Entry<Job> j = jobs.get(job);
    return told != null ? told.cancelledMs() : j == null ? 0 : j.value().cancelledMs();
  }

  /** Adds a cancellation that a peer reported, which became durable at the revision. */
  public void addPeerCancellation(String job, long stamp, long cancelledMs) {
    if (stamp > revision
        && peerCancellations.putIfAbsent(job, new Told(stamp, cancelledMs)) == null) {
      changeCount++;
      lookAtMachinesOf(job);
    }
  }

  /** Jobs in this cache that were cancelled after a revision, by revision of the cancellation. */
  public SortedMap<Long, Set<String>> cancelledAfter(long rev) {
    return cancelledByRevision.tailMap(rev, false);
  }

  private void lookAtMachinesOf(String job) {
    for (Entry<Progress> c : progress.getOrDefault(job, NO_CHUNKS).values()) {
      for (int i : c.value().live.keySet()) {
        changedMachines.addAll(taskMachines.getOrDefault(new TaskId(job, i), Set.of()));
      }
    }
  }

  /** Pages of the partitions' records. */
  public PartitionPages pages() {
    return pages;
  }

  private String condition(Partition p, String machine) {
    return pages.find(p, r -> r.conditions().get(machine));
  }

  /** Names of a partition's machines. */
  public Set<String> machinesOf(Partition p) {
    return machinesOf.getOrDefault(p, Set.of());
  }

  /** Tasks on a machine by its partition's record, with their attempts. */
  public Map<TaskId, Integer> tasksOn(String machine) {
    return tasksByMachine.getOrDefault(machine, Map.of());
  }

  public int grantedCount(Partition p) {
    return grantedCounts.getOrDefault(p, 0);
  }

  public Set<TaskId> unplaced(Partition p) {
    return unplaced.getOrDefault(p, Set.of());
  }

  /** Number of a job's completed tasks, including those not yet in its stored progress. */
  public int doneCount(String job) {
    int n = 0;
    for (Entry<Progress> p : progress.getOrDefault(job, NO_CHUNKS).values()) {
      n += p.value().done.cardinality();
    }
    return n;
  }

  private static final TreeMap<Integer, Entry<Progress>> NO_CHUNKS = new TreeMap<>();

  /** Takes the machines to check since the last call: those changed or with a task to stop. */
  public Set<String> takeChangedMachines() {
    Set<String> out = changedMachines;
    changedMachines = new LinkedHashSet<>();
    return out;
  }

  private void grantEnds(TaskId t, Progress.Live l) {
    grantedCounts.merge(l.part(), -1, Integer::sum);
    unplaced.getOrDefault(l.part(), Set.of()).remove(t);
  }

  private void grantBegins(TaskId t, Progress.Live l) {
    grantedCounts.merge(l.part(), 1, Integer::sum);
    Set<String> at = taskMachines.get(t);
    if (at == null) {
      unplaced.computeIfAbsent(l.part(), k -> new HashSet<>()).add(t);
    } else if (l.stop()) {
      changedMachines.addAll(at);
    }
  }

  /** Grant of the task, or null. */
  public Progress.Live grant(TaskId t) {
    Progress p = progress(t.job(), t.index() / Constants.CHUNK_TASKS);
    return p == null ? null : p.live.get(t.index());
  }

  /** Notes that all changes up to the revision have been applied. */
  void reached(long rev) {
    if (rev > revision) {
      revision = rev;
      tombs.values().removeIf(s -> s <= rev);
      peerCancellations.values().removeIf(t -> t.stamp() <= rev);
    }
  }

  Set<String> keys() {
    return new HashSet<>(stamps.keySet());
  }

  void put(String key, JsonNode value, long stamp) {
    if (stamp <= stamps.getOrDefault(key, 0L) || stamp <= tombs.getOrDefault(key, 0L)) {
      return;
    }
    stamps.put(key, stamp);
    changeCount++;
    try {
      apply(key, value, stamp);
    } catch (RuntimeException e) {
      // A malformed value written by another process must not stop the controller. Its stamp is
      // kept nevertheless.
      LOG.error("failed to apply the value of {}: {}", key, e.toString());
    }
  }

  void delete(String key, long stamp) {
    if (stamp <= stamps.getOrDefault(key, 0L) || stamp <= tombs.getOrDefault(key, 0L)) {
      return;
    }
    stamps.remove(key);
    if (stamp > revision) {
      tombs.put(key, stamp);
    }
    changeCount++;
    apply(key, null, stamp);
  }

  private void apply(String key, JsonNode v, long stamp) {
    String[] p = key.split("/", 4);
    String id = p.length > 2 ? p[2] : "";
    switch (p.length > 1 ? p[1] : "") {
      case "job" -> {
        set(jobs, id, v == null ? null : Records.job(id, v), stamp);
        activate(id);
        if (v != null && !jobs.get(id).value().open()) {
          if (jobs.get(id).value().state() == Job.State.CANCELLED) {
            cancelledByRevision.computeIfAbsent(stamp, k -> new HashSet<>()).add(id);
          }
          lookAtMachinesOf(id);
        }
      }
      case "prog" -> progressChanged(key, id, Integer.parseInt(p[3]), v, stamp);
      case "run" ->
          recordChanged(
              Partition.parse(id),
              p.length > 3 ? Integer.parseInt(p[3]) : 0,
              v == null ? PartitionRecord.EMPTY : Records.record(v));
      case "machine" -> {
        Machine next = v == null ? null : Records.machine(id, v, partitionsPerZone);
        Entry<Machine> old = machines.get(id);
        if (next != null) {
          String condition = condition(next.part(), id);
          next = next.withTasks(tasksOn(id));
          next = condition == null ? next : next.with(Machine.Condition.valueOf(condition));
          for (String image : old == null ? List.<String>of() : old.value().images()) {
            next = next.withImage(image);
          }
          next = withImages(next, next.tasks().keySet());
        }
        set(machines, id, next, stamp);
        if (next != null) {
          machinesOf.computeIfAbsent(next.part(), k -> new TreeSet<>()).add(id);
        } else if (old != null) {
          machinesOf.get(old.value().part()).remove(id);
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
        for (String m : drainsOf.getOrDefault(Partition.parse(id), Map.of()).keySet()) {
          if (!next.containsKey(m)) {
            drains.remove(m);
            changedMachines.add(m);
          }
        }
        next.forEach(
            (m, d) -> {
              if (drains.put(m, d) != d) {
                changedMachines.add(m);
              }
            });
        drainsOf.put(Partition.parse(id), next);
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
              v == null ? SchedulingParameters.DEFAULTS : SchedulingParameters.DEFAULTS.with(v);
      default -> LOG.debug("unknown key {}", key);
    }
  }

  /** Machines of a partition that are being drained. */
  public Map<String, Drain> drains(Partition p) {
    return drainsOf.getOrDefault(p, Map.of());
  }

  private void activate(String id) {
    Entry<Job> j = jobs.get(id);
    if (j != null && (j.value().open() || progress.containsKey(id))) {
      activeJobs.put(id, j);
    } else {
      activeJobs.remove(id);
    }
  }

  private void progressChanged(String key, String id, int chunk, JsonNode v, long stamp) {
    TreeMap<Integer, Entry<Progress>> m = progress.computeIfAbsent(id, k -> new TreeMap<>());
    Progress next = v == null ? null : Records.progress(v);
    Entry<Progress> old = m.get(chunk);
    if (old != null) {
      old.value().live.forEach((i, l) -> grantEnds(new TaskId(id, i), l));
    }
    if (next == null) {
      storedProgress.remove(key);
    } else {
      storedProgress.put(key, next);
      next = next.copy();
      for (Ended e : ended.getOrDefault(id, Map.of()).values()) {
        int from = chunk * Constants.CHUNK_TASKS;
        int to = from + Constants.CHUNK_TASKS;
        for (int i = e.done().nextSetBit(from); i >= 0 && i < to; i = e.done().nextSetBit(i + 1)) {
          next.complete(i);
        }
        for (Map.Entry<Integer, Integer> b : e.back().entrySet()) {
          if (next.isLive(b.getKey(), b.getValue())) {
            next.back(b.getKey());
          }
        }
      }
      next.live.forEach((i, l) -> grantBegins(new TaskId(id, i), l));
    }
    set(m, chunk, next, stamp);
    if (m.isEmpty()) {
      progress.remove(id);
    }
    activate(id);
  }

  private void recordChanged(Partition part, int page, PartitionRecord next) {
    PartitionRecord old = pages.put(part, page, next);
    for (String machine : old.on().keySet()) {
      if (!next.on().containsKey(machine)) {
        // The machine may be on another page now, if the record was split into more pages.
        tasksChanged(machine, PartitionRecord.tasks(pages.find(part, r -> r.on().get(machine))));
      }
    }
    next.on()
        .forEach(
            (machine, text) -> {
              if (!text.equals(old.on().get(machine))) {
                tasksChanged(machine, PartitionRecord.tasks(text));
              }
            });
    Set<String> fit = new HashSet<>(old.conditions().keySet());
    fit.addAll(next.conditions().keySet());
    for (String machine : fit) {
      String condition = condition(part, machine);
      Entry<Machine> e = machines.get(machine);
      Machine.Condition c =
          condition == null ? Machine.Condition.OK : Machine.Condition.valueOf(condition);
      if (e != null && c != e.value().condition()) {
        machines.put(machine, new Entry<>(e.value().with(c), e.stamp()));
        changedMachines.add(machine);
      }
    }
    String key = Keys.record(part, page);
    Set<String> jobsChanged = new HashSet<>();
    changed(old.done(), next.done(), jobsChanged);
    changed(old.back(), next.back(), jobsChanged);
    for (String job : jobsChanged) {
      BitSet done = new BitSet();
      PartitionRecord.indexes(next.done().get(job)).keySet().forEach(done::set);
      Map<Integer, Integer> back = PartitionRecord.indexes(next.back().get(job));
      if (done.isEmpty() && back.isEmpty()) {
        Map<String, Ended> m = ended.get(job);
        if (m != null && m.remove(key) != null && m.isEmpty()) {
          ended.remove(job);
        }
      } else {
        ended.computeIfAbsent(job, k -> new HashMap<>()).put(key, new Ended(done, back));
        done.stream().forEach(i -> taskDone(job, i));
        back.forEach((i, attempt) -> taskBack(job, i, attempt));
      }
    }
  }

  private static void changed(
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
    Progress p = progress(job, index / Constants.CHUNK_TASKS);
    if (p != null && !p.done.get(index)) {
      Progress.Live l = p.live.get(index);
      if (l != null) {
        grantEnds(new TaskId(job, index), l);
      }
      p.complete(index);
    }
  }

  private void taskBack(String job, int index, int attempt) {
    Progress p = progress(job, index / Constants.CHUNK_TASKS);
    if (p != null && p.isLive(index, attempt)) {
      grantEnds(new TaskId(job, index), p.live.get(index));
      p.back(index);
    }
  }

  private void tasksChanged(String machine, Map<TaskId, Integer> next) {
    Map<TaskId, Integer> old = tasksOn(machine);
    for (TaskId t : old.keySet()) {
      if (!next.containsKey(t)) {
        Set<String> at = taskMachines.get(t);
        at.remove(machine);
        if (at.isEmpty()) {
          taskMachines.remove(t);
          Progress.Live l = grant(t);
          if (l != null) {
            unplaced.computeIfAbsent(l.part(), k -> new HashSet<>()).add(t);
          }
        }
      }
    }
    Set<TaskId> fresh = new HashSet<>();
    for (TaskId t : next.keySet()) {
      if (!old.containsKey(t)) {
        fresh.add(t);
        taskMachines.computeIfAbsent(t, k -> new HashSet<>()).add(machine);
        Progress.Live l = grant(t);
        if (l != null) {
          unplaced.getOrDefault(l.part(), Set.of()).remove(t);
        }
      }
    }
    if (next.isEmpty()) {
      tasksByMachine.remove(machine);
    } else {
      tasksByMachine.put(machine, next);
    }
    Entry<Machine> e = machines.get(machine);
    if (e != null) {
      machines.put(machine, new Entry<>(withImages(e.value().withTasks(next), fresh), e.stamp()));
    }
    changedMachines.add(machine);
  }

  /** Adds the images of the tasks, since a machine fetches the image of each task it is given. */
  private Machine withImages(Machine m, Set<TaskId> tasks) {
    Machine next = m;
    for (TaskId t : tasks) {
      Entry<Job> j = jobs.get(t.job());
      if (j != null && !next.images().contains(j.value().spec().image())) {
        next = next.withImage(j.value().spec().image());
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
