package org.baygw.control;

/**
 * Fixed numbers of the service. The unit of each stands in its name or else in its comment: MS are
 * milliseconds, S seconds, shares fractions of 1.
 */
public final class Constants {
  /**
   * Partitions per controller in a new deployment, over all zones: with two, the partitions of a
   * lost controller go to several others.
   */
  public static final double PARTITIONS_PER_CONTROLLER = 2;

  /** Tasks per progress key; part of the format of stored data. */
  public static final int CHUNK_TASKS = 128;

  /** Maximum tasks recorded on one machine; a page of 8 KiB holds several such machines. */
  public static final int MAX_TASKS_PER_MACHINE = 200;

  /**
   * Share of the state service's value limit up to which new tasks are added to a page of a
   * partition's record.
   */
  public static final double RECORD_FULL_SHARE = 0.85;

  /** Share of the value limit above which ended tasks are written to their jobs' progress. */
  public static final double RECORD_ENDED_SHARE = 0.3;

  /**
   * Share of the value limit that the machines' tasks on one page exceed when pages of the record
   * are split: with its ended tasks the page is nearly full by then.
   */
  public static final double RECORD_SPLIT_SHARE = 0.5;

  /**
   * Mean share of the value limit that these tasks must exceed for a split, which at most halves
   * it.
   */
  public static final double RECORD_SPLIT_MEAN_SHARE = 0.2;

  /**
   * Share of a write's operations and bytes for pages: the rest is for jobs, machines and moves.
   */
  public static final double RECORD_WRITE_SHARE = 0.75;

  /**
   * Bytes of a page kept free for ended tasks: their entries move from one list to another, and may
   * grow.
   */
  public static final int RECORD_SPARE_BYTES = 200;

  /** Bytes of a page entry in addition to its name and text: quotes, colon and comma. */
  public static final int RECORD_ENTRY_BYTES = 6;

  /** Approximate bytes that a task takes on a page, with its share of its job's name. */
  public static final int RECORD_TASK_BYTES = 8;

  /**
   * Maximum number of machines whose ended tasks go into one write: a partition has some forty
   * machines, and a write is at most 64 KiB.
   */
  public static final int MACHINES_PER_WRITE = 64;

  /** Job writes in flight above which no ended tasks are folded, since folding is never urgent. */
  public static final int FOLD_MAX_WRITES = 4;

  /**
   * Cached partition assignments, one for each set of controllers: members change one or two at a
   * time, and each owner's standby is chosen among all others.
   */
  public static final int CACHED_ASSIGNMENTS = 24;

  /**
   * Minimum interval between writes of a partition's record while write tokens are scarce: changes
   * in between share a write.
   */
  public static final long RECORD_WRITE_INTERVAL_MS = 400;

  /**
   * Time added to that interval for each further page: a write takes an operation for each page,
   * and grants need some too.
   */
  public static final long RECORD_WRITE_INTERVAL_PER_PAGE_MS = 40;

  /**
   * Interval between attempts to place tasks that fit on no machine, while nothing else needs a
   * write.
   */
  public static final long PLACEMENT_RETRY_MS = 100;

  /**
   * Maximum number of machines' own records deleted in one write of their partition's record; the
   * rest waits for the next.
   */
  public static final int DELETES_PER_WRITE = 6;

  /** Bytes per machine in a partition's list of draining machines, with some margin. */
  public static final int DRAIN_ENTRY_BYTES = 40;

  /** Images remembered per machine: about as many as its cache holds. */
  public static final int IMAGES_PER_MACHINE = 20;

  /** Shortest interval between clock steps of the core: short against objectives of seconds. */
  public static final long TICK_MS = 50;

  /** Time that a clock step without work takes on a whole core, including its wake-up. */
  public static final double TICK_COST_MS = 0.3;

  /** Share of the processor for steps that only the clock triggers. */
  public static final double TICK_CPU_SHARE = 0.06;

  /**
   * Longest interval between clock steps, however slow the processor: lease renewals and checks
   * must not be late.
   */
  public static final long TICK_MAX_MS = 150;

  /**
   * Term of a membership lease: survives two lost renewals and a slow answer, yet a crash is
   * detected soon.
   */
  public static final long MEMBERSHIP_LEASE_MS = 5_000;

  /**
   * Time for which a planned handover waits for standbys to catch up: enough for a batch and its
   * answer. Standbys take over without the decisions that have not arrived by then.
   */
  public static final long HANDOVER_FLUSH_MS = 1_500;

  /** Longest wait for a planned handover at shutdown: a few writes, each with a retry. */
  public static final long HANDOVER_TIMEOUT_MS = 8_000;

