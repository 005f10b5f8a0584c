package org.baygw.control.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Replication;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Job;
import org.baygw.control.model.JobSpec;
import org.baygw.control.model.Partition;
import org.baygw.control.model.Progress;
import org.baygw.control.model.Records;
import org.baygw.control.model.TaskId;
import org.baygw.control.placement.CapacityCache;
import org.baygw.control.store.Keys;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's scheduler: the queue of jobs. It grants tasks to partitions by durable writes; a
 * granted task counts against its team until its partition's owner has proved it gone.
 */
public final class Scheduler {
  private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);

  private final Clock clock;
  private final Settings settings;
  private final Store store;
  private final StateCache view;
  private final Membership membership;
  private final Replication replication;
  private final ZoneRules zones;
  private final CapacityCache rooms;
  private final JobWrites writes;
  private final PartitionAvoidance avoidance;
  private final ProgressFolding folding;
  private final Preemption preemption;

  /** When this scheduler granted what is live; a former one's grants count as old. */
  private final Map<TaskId, Long> grantedAt = new HashMap<>();

  /** Since when a job has had tasks without room. */
  private final Map<String, Long> unmetSince = new HashMap<>();

  private List<UnmetDemand> unmet = List.of();
  private long nextPass;
  private long nextClean;
  private long seenChanges = -1;

  /** The leadership's stamp under which this scheduler last worked. */
  private long epoch;

  public Scheduler(
      Clock clock,
      Settings settings,
      Store store,
      StateCache view,
      Membership membership,
      Replication replication) {
    this.replication = replication;
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.view = view;
    this.membership = membership;
    this.zones = new ZoneRules(settings.zones());
    this.rooms = new CapacityCache(view);
    this.writes = new JobWrites(store, this::passSoon);
    this.avoidance = new PartitionAvoidance(clock, view, membership);
    this.folding = new ProgressFolding(settings, view, membership, writes);
    this.preemption = new Preemption(settings, view, membership, rooms, writes, this::grantAgeS);
  }

  /** Tasks that need machines which are not there. */
  public List<UnmetDemand> unmet() {
    return unmet;
  }

  /**
   * Whether nothing has changed since the pass that found them. Between a change and the next pass
   * a machine that has just come up would count neither as on its way nor as one that has room.
   */
  public boolean unmetIsCurrent() {
    return seenChanges == view.changes();
  }

  public int unmetTasks() {
    return unmet.stream().mapToInt(UnmetDemand::count).sum();
  }

  /** Time has passed, or something has changed. */
  public void tick() {
    long now = clock.now();
    if (!store.loaded() || membership.leadership() == 0) {
      unmet = List.of();
      return;
    }
    if (epoch != membership.leadership()) {
      epoch = membership.leadership();
      inherit();
    }
    if (now < nextPass || unmetIsCurrent() && now < nextPass + Constants.SCHEDULER_IDLE_PASS_MS) {
      return;
    }
    // A pass looks at all machines, so what passes cost a second must not grow with them.
    long large = (long) (view.machines.size() * Constants.SCHEDULER_PASS_MS_A_MACHINE);
    nextPass =
        now
            + large
            + (store.scarce() ? Constants.SCHEDULER_SCARCE_MS : Constants.SCHEDULER_PASS_MS);
    seenChanges = view.changes();
    new Pass().run();
  }

  /** Takes over what the former leader knew of waiting jobs and grants. */
  private void inherit() {
    Replication.InheritedQueue known = replication.inheritedQueue();
    if (known == null) {
      return;
    }
    long now = clock.now();
    known.waitingForMs().forEach((job, ms) -> unmetSince.putIfAbsent(job, now - ms));
    known.grantedAgoMs().forEach((task, ms) -> grantedAt.putIfAbsent(task, now - ms));
  }

  private void passSoon() {
    nextPass = 0;
    seenChanges = -1;
  }

  private double grantAgeS(TaskId task) {
    Long at = grantedAt.get(task);
    return at == null ? Double.POSITIVE_INFINITY : (clock.now() - at) / 1000.0;
  }

  /** One pass over all unfinished jobs. */
  private final class Pass {
    private final TeamUsage usage = new TeamUsage(settings.teams());

    /** CPUs that each team's unfinished jobs ask for, up to the job that is looked at. */
    private final Map<String, Double> demand = new HashMap<>();

    /** Unfinished jobs that fit into their team's guarantee together with its earlier ones. */
    private final Set<String> guaranteed = new HashSet<>();

    private final List<QueuedJob> queue = new ArrayList<>();

    /** Shapes of tasks that found no room in this pass. */
    private final Set<String> full = new HashSet<>();

    private final List<UnmetDemand> left = new ArrayList<>();
    private FreeCapacity free;

    void run() {
      List<StateCache.Entry<Job>> jobs = new ArrayList<>(view.active.values());
      jobs.sort(
          Comparator.comparing((StateCache.Entry<Job> job) -> job.value().acceptedMs())
              .thenComparing(job -> job.value().spec().id()));
      jobs.forEach(this::add);
      folding.run();
      avoidance.update();
      queue.sort(QueuedJob.ORDER);
      free = new FreeCapacity(settings, view, membership, rooms, writes, zones);
      queue.forEach(this::serve);
      forgetOld();
      preemption.run(left, usage, guaranteed);
      unmet = left;
    }

    /** Counts what a job has, and queues it if tasks of it wait. */
    private void add(StateCache.Entry<Job> entry) {
      Job job = entry.value();
      JobSpec spec = job.spec();
      TreeMap<Integer, StateCache.Entry<Progress>> chunks =
          view.progress.getOrDefault(spec.id(), new TreeMap<>());
      int live = 0;
      int done = 0;
      int[] zoneLive = zones.none();
      for (StateCache.Entry<Progress> chunk : chunks.values()) {
        live += chunk.value().live.size();
        done += chunk.value().done.cardinality();
        if (spec.spread() || spec.oneZone()) {
          zones.count(chunk.value(), zoneLive);
        }
      }
      usage.add(spec, live + writes.granting(spec.id()));
      boolean busy = writes.busy(spec.id());
      if (!job.open()) {
        if (live == 0 && !chunks.isEmpty() && !busy) {
          clean(spec.id(), chunks);
        }
      } else if (done == spec.tasks()) {
        if (!busy) {
          finish(spec.id(), entry);
        }
      } else if (settings.team(spec.team()) != null) {
        noteGuarantee(spec, done);
        if (done + live < spec.tasks() && !busy) {
          queue.add(queued(entry, live, done, zoneLive));
        }
      }
    }

    private void noteGuarantee(JobSpec spec, int done) {
      double sum = demand.merge(spec.team(), (spec.tasks() - done) * spec.cpus(), Double::sum);
      if (sum <= settings.team(spec.team()).cpus() + Constants.EPS) {
        guaranteed.add(spec.id());
      }
    }

    private QueuedJob queued(StateCache.Entry<Job> entry, int live, int done, int[] zoneLive) {
      Job job = entry.value();
      JobSpec spec = job.spec();
      return new QueuedJob(
          spec.id(),
          spec,
          job.acceptedMs(),
          entry.stamp(),
          !settings.team(spec.team()).hasGuarantee(),
          guaranteed.contains(spec.id()),
          live + done == 0 ? clock.wall() - job.acceptedMs() : 0,
          missedAims(job),
          (spec.tasks() - done) * spec.cpus() * spec.estimateS(),
          spec.tasks() - done - live,
          zoneLive);
    }

    /** Grants as many of a job's tasks as its team's limit and the room allow. */
    private void serve(QueuedJob job) {
      JobSpec spec = job.spec();
      int allowed = usage.allowed(settings.team(spec.team()), spec, job.pending());
      if (allowed <= 0) {
        return;
      }
      int[] zoneLive = job.zoneLive().clone();
      String shape = shape(spec, zones.only(spec, zoneLive));
      Grants grants = new Grants(job, zoneLive, allowed);
      boolean noRoom = full.contains(shape) || !grants.fill(free);
      if (noRoom && !spec.service() && !spec.spread() && !spec.oneZone()) {
        full.add(shape);
      }
      usage.add(spec, grants.count);
      if (noRoom && grants.count < allowed) {
        long waitedMs = noteUnmet(job, allowed - grants.count, zoneLive);
        if (waitedMs < Constants.LIMIT_RESERVED_MS) {
          usage.add(spec, allowed - grants.count); // what is rented for must also be allowed to run
        }
      }
      if (grants.count > 0) {
        grants.write();
      }
    }

    /** Notes tasks that found no room; returns for how long the job has had such tasks. */
    private long noteUnmet(QueuedJob job, int count, int[] zoneLive) {
      JobSpec spec = job.spec();
      if (unmetSince.putIfAbsent(job.id(), clock.now()) == null) {
        replication.waiting(job.id());
      }
      long waitedMs = clock.now() - unmetSince.get(job.id());
      if (!spec.spread() && !spec.oneZone()) {
        left.add(new UnmetDemand(spec, spec.zone(), count, waitedMs, job.standing()));
        return waitedMs;
      }
      Map<String, Integer> byZone = new LinkedHashMap<>();
      for (int i = 0; i < count; i++) {
        byZone.merge(zones.zoneFor(spec, zoneLive), 1, Integer::sum);
      }
      byZone.forEach(
          (zone, n) -> left.add(new UnmetDemand(spec, zone, n, waitedMs, job.standing())));
      return waitedMs;
    }

    private void forgetOld() {
      if (clock.now() >= nextClean) {
        nextClean = clock.now() + Constants.SCHEDULER_CLEAN_MS;
        forgetGrants();
      }
      Set<String> waiting = new HashSet<>();
      left.forEach(demand -> waiting.add(demand.spec().id()));
      for (Iterator<String> it = unmetSince.keySet().iterator(); it.hasNext(); ) {
        String job = it.next();
        if (!waiting.contains(job)) {
          it.remove();
          replication.served(job);
        }
      }
    }

    private void forgetGrants() {
      Map<String, List<Integer>> over = new HashMap<>();
      for (TaskId task : grantedAt.keySet()) {
        if (view.grant(task) == null && !writes.busy(task.job())) {
          over.computeIfAbsent(task.job(), k -> new ArrayList<>()).add(task.index());
        }
      }
      over.forEach(
          (job, tasks) -> {
            tasks.forEach(index -> grantedAt.remove(new TaskId(job, index)));
            replication.grantsEnded(job, tasks);
          });
    }
  }

  /** The tasks of one job that one pass grants. */
  private final class Grants {
    private final QueuedJob job;
    private final int[] zoneLive;
    private final int allowed;
    private final Map<Integer, Progress> next = new LinkedHashMap<>();
    private final Map<Partition, Integer> partitions = new HashMap<>();
    private final List<Integer> granted = new ArrayList<>();
    private int count;

    Grants(QueuedJob job, int[] zoneLive, int allowed) {
      this.job = job;
      this.zoneLive = zoneLive;
      this.allowed = allowed;
    }

    /** Grants what there is room for; false if that ran out. */
    boolean fill(FreeCapacity free) {
      JobSpec spec = job.spec();
      FreeCapacity.Place place = null;
      for (int chunk = 0; chunk * Constants.CHUNK_TASKS < spec.tasks(); chunk++) {
        if (next.size() >= settings.state().txnOps() / 2) {
          return true;
        }
        Progress now = view.progress(job.id(), chunk);
        int end = Math.min(spec.tasks(), (chunk + 1) * Constants.CHUNK_TASKS);
        for (int i = chunk * Constants.CHUNK_TASKS; i < end; i++) {
          if (now != null && (now.done.get(i) || now.live.containsKey(i))) {
            continue;
          }
          if (count >= allowed) {
            return true;
          }
          boolean again =
              place != null && !spec.service() && !spec.spread() && place.room().fits(spec);
          place = again ? place : free.roomiest(spec, zoneLive, avoidance.of(job.id()));
          if (place == null) {
            return false;
          }
          add(chunk, now, i, place);
        }
      }
      return true;
    }

    private void add(int chunk, Progress now, int index, FreeCapacity.Place place) {
      place.room().take(job.spec());
      next.computeIfAbsent(chunk, k -> now == null ? new Progress() : now.copy())
          .grant(index, place.part());
      partitions.merge(place.part(), 1, Integer::sum);
      grantedAt.put(new TaskId(job.id(), index), clock.now());
      granted.add(index);
      zoneLive[zones.index(place.part().zone())]++;
      count++;
    }

    void write() {
      Txn txn =
          new Txn()
              .when(Keys.claim(Keys.LEADER), membership.leadership())
              .when(Keys.job(job.id()), job.stamp());
      next.forEach(
          (chunk, progress) -> {
            String key = Keys.progress(job.id(), chunk);
            txn.when(key, view.stamp(key)).put(key, Records.progress(progress));
          });
      LOG.debug("grant {} tasks of {}", count, job.id());
      replication.granted(job.id(), granted);
      writes.grant(job.id(), partitions, txn);
    }
  }

  /** How many of its class's aims the job would miss even if it started now. */
  private int missedAims(Job job) {
    double ageS = (clock.wall() - job.acceptedMs()) / 1000.0;
    int missed = 0;
    for (Settings.Objective aim : settings.objectives()) {
      if (aim.jobClass().equals(job.spec().jobClass())) {
        double withinS = aim.withinS();
        if (aim.deadlineFactor() > 0) {
          Double deadlineS = job.spec().deadlineS();
          withinS = deadlineS == null ? 0 : deadlineS * aim.deadlineFactor();
        }
        missed += withinS > 0 && ageS + job.spec().estimateS() > withinS ? 1 : 0;
      }
    }
    return missed;
  }

  /**
   * What a job asks for of a machine: where one found no room, its like need not look in this pass.
   */
  private static String shape(JobSpec spec, String onlyZone) {
    return spec.cpus()
        + " "
        + spec.gpus()
        + " "
        + spec.memoryGb()
        + " "
        + spec.spot()
        + " "
        + spec.types()
        + " "
        + onlyZone;
  }

  private void finish(String id, StateCache.Entry<Job> job) {
    writes.write(
        id,
        Store.Urgency.LAUNCH,
        new Txn()
            .when(Keys.claim(Keys.LEADER), membership.leadership())
            .when(Keys.job(id), job.stamp())
            .put(Keys.job(id), Records.job(job.value().done())));
  }

  /** A job that is over and has no task left needs no progress. */
  private void clean(String id, TreeMap<Integer, StateCache.Entry<Progress>> chunks) {
    Txn txn = new Txn().when(Keys.claim(Keys.LEADER), membership.leadership());
    for (Integer chunk : chunks.keySet()) {
      if (txn.writes() < settings.state().txnOps()) {
        String key = Keys.progress(id, chunk);
        txn.when(key, view.stamp(key)).delete(key);
      }
    }
    writes.write(id, Store.Urgency.MOVE, txn);
  }
}
