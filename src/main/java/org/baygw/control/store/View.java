package org.baygw.control.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.baygw.control.Constants;
import org.baygw.control.model.Job;
import org.baygw.control.model.Machine;
import org.baygw.control.model.MachineType;
import org.baygw.control.model.Params;
import org.baygw.control.model.Part;
import org.baygw.control.model.Progress;
import org.baygw.control.model.Records;
import org.baygw.control.model.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's copy of the state service, parsed, with the indexes the slices need. An entry
 * changes only to a newer stamp, so late and repeated answers do no harm.
 */
public final class View {
  /** A record with the revision of its last change. */
  public record Entry<T>(T value, long stamp) {}

  /** Who holds a claim. */
  public record Claim(String owner, long hold) {}

  /** A live controller. */
  public record Member(String zone, long hold) {}

  /** A rental that is under way; hosts is null until the cloud has answered. */
  public record Rental(String type, String zone, boolean spot, int count) {}

  /** A machine on its way out; gone once the cloud said so. */
  public record Drain(boolean gone) {}

  private static final Logger LOG = LoggerFactory.getLogger(View.class);

  private final Map<String, Long> stamps = new HashMap<>();
  private final Map<String, Long> tombs = new HashMap<>();
  private long revision;
  private long changes;

  public final Map<String, Entry<Job>> jobs = new LinkedHashMap<>();
  public final Map<String, TreeMap<Integer, Entry<Progress>>> progress = new HashMap<>();
  public final TreeMap<String, Entry<Machine>> machines = new TreeMap<>();
  public final Map<String, Entry<Claim>> claims = new HashMap<>();
  public final TreeMap<String, Entry<Member>> members = new TreeMap<>();
  public final TreeMap<String, Entry<Rental>> rentals = new TreeMap<>();
  public final TreeMap<String, Entry<Drain>> drains = new TreeMap<>();
  public final Set<String> cordons = new HashSet<>();
  public List<MachineType> types = List.of();
  public Params params = Params.DEFAULTS;

  /** The machines that may have a task. More than one only while something is wrong. */
  public final Map<TaskId, Set<String>> places = new HashMap<>();

  /** Granted tasks of a part. */
  public final Map<Part, Set<TaskId>> granted = new HashMap<>();

  /** Granted tasks of a part that are on no machine. */
  private final Map<Part, Set<TaskId>> unplaced = new HashMap<>();

  private Set<String> changedMachines = new LinkedHashSet<>();

  public long revision() {
    return revision;
  }