  /** Bytes of updates in one message to a standby; the whole message must fit a request body. */
  public static final int REPLICATION_MESSAGE_BYTES = 40 * 1024;

  /** Time for a standby's answer to a replication message, which counts as lost after it. */
  public static final int REPLICATION_TIMEOUT_MS = 2_000;

  /** Interval between updates of which controller is active and which is standby for each role. */
  public static final long ROLE_UPDATE_MS = 200;

  /**
   * Workers to which a new owner announces its token in one tick: each takes a request, and on a
   * small share of a processor the answers must not delay reports.
   */
  public static final int TOKEN_ANNOUNCEMENTS_PER_TICK = 24;

  /** Interval between renewals of the membership lease: allows three attempts within its term. */
  public static final long MEMBERSHIP_RENEWAL_MS = 1_500;

  /** Time for which the members must not have changed when a partition is handed over. */
  public static final long MEMBER_STABLE_MS = 1_000;

  /**
   * Time after joining for which controllers that have not joined yet count as members: when all
   * restart together they join within it.
   */
  public static final long JOIN_GRACE_MS = 1_000;

  /** Interval between checks of the assignment of roles. */
  public static final long CLAIM_CHECK_MS = 100;

  /** Wait before a failed write of claims is retried: another controller may write the same. */
  public static final long CLAIM_RETRY_MS = 300;

  /**
   * Time without a leader after which the choice of the next one ignores the former leader's zone:
   * time for the preferred controller to claim the role and retry once.
   */
  public static final long LEADERLESS_MS = 600;

  /** Interval between statuses sent to the other controllers. */
  public static final long PEER_STATUS_MS = 3_000;

  /**
   * Time between the state service's last answers to two controllers above which only the one that
   * was answered earlier is considered cut off from it.
   */
  public static final long STATE_ISOLATION_MS = 5_000;

  /** Minimum interval between statuses, so that cancellations in quick succession share one. */
  public static final long PEER_STATUS_MIN_GAP_MS = 200;

  /**
   * Maximum number of cancellations in one status, so that it fits into a request body. A
   * controller that lacks more has to read them from the state service.
   */
  public static final int CANCELLATIONS_PER_STATUS = 1_000;

  /**
   * Margin subtracted from the part of the cancellation time limit that a lease leaves: a worker
   * ends its session at the next step of its clock, and this controller's clock counts whole
   * milliseconds.
   */
  public static final long CANCEL_MARGIN_MS = 500;

  /** Attempts to learn of cancellations within the greatest age of the watermark. */
  public static final int WATERMARK_ATTEMPTS = 4;

  /** Shortest interval between two such attempts, however low the greatest age is. */
  public static final long WATERMARK_PERIOD_MIN_MS = 250;

  /**
   * If the watermark's greatest age is set below this, ordinary delays let leases expire: a watch
   * and two lost answers take as long.
   */
  public static final long WATERMARK_WARN_MS = 8_000;

  /** Significant digits of histograms: 1% is precise enough for latencies and saves memory. */
  public static final int HISTOGRAM_DIGITS = 2;

  /** Highest value in a histogram: an hour. */
  public static final long HISTOGRAM_MAX_MS = 3_600_000;

  /**
   * Time that a watch stays open at the state service; it also limits how long a dead connection
   * goes unnoticed.
   */
  public static final long WATCH_WAIT_MS = 4_000;

  /**
   * Time without an answered watch or sync after which all keys are listed instead of reading all
   * changes: a watch without events stays open for WATCH_WAIT_MS, and times out after twice
   * STATE_TIMEOUT_MS more.
   */
  public static final long RELIST_AFTER_MS = 7_000;

  /** Shortest interval between the openings of two watches: each counts as a request. */
  public static final long WATCH_INTERVAL_MIN_MS = 80;

  /** Share of the state service's request limit for the watches of all controllers. */
  public static final double WATCH_SHARE = 0.3;

  /**
   * Time that a caller who needs an up-to-date cache waits for the next watch before a sync is
   * sent: under many changes a watch is opened sooner than that, and a concurrent sync would
   * transfer every change twice.
   */
  public static final long SYNC_DELAY_MS = 100;

  /** Shortest interval between two syncs for users' polls; polls in between share one. */
  public static final long SYNC_INTERVAL_MIN_MS = 40;

  /** Share of the state service's request limit for the syncs of all controllers. */
  public static final double SYNC_SHARE = 0.3;

  /** Timeout of an ordinary state service call: it takes 10 ms, occasionally a few hundred. */
  public static final int STATE_TIMEOUT_MS = 1_500;

