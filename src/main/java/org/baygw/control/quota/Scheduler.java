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
import org.baygw.control.store.ProgressCodec;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The job queue of the leader. It grants tasks to partitions by durable writes; a granted task
 * counts against its team's limit until the partition's owner has proved that it has ended.
 */
public final class Scheduler {
  private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);

  private final Clock clock;
  private final Settings settings;
  private final Store store;
  private final StateCache cache;
  private final Membership membership;
  private final Replication replication;
  private final ZoneRules zones;
  private final CapacityCache capacityCache;
  private final JobWrites writes;
  private final ProgressCodec progressCodec;
  private final PartitionAvoidance avoidance;
  private final ProgressFolding folding;
  private final Preemption preemption;

  /** Grant times of live tasks. A grant of a former leader without a known time counts as old. */
  private final Map<TaskId, Long> grantedAt = new HashMap<>();

  /** Time since which a job has had tasks without capacity. */
  private final Map<String, Long> unmetSince = new HashMap<>();

  private List<UnmetDemand> unmet = List.of();
  private long nextPass;
  private long nextCleanup;
  private long changesAtLastPass = -1;

  /** Stamp of the leader's claim under which this scheduler last worked. */
  private long epoch;

  public Scheduler(
      Clock clock,
      Settings settings,
      Store store,
      StateCache cache,
      Membership membership,
      Replication replication) {
    this.replication = replication;
    this.clock = clock;
    this.settings = settings;
    this.store = store;
    this.cache = cache;
    this.membership = membership;
    this.zones = new ZoneRules(settings.zones());
    this.capacityCache = new CapacityCache(cache);
    this.writes = new JobWrites(store, this::requestPass);
    this.avoidance = new PartitionAvoidance(clock, cache, membership);
    this.progressCodec = new ProgressCodec(settings.state(), settings.zones());
    this.folding = new ProgressFolding(settings, cache, membership, writes, progressCodec);
    this.preemption =
        new Preemption(
            settings, cache, membership, capacityCache, writes, progressCodec, this::grantAgeS);
  }

  /** Tasks for which the latest pass found no capacity. */
  public List<UnmetDemand> unmet() {
    return unmet;
  }

  /**
   * Whether nothing has changed since the pass that computed the unmet demand. Between a change and
   * the next pass, a machine that has just come up would count neither as booting nor as having
   * capacity.
   */
  public boolean unmetIsCurrent() {
    return changesAtLastPass == cache.changeCount();
  }

  public int unmetTasks() {
    return unmet.stream().mapToInt(UnmetDemand::count).sum();
  }

  /** Runs a pass if one is due; called as time passes and after each change. */
  public void tick() {
    long now = clock.now();
    if (!store.loaded() || membership.leaderClaimStamp() == 0) {
      unmet = List.of();
      return;
    }
    if (epoch != membership.leaderClaimStamp()) {
      epoch = membership.leaderClaimStamp();
      inheritQueue();
    }
    if (now < nextPass || unmetIsCurrent() && now < nextPass + Constants.SCHEDULER_IDLE_PASS_MS) {
      return;
    }
    // A pass examines all machines; the added delay keeps its share of a processor bounded.
    long machinesDelayMs = (long) (cache.machines.size() * Constants.SCHEDULER_PASS_MS_PER_MACHINE);
    nextPass =
        now
            + machinesDelayMs
            + (store.writeTokensLow()
                ? Constants.SCHEDULER_SCARCE_PASS_MS
                : Constants.SCHEDULER_PASS_MS);
    changesAtLastPass = cache.changeCount();
    new Pass().run();
  }

  /** Takes over the former leader's times of waiting jobs and of grants. */
  private void inheritQueue() {
    Replication.InheritedQueue inherited = replication.inheritedQueue();
    if (inherited == null) {
      return;
    }
    long now = clock.now();
    inherited.waitingForMs().forEach((job, ms) -> unmetSince.putIfAbsent(job, now - ms));
    inherited.grantedAgoMs().forEach((task, ms) -> grantedAt.putIfAbsent(task, now - ms));
  }

  private void requestPass() {
    nextPass = 0;
    changesAtLastPass = -1;
  }

  private double grantAgeS(TaskId task) {
    Long grantedMs = grantedAt.get(task);
    return grantedMs == null ? Double.POSITIVE_INFINITY : (clock.now() - grantedMs) / 1000.0;
  }

  /** One pass over all unfinished jobs. */
  private final class Pass {
    private final TeamUsage usage = new TeamUsage(settings.teams());

    /** CPUs that each team's unfinished jobs request, up to and including the current job. */
    private final Map<String, Double> requestedCpus = new HashMap<>();

    /** Unfinished jobs that fit into their team's guarantee together with its earlier jobs. */
    private final Set<String> guaranteed = new HashSet<>();

    private final List<QueuedJob> queue = new ArrayList<>();

    /** Shapes of tasks that found no capacity in this pass. */
    private final Set<String> unplaceableShapes = new HashSet<>();

    private final List<UnmetDemand> unmetInPass = new ArrayList<>();
    private FreeCapacity freeCapacity;

    void run() {
      List<StateCache.Entry<Job>> jobs = new ArrayList<>(cache.activeJobs.values());
      jobs.sort(
          Comparator.comparing((StateCache.Entry<Job> job) -> job.value().acceptedMs())
              .thenComparing(job -> job.value().spec().id()));
      jobs.forEach(this::addJob);
      folding.run();
      avoidance.update();
      queue.sort(QueuedJob.ORDER);
      freeCapacity = new FreeCapacity(settings, cache, membership, capacityCache, writes, zones);
      queue.forEach(this::schedule);
      removeOutdated();
      preemption.run(unmetInPass, usage, guaranteed);
      unmet = unmetInPass;
    }

    /** Adds a job to its team's usage, and queues it if it has tasks that wait for a grant. */
    private void addJob(StateCache.Entry<Job> entry) {
      Job job = entry.value();
      JobSpec spec = job.spec();
      TreeMap<Integer, StateCache.Entry<Progress>> chunks =
          cache.progress.getOrDefault(spec.id(), new TreeMap<>());
      int live = 0;
      int done = 0;
      int[] liveByZone = zones.emptyCounts();
      for (StateCache.Entry<Progress> chunk : chunks.values()) {
        live += chunk.value().live.size();
        done += chunk.value().doneCount();
        if (spec.spread() || spec.oneZone()) {
          zones.addLive(chunk.value(), liveByZone);
        }
      }
      usage.add(spec, live + writes.grantsInFlight(spec.id()));
      boolean writeInFlight = writes.hasWriteInFlight(spec.id());
      if (!job.open()) {
        if (live == 0 && !chunks.isEmpty() && !writeInFlight) {
          deleteProgress(spec.id(), chunks);
        }
      } else if (done == spec.tasks()) {
        if (!writeInFlight) {
          markDone(spec.id(), entry);
        }
      } else if (settings.team(spec.team()) != null) {
        updateGuaranteed(spec, done);
        if (done + live < spec.tasks() && !writeInFlight) {
          queue.add(queuedJob(entry, live, done, liveByZone));
        }
      }
    }

    private void updateGuaranteed(JobSpec spec, int done) {
      double teamCpus =
          requestedCpus.merge(spec.team(), (spec.tasks() - done) * spec.cpus(), Double::sum);
      if (teamCpus <= settings.team(spec.team()).cpus() + Constants.EPS) {
        guaranteed.add(spec.id());
      }
    }

    private QueuedJob queuedJob(StateCache.Entry<Job> entry, int live, int done, int[] liveByZone) {
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
          missedObjectives(job),
          (spec.tasks() - done) * spec.cpus() * spec.estimateS(),
          spec.tasks() - done - live,
          liveByZone);
    }

    /** Grants as many of a job's tasks as its team's limit and the free capacity allow. */
    private void schedule(QueuedJob job) {
      JobSpec spec = job.spec();
      int allowed = usage.allowed(settings.team(spec.team()), spec, job.pending());
      if (allowed <= 0) {
        return;
      }
      int[] liveByZone = job.liveByZone().clone();
      String shape = shape(spec, zones.requiredZone(spec, liveByZone));
      JobGrant grant = new JobGrant(job, liveByZone, allowed);
      boolean outOfCapacity = unplaceableShapes.contains(shape) || !grant.grantTasks(freeCapacity);
      if (outOfCapacity && !spec.service() && !spec.spread() && !spec.oneZone()) {
        unplaceableShapes.add(shape);
      }
      usage.add(spec, grant.grantedCount);
      if (outOfCapacity && grant.grantedCount < allowed) {
        long waitedMs = recordUnmet(job, allowed - grant.grantedCount, liveByZone);
        if (waitedMs < Constants.LIMIT_RESERVED_MS) {
          // Machines are rented for these tasks, so the limit must still allow them later.
          usage.add(spec, allowed - grant.grantedCount);
        }
      }
      if (grant.grantedCount > 0) {
        grant.write();
      }
    }

    /** Records tasks without capacity; returns for how many ms the job has had such tasks. */
    private long recordUnmet(QueuedJob job, int count, int[] liveByZone) {
      JobSpec spec = job.spec();
      if (unmetSince.putIfAbsent(job.id(), clock.now()) == null) {
        replication.jobWaiting(job.id());
      }
      long waitedMs = clock.now() - unmetSince.get(job.id());
      if (!spec.spread() && !spec.oneZone()) {
        unmetInPass.add(new UnmetDemand(spec, spec.zone(), count, waitedMs, job.entitlement()));
        return waitedMs;
      }
      Map<String, Integer> byZone = new LinkedHashMap<>();
      for (int i = 0; i < count; i++) {
        byZone.merge(zones.assignZone(spec, liveByZone), 1, Integer::sum);
      }
      byZone.forEach(
          (zone, n) ->
              unmetInPass.add(new UnmetDemand(spec, zone, n, waitedMs, job.entitlement())));
      return waitedMs;
    }

    private void removeOutdated() {
      if (clock.now() >= nextCleanup) {
        nextCleanup = clock.now() + Constants.SCHEDULER_CLEANUP_MS;
        removeEndedGrants();
      }
      Set<String> waiting = new HashSet<>();
      unmetInPass.forEach(demand -> waiting.add(demand.spec().id()));
      for (Iterator<String> it = unmetSince.keySet().iterator(); it.hasNext(); ) {
        String job = it.next();
        if (!waiting.contains(job)) {
          it.remove();
          replication.jobServed(job);
        }
      }
    }

    private void removeEndedGrants() {
      Map<String, List<Integer>> ended = new HashMap<>();
      for (TaskId task : grantedAt.keySet()) {
        if (cache.grant(task) == null && !writes.hasWriteInFlight(task.job())) {
          ended.computeIfAbsent(task.job(), k -> new ArrayList<>()).add(task.index());
        }
      }
      ended.forEach(
          (job, tasks) -> {
            tasks.forEach(index -> grantedAt.remove(new TaskId(job, index)));
            replication.grantsEnded(job, tasks);
          });
    }
  }

  /** The tasks of one job that are granted in one pass. */
  private final class JobGrant {
    /** Why the grant of a chunk's tasks ended. */
    private enum ChunkOutcome {
      /** Other chunks may have tasks to grant. */
      CHUNK_DONE,
      LIMIT_REACHED,
      OUT_OF_CAPACITY
    }

    private final QueuedJob job;
    private final int[] liveByZone;
    private final int allowed;
    private final Txn txn;
    private final Map<Partition, Integer> tasksByPartition = new HashMap<>();
    private final List<Integer> grantedIndexes = new ArrayList<>();
    private FreeCapacity.Candidate candidate;
    private int grantedCount;

    JobGrant(QueuedJob job, int[] liveByZone, int allowed) {
      this.job = job;
      this.liveByZone = liveByZone;
      this.allowed = allowed;
      this.txn =
          new Txn()
              .when(Keys.claim(Keys.LEADER), membership.leaderClaimStamp())
              .when(Keys.job(job.id()), job.stamp());
    }

    /** Grants tasks as far as limits and capacity allow; false only if capacity ran out. */
    boolean grantTasks(FreeCapacity freeCapacity) {
      ChunkOutcome outcome = ChunkOutcome.CHUNK_DONE;
      for (int chunk = 0;
          outcome == ChunkOutcome.CHUNK_DONE
              && Progress.firstIndex(chunk) < job.spec().tasks()
              && hasSpaceForChunk(chunk);
          chunk++) {
        outcome = grantChunk(chunk, freeCapacity);
      }
      return outcome != ChunkOutcome.OUT_OF_CAPACITY;
    }

    /** Whether the write can take a chunk; otherwise the next pass grants the job's other tasks. */
    private boolean hasSpaceForChunk(int chunk) {
      return txn.writeCount() == 0
          || txn.writeCount() < settings.state().txnOps() / 2
              && txn.hasSpaceFor(
                  Keys.progress(job.id(), chunk), progressCodec.maxBytes(chunk), settings.state());
    }

    private ChunkOutcome grantChunk(int chunk, FreeCapacity freeCapacity) {
      Progress stored = cache.progress(job.id(), chunk);
      Progress progress = stored == null ? new Progress(chunk) : stored;
      int grantedBefore = grantedCount;
      ChunkOutcome outcome = ChunkOutcome.CHUNK_DONE;
      int end = Math.min(job.spec().tasks(), Progress.firstIndex(chunk + 1));
      for (int i = Progress.firstIndex(chunk); i < end; i++) {
        if (progress.isDone(i) || progress.live.containsKey(i)) {
          continue;
        }
        if (grantedCount >= allowed) {
          outcome = ChunkOutcome.LIMIT_REACHED;
          break;
        }
        if (!progressCodec.hasSpaceFor(progress, i)) {
          break; // the chunk's other tasks are granted once some of these have ended
        }
        candidate = nextCandidate(freeCapacity);
        if (candidate == null) {
          outcome = ChunkOutcome.OUT_OF_CAPACITY;
          break;
        }
        progress = progress == stored ? stored.copy() : progress;
        progress.grant(i, candidate.partition());
        reserve(i);
      }
      if (grantedCount > grantedBefore) {
        String key = Keys.progress(job.id(), chunk);
        txn.when(key, cache.stamp(key)).put(key, progressCodec.encode(chunk, progress));
      }
      return outcome;
    }

    /** The last candidate as long as tasks fit there, unless they are to be spread; or null. */
    private FreeCapacity.Candidate nextCandidate(FreeCapacity freeCapacity) {
      JobSpec spec = job.spec();
      boolean reuse =
          candidate != null && !spec.service() && !spec.spread() && candidate.capacity().fits(spec);
      return reuse
          ? candidate
          : freeCapacity.findCandidate(spec, liveByZone, avoidance.avoidedPartitions(job.id()));
    }

    /** Counts a task as granted to the current candidate. */
    private void reserve(int index) {
      candidate.capacity().reserve(job.spec());
      tasksByPartition.merge(candidate.partition(), 1, Integer::sum);
      grantedAt.put(new TaskId(job.id(), index), clock.now());
      grantedIndexes.add(index);
      liveByZone[zones.indexOf(candidate.partition().zone())]++;
      grantedCount++;
    }

    void write() {
      LOG.debug("granting {} tasks of job {}", grantedCount, job.id());
      replication.tasksGranted(job.id(), grantedIndexes);
      writes.grant(job.id(), tasksByPartition, txn);
    }
  }

  /** Number of its class's objectives that the job would miss even if it started now. */
  private int missedObjectives(Job job) {
    double ageS = (clock.wall() - job.acceptedMs()) / 1000.0;
    int missed = 0;
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.jobClass().equals(job.spec().jobClass())) {
        double withinS = objective.withinS();
        if (objective.deadlineFactor() > 0) {
          Double deadlineS = job.spec().deadlineS();
          withinS = deadlineS == null ? 0 : deadlineS * objective.deadlineFactor();
        }
        missed += withinS > 0 && ageS + job.spec().estimateS() > withinS ? 1 : 0;
      }
    }
    return missed;
  }

  /**
   * Resources and constraints of a job's tasks. If a job finds no capacity, other jobs of the same
   * shape need not be tried in this pass.
   */
  private static String shape(JobSpec spec, String requiredZone) {
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
        + requiredZone;
  }

  private void markDone(String id, StateCache.Entry<Job> job) {
    writes.write(
        id,
        Store.Urgency.LAUNCH,
        new Txn()
            .when(Keys.claim(Keys.LEADER), membership.leaderClaimStamp())
            .when(Keys.job(id), job.stamp())
            .put(Keys.job(id), Records.job(job.value().completed())));
  }

  /** Deletes the progress of an ended job that has no live tasks. */
  private void deleteProgress(String id, TreeMap<Integer, StateCache.Entry<Progress>> chunks) {
    Txn txn = new Txn().when(Keys.claim(Keys.LEADER), membership.leaderClaimStamp());
    for (Integer chunk : chunks.keySet()) {
      if (txn.writeCount() < settings.state().txnOps()) {
        String key = Keys.progress(id, chunk);
        txn.when(key, cache.stamp(key)).delete(key);
      }
    }
    writes.write(id, Store.Urgency.MOVE, txn);
  }
}