  /** Grows with every change, so that a pass over unchanged data can be left out. */
  public long changes() {
    return changes;
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

  public Set<TaskId> granted(Part p) {
    return granted.getOrDefault(p, Set.of());
  }

  public Set<TaskId> unplaced(Part p) {
    return unplaced.getOrDefault(p, Set.of());
  }

  /** Machines to look at since the last call: their records changed, or a task there is to stop. */
  public Set<String> takeChangedMachines() {
    Set<String> out = changedMachines;
    changedMachines = new LinkedHashSet<>();
    return out;
  }

  private void grantEnds(TaskId t, Progress.Live l) {
    granted.get(l.part()).remove(t);
    unplaced.getOrDefault(l.part(), Set.of()).remove(t);
  }

  private void grantBegins(TaskId t, Progress.Live l) {
    granted.computeIfAbsent(l.part(), k -> new HashSet<>()).add(t);
    Set<String> at = places.get(t);
    if (at == null) {
      unplaced.computeIfAbsent(l.part(), k -> new HashSet<>()).add(t);
    } else if (l.stop()) {
      changedMachines.addAll(at);
    }
  }

  /** The task's grant, or null. */
  public Progress.Live grant(TaskId t) {
    Progress p = progress(t.job(), t.index() / Constants.CHUNK_TASKS);
    return p == null ? null : p.live.get(t.index());
  }

  /** Everything up to this revision has been applied. */
  void reached(long rev) {
    if (rev > revision) {
      revision = rev;
      tombs.values().removeIf(s -> s <= rev);
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
    changes++;
    try {
      apply(key, value, stamp);
    } catch (RuntimeException e) {
      // A value that someone else wrote must not end the controller; its stamp is kept all the same.
      LOG.error("skipped the value of {}: {}", key, e.toString());
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
    changes++;
    apply(key, null, stamp);
  }

  private void apply(String key, JsonNode v, long stamp) {
    String[] p = key.split("/", 4);
    String id = p.length > 2 ? p[2] : "";
    switch (p.length > 1 ? p[1] : "") {
      case "job" -> {
        set(jobs, id, v == null ? null : Records.job(id, v), stamp);
        if (v != null && !jobs.get(id).value().open()) {
          for (Entry<Progress> c : progress.getOrDefault(id, new TreeMap<>()).values()) {
            for (int i : c.value().live.keySet()) {
              changedMachines.addAll(places.getOrDefault(new TaskId(id, i), Set.of()));
            }
          }
        }
      }
      case "prog" -> {
        int chunk = Integer.parseInt(p[3]);
        TreeMap<Integer, Entry<Progress>> m = progress.computeIfAbsent(id, k -> new TreeMap<>());
        Progress next = v == null ? null : Records.progress(v);
        Entry<Progress> old = m.get(chunk);
        if (old != null) {
          old.value().live.forEach((i, l) -> grantEnds(new TaskId(id, i), l));
        }
        if (next != null) {
          next.live.forEach((i, l) -> grantBegins(new TaskId(id, i), l));
        }
        set(m, chunk, next, stamp);
        if (m.isEmpty()) {
          progress.remove(id);
        }
      }
      case "run" -> {
        Machine next = v == null ? null : Records.machine(id, v);
        Entry<Machine> old = machines.get(id);
        if (old != null) {
          for (TaskId t : old.value().tasks().keySet()) {
            Set<String> at = places.get(t);
            at.remove(id);
            if (at.isEmpty()) {
              places.remove(t);
              Progress.Live l = grant(t);
              if (l != null) {
                unplaced.computeIfAbsent(l.part(), k -> new HashSet<>()).add(t);
              }
            }
          }
        }
        if (next != null) {
          for (TaskId t : next.tasks().keySet()) {
            places.computeIfAbsent(t, k -> new HashSet<>()).add(id);
            Progress.Live l = grant(t);
            if (l != null) {
              unplaced.getOrDefault(l.part(), Set.of()).remove(t);
            }
          }
        }
        set(machines, id, next, stamp);
        changedMachines.add(id);
      }
      case "claim" ->
          set(
              claims,
              id,
              v == null ? null : new Claim(v.path("owner").asText(), v.path("hold").asLong()),
              stamp);
      case "member" ->
          set(
              members,
              id,
              v == null ? null : new Member(v.path("zone").asText(), v.path("hold").asLong()),
              stamp);
      case "rent" ->
          set(
              rentals,
              id,
              v == null
                  ? null
                  : new Rental(
                      v.path("type").asText(),
                      v.path("zone").asText(),
                      v.path("spot").asBoolean(),
                      v.path("count").asInt()),
              stamp);
      case "drain" -> {
        set(drains, id, v == null ? null : new Drain(v.path("gone").asBoolean()), stamp);
        changedMachines.add(id);
      }
      case "cordon" -> {
        if (v == null) {
          cordons.remove(id);
        } else {
          cordons.add(id);
        }
      }
      case "types" -> types = v == null ? List.of() : Records.types(v);
      case "params" -> params = v == null ? Params.DEFAULTS : Params.DEFAULTS.with(v);
      default -> LOG.debug("unknown key {}", key);
    }
  }

  private static <K, T> void set(Map<K, Entry<T>> map, K key, T value, long stamp) {
    if (value == null) {
      map.remove(key);
    } else {
      map.put(key, new Entry<>(value, stamp));
    }
  }
}