  /**
   * Wait before a failed state service call is retried: no busy loop in an outage, and quick
   * recovery after it.
   */
  public static final long STATE_RETRY_MS = 250;

  /**
   * Extra shares of the state service's rate limits that the leader takes in addition to its own.
   */
  public static final double LEADER_EXTRA_SHARES = 1;

  /**
   * Sum of all controllers' shares relative to the rate limit: all controllers rarely write at the
   * same time.
   */
  public static final double STATE_OVERCOMMIT = 1.3;

  /** Largest share of the rate limits for one controller, however few controllers there are. */
  public static final double STATE_SHARE_MAX = 0.9;

  /** Share of the burst of write tokens below which a controller batches its writes. */
  public static final double WRITE_TOKENS_LOW = 0.5;

  /** Time that a deferred write waits for tokens before it fails and its sender may try again. */
  public static final long DEFERRED_WRITE_WAIT_MS = 5_000;

  /** Delay after a rejected write until its sender may try another: it seldom differs. */
  public static final long REJECTED_WRITE_DELAY_MS = 2_000;

  /** Pause of the state service's token buckets after a 429 or 503. */
  public static final long RATE_LIMIT_BACKOFF_MS = 200;

  /**
   * Time that a submission or another write for a user waits for tokens before it is refused; users
   * wait 5 s.
   */
  public static final long SUBMIT_WAIT_MS = 1_500;

  /** Retry-After of a submission or poll that could not be served: an outage lasts seconds. */
  public static final int RETRY_AFTER_S = 1;

  /** Submissions that may wait for their writes at once; further ones get 429. */
  public static final int MAX_PENDING_SUBMISSIONS = 400;

  /** Size limit of a request body (protocol). */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  /** Time for a worker's answer to direct orders; after it, its reports show their outcome. */
  public static final int ORDERS_TIMEOUT_MS = 2_500;

  /** Bits of a fencing token below the claim's stamp, which count increments within one claim. */
  public static final int TOKEN_BITS = 20;

  /** Relative drift between two machines' clocks: 0.05% each (protocol), doubled for safety. */
  public static final double CLOCK_DRIFT = 0.002;

  /** Time added to a lease before it counts as expired. */
  public static final long LEASE_MARGIN_MS = 500;

  /**
   * Signs of a missed response after which a worker counts as not receiving responses: single ones
   * get lost, and a report may have been sent before the response arrived.
   */
  public static final int MISSED_RESPONSES = 3;

  /**
   * Lease terms within which these signs add up: without responses a worker's session ends once a
   * term.
   */
  public static final int MISSED_RESPONSE_LEASES = 3;

  /**
   * Minimum number of completed tasks that a worker is ordered to forget together: each time it has
   * forgotten tasks it sends one more report.
   */
  public static final int FORGET_BATCH_TASKS = 6;

  /**
   * Report periods of silence after which a worker is probed: two reports are at most 1.25 periods
   * apart.
   */
  public static final double PROBE_AFTER_REPORTS = 1.4;

  /**
   * Report periods of silence after which a machine that answered no probe is given up and
   * returned.
   */
  public static final double LOST_REPORTS = 1.9;

  /**
   * Report periods without a report from any worker of its zone after which a controller considers
   * itself cut off from them: a report comes within 1.25, and a worker counts as silent only after
   * 1.9.
   */
  public static final double CUT_OFF_REPORTS = 1.5;

  /** Report periods within which another worker must have reported for one to count as silent. */
  public static final double CONCLUSIVE_SILENCE_REPORTS = 0.5;

  /**
   * Minimum number of machines for a controller to consider itself cut off: a few may really fail
   * together.
   */
  public static final int CUT_OFF_MIN_MACHINES = 5;

  /**
   * Time after a takeover before workers are probed: most report by themselves, and a probe renews
   * no lease.
   */
  public static final long PROBE_AFTER_TAKEOVER_MS = 1_000;

  /** Report periods between two probes of a worker that does not answer. */
  public static final double PROBE_INTERVAL_REPORTS = 0.5;

  /**
   * Report periods within which a worker must have been heard from to be sent direct orders or new
   * tasks.
   */
  public static final double RECENTLY_HEARD_REPORTS = 2;

  /** Time for which a worker is remembered that reports before its machine is on record. */
  public static final long UNREGISTERED_MS = 10_000;

  /** Factor on the saving time that a stopped task is given, since machines differ in speed. */
  public static final double GRACE_SAVE_FACTOR = 2;

  /** Time added to the saving time of a stopped task, for tasks that save at once. */
  public static final double GRACE_S = 1;

  /**
   * Factor on the termination notice: a task with a longer estimated remaining time is stopped at
   * once. Half of the borderline tasks would have ended in time, the other half would lose all
   * their work.
   */
  public static final double NOTICE_SLACK = 1.0;

  /** Time for a worker's answer to a probe. */
  public static final int PROBE_TIMEOUT_MS = 1_500;

  /**
   * Time without a clock step that shows that this controller itself was stalled, so that the
   * silence of others proves nothing.
   */
  public static final long STALL_MS = 400;

  /** Share of silent machines in a zone above which a network outage is assumed, not failures. */
  public static final double OUTAGE_SILENT_SHARE = 0.4;

  /** Report periods for which a silent machine is always kept, to see if others fall silent too. */
  public static final double SILENT_MIN_REPORTS = 0.5;

  /**
   * Report periods for which machines still silent at the end of a zone outage are kept: they are
   * looking for a controller to report to.
   */
  public static final double SILENT_AFTER_OUTAGE_REPORTS = 2;

  /**
   * Time for which silent machines are kept during a zone outage: outages end, and replacements
   * would have to boot first.
   */
  public static final long SILENT_OUTAGE_MS = 60_000;

  /**
   * Share of the time for a cancellation after which a silent machine with cancelled tasks is
   * returned even during a zone outage.
   */
  public static final double SILENT_CANCEL_SHARE = 0.4;

  /**
   * Share of the time for a cancellation after which a partition's owner returns a machine that may
   * still have a cancelled task: normal cancellation is faster, and the remaining time is enough
   * for a few attempts.
   */
  public static final double CANCELLATION_OWNER_SHARE = 0.5;

  /**
   * Share of that time for which the owner must have known of the task before: after a takeover
   * workers need a few reports to show which tasks have ended.
   */
  public static final double CANCELLATION_PROOF_SHARE = 0.15;

  /**
   * Share of that time after which any controller returns such a machine if its partition has no
   * live owner, in an outage: an owner that is only slow acts first.
   */
  public static final double CANCELLATION_OWNERLESS_SHARE = 0.6;

  /**
   * Share of that time after which any controller with an up-to-date state cache returns such a
   * machine, whoever owns it: the remaining time is enough for a few attempts.
   */
  public static final double CANCELLATION_ANY_CONTROLLER_SHARE = 0.8;

  /**
   * Time that a granted task may wait in a partition with no fitting machine before it returns to
   * the queue.
   */
  public static final long UNGRANT_MS = 4_000;

  /**
   * Time for which a partition that returned a job's tasks unplaced gets more of them only if no
   * other has capacity.
   */
  public static final long PARTITION_AVOID_MS = 20_000;

  /**
   * Interval between checks of an owner's machines for silence; changed ones are checked at once.
   */
  public static final long MACHINE_CHECK_MS = 300;

  /** Interval between checks of all tasks of all its machines, to find what no change showed. */
  public static final long MACHINE_FULL_CHECK_MS = 1_500;

  /** Interval between the leader's passes over the queue. */
  public static final long SCHEDULER_PASS_MS = 100;

  /** Time added between passes while nothing has changed, since only waiting times grow then. */
  public static final long SCHEDULER_IDLE_PASS_MS = 1_000;

  /**
   * Time added between passes for each machine: a pass examines every machine, and passes must not
   * take most of a processor.
   */
  public static final double SCHEDULER_PASS_MS_PER_MACHINE = 0.2;

  /** Interval between passes while write tokens are scarce, so that grants cover more of a job. */
  public static final long SCHEDULER_SCARCE_PASS_MS = 400;

  /**
   * Time for which tasks without capacity keep their share of the team's limit: about the boot time
   * of the machines rented for them. After that the cloud may have no such machines, and other
   * tasks of the team for which there is capacity must not wait behind them.
   */
  public static final long LIMIT_RESERVED_MS = 60_000;

  /** Interval between removals of ended grants from the leader's memory. */
  public static final long SCHEDULER_CLEANUP_MS = 10_000;

  /** Failed tasks on a machine, with none completed in between, from which it may count as sick. */
  public static final int SICK_ERRORS = 3;

  /** Base of a job's backoff, doubled with each error of its tasks up to ERROR_BACKOFF_MAX_MS. */
  public static final long ERROR_BACKOFF_MS = 1_000;

  /** Longest backoff of a failing job; also for how long it is not retried on a machine. */
  public static final long ERROR_BACKOFF_MAX_MS = 60_000;

  /** Multiple of the cloud list's lag for which a rented machine may be missing from the list. */
  public static final double UNLISTED_LIST_LAGS = 4;

  /** Interval between checks of which machines to rent or return: a boot takes seconds. */
  public static final long FLEET_INTERVAL_MS = 250;

  /** Interval between reads of the cloud's machine list. */
  public static final long CLOUD_LIST_INTERVAL_MS = 2_500;

  /** Interval between reads of the machine types, which carry the current spot prices. */
  public static final long MACHINE_TYPES_INTERVAL_MS = 60_000;

  /** Timeout of a cloud call, which takes 200 ms. */
  public static final int CLOUD_TIMEOUT_MS = 4_000;

  /** Wait before a retry after the cloud failed or refused a call. */
  public static final long CLOUD_RETRY_MS = 1_000;

  /** Time for which a kind of machine is not requested again after the cloud had no capacity. */
  public static final long NO_CAPACITY_BACKOFF_MS = 8_000;

  /**
   * Multiple of the nominal boot time after which a booting machine is late: boots usually take at
   * most 1.5.
   */
  public static final double BOOT_LATE_FACTOR = 1.6;

  /** Late machines of a type, none overtaken by a newer one, at which the cloud counts as slow. */
  public static final int SLOW_CLOUD_LATE_BOOTS = 4;

  /** Multiple of the nominal boot time after which a machine is given up if the cloud is slow. */
  public static final double BOOT_GIVE_UP_SLOW_CLOUD_FACTOR = 8.0;

  /** Multiple of the nominal boot time after which a machine is given up. */
  public static final double BOOT_GIVE_UP_FACTOR = 3.0;

  /** Boot times for which an empty machine is kept: that saves waiting for another to boot. */
  public static final double IDLE_BOOT_TIMES = 0.7;

  /** Boot times for which array jobs wait for spot machines before ordinary ones are rented. */
  public static final double SPOT_WAIT_BOOTS = 0.4;

  /** Machines per rental request (protocol). */
  public static final int MAX_RENT = 50;

  /** Machines per return request (protocol). */
  public static final int MAX_RETURN = 100;

  /** Weight of an active machine in the cost of a placement. */
  public static final double ALPHA = 10;

  /** Weight of a move in the cost of a placement. */
  public static final double MU = 1;

  /** Maximum number of moves in one consolidation round, as a share of the machines. */
  public static final double MOVE_SHARE = 0.1;

  /** Interval between consolidation rounds. */
  public static final double ROUND_PERIOD_S = 20;

  /** Search nodes that a consolidation round may visit: about 100 ms on a whole core. */
  public static final int SEARCH_NODES = 2_000;

  /** Search nodes per step, so that reports and polls are answered between steps. */
  public static final int SEARCH_NODES_PER_STEP = 50;

  /**
   * Run time above which a task is not moved: a move restarts a task that cannot save its state.
   */
  public static final double AGE_LIMIT_S = 5;

  /**
   * Tasks that a round considers for each move it may make: those of the machines that are cheapest
   * to empty. More only make the search longer, since a machine takes at least one move.
   */
  public static final int ROUND_TASKS_PER_MOVE = 4;

  /** Time after which a planned move that has not been made is dropped. */
  public static final long MOVE_PLAN_TTL_MS = 15_000;

  /**
   * Time after which a job within its team's guarantee that has not started moves ahead in the
   * queue: tasks last a minute, so some end every second and most capacity frees up without
   * preemption.
   */
  public static final long GUARANTEED_OVERDUE_MS = 45_000;

  /**
   * Time after which any job that has not started moves ahead in the queue: users allow four
   * minutes for the largest jobs to start, and capacity for one frees up within a minute or two.
   */
  public static final long STARVED_MS = 100_000;

  /**
   * Time after which borrowed capacity is reclaimed, by stopping tasks, for a job within its team's
   * guarantee that has not started.
   */
  public static final long RECLAIM_MS = 75_000;

  /** Time for which a task must run for its start to count: the protocol's with some margin. */
  public static final double MIN_START_RUN_S = 35;

  /** Lost work that a start without the image is rated at: about the time of one fetch. */
  public static final double COLD_START_COST_S = 3;

  /** Seconds of lost work that a second of saving is rated at: a task waits for the capacity. */
  public static final double SAVE_COST_FACTOR = 4;

  /** Maximum machines examined for victims for one job in one pass, so that a pass stays short. */
  public static final int PREEMPT_MAX_MACHINES = 120;

  /** Tasks stopped in one pass at which the search for more victims ends. */
  public static final int PREEMPT_MAX_TASKS = 16;

  /** Tolerance when amounts are compared, since they are sums of decimal fractions. */
  public static final double EPS = 1e-6;

  private Constants() {}
}
