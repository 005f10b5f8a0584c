package org.baygw.control;

/** Every fixed number of the service, each with its unit and its reason. */
public final class Constants {
  /**
   * Parts of all zones for each controller of a new deployment: with two, the loss of a controller
   * spreads over several others.
   */
  public static final double PARTS_PER_CONTROLLER = 2;

  /** Tasks per progress key. 128 live tasks take about 3 KiB, well inside an 8 KiB value. */
  public static final int CHUNK_TASKS = 128;

  /** Most tasks recorded on one machine: a page has room for several such machines in 8 KiB. */
  public static final int MACHINE_TASKS = 200;

  /**
   * Share of the state service's value limit up to which a page of a partition's record takes new
   * tasks.
   */
  public static final double RECORD_FULL = 0.85;

  /** Share of the value limit that ended tasks may take before progress takes them over. */
  public static final double RECORD_ENDED = 0.3;

  /**
   * Share of it that what a page's machines have to do takes when pages of the record are split:
   * with what has ended there the page is nearly full then.
   */
  public static final double RECORD_CROWDED = 0.5;

  /** Share of it that pages must take on average for that: splitting them halves it at the most. */
  public static final double RECORD_SPLIT_LOAD = 0.2;

  /**
   * Share of a write's changes and bytes that pages take: the rest is for jobs, machines and moves.
   */
  public static final double RECORD_WRITE_SHARE = 0.75;

  /** Bytes of a page kept free for what ends: it moves from one list to another, and may grow. */
  public static final int RECORD_SPARE_BYTES = 200;

  /** Bytes an entry of a page takes beside its name and text: quotes, colon, comma. */
  public static final int RECORD_ENTRY_BYTES = 6;

  /** Bytes a task takes of it, about, with its share of its job's name. */
  public static final int RECORD_TASK_BYTES = 8;

  /**
   * Machines whose ends go into one write: a partition has some forty, and a write is at most 64
   * KiB.
   */
  public static final int MACHINES_PER_WRITE = 64;

  /** Jobs whose ended tasks are taken over at the same time: it is never urgent. */
  public static final int FOLDS = 4;

  /**
   * Assignments of the partitions kept, by members: they change by one or two at a time, and a
   * standby is chosen for each of a few owners.
   */
  public static final int OWNERS_KEPT = 24;

  /**
   * ms between two writes of a partition's record while tokens are scarce: what ends meanwhile
   * shares one.
   */
  public static final long RECORD_PACE_MS = 400;

  /**
   * ms added to that for each further page: a write takes as many changes as pages, and grants need
   * some.
   */
  public static final long RECORD_PACE_MS_A_PAGE = 40;

  /** ms between two tries to place what found no room, while nothing else calls for a write. */
  public static final long PLACE_AGAIN_MS = 100;

  /**
   * Machines' own records deleted in one write of their partition's record; the rest waits for the
   * next.
   */
  public static final int DELETES_PER_WRITE = 6;

  /** Bytes per machine in a partition's list of draining machines, with some margin. */
  public static final int DRAIN_ENTRY_BYTES = 40;

  /** Images remembered for a machine: about as many as its cache holds. */
  public static final int MACHINE_IMAGES = 20;

  /** ms. The core's clock step where the processor allows it: fine against second-long aims. */
  public static final long TICK_MS = 50;

  /** ms of a whole core that a step with nothing to do takes, with its wake-up. */
  public static final double TICK_COST_MS = 0.3;

  /** Share of the processor for steps that nothing but the clock calls for. */
  public static final double TICK_SHARE = 0.06;

  /**
   * ms. The longest clock step, however slow the processor: renewals and looks must not be late.
   */
  public static final long TICK_MOST_MS = 150;

  /** ms. A hold's life: two lost renewals and a slow answer are survived, a crash is seen soon. */
  public static final long HOLD_TTL_MS = 5_000;

  /**
   * ms for which a planned handover waits for standbys to catch up: a batch and its answer. They do
   * without what has not come by then.
   */
  public static final long HANDOVER_FLUSH_MS = 1_500;

  /**
   * ms that the end of the process waits for a planned handover: some writes, each with a retry.
   */
  public static final long HANDOVER_MOST_MS = 8_000;

  /** Bytes of updates in one message to a standby: it fits into a body with all that is around. */
  public static final int REPLICATION_BYTES = 40 * 1024;

  /** ms. A standby answers within it or the message counts as lost. */
  public static final int REPLICATION_TIMEOUT_MS = 2_000;

  /** ms between looks at who is active and who is standby of which role. */
  public static final long ROLE_LOOK_MS = 200;

  /**
   * Workers to which a new owner introduces itself in one step: each costs a request, and on a
   * small share of a processor the answers must not hold reports up.
   */
  public static final int INTRODUCTIONS_A_STEP = 24;

  /** ms between renewals of the hold: three tries within its life. */
  public static final long HOLD_TOUCH_MS = 1_500;

  /**
   * ms a controller must be seen before partitions are handed to it: long enough not to chase one
   * that flaps.
   */
  public static final long SETTLE_MS = 1_000;

  /** ms after joining for which controllers that are still to come count: they start within it. */
  public static final long TOGETHER_MS = 1_000;

  /** ms between looks at who should hold what. */
  public static final long CLAIM_LOOK_MS = 100;

  /** ms between tries for a claim that another controller may be taking at the same moment. */
  public static final long CLAIM_RETRY_MS = 300;

  /**
   * ms without a leader after which its zone does not count any more in the choice of the next one:
   * a claim by the first choice, and once more.
   */
  public static final long LEADERLESS_MS = 600;

  /** ms between two statuses sent to the other controllers. */
  public static final long PEER_MS = 3_000;

  /**
   * ms by which another controller was answered later by the state service: this one is refused
   * alone.
   */
  public static final long ALONE_MS = 5_000;

  /** ms between two statuses at least: cancellations that come together go together. */
  public static final long PEER_URGENT_MS = 200;

  /**
   * Cancellations in one status: they fit into a body. A copy that lacks more needs the state
   * service.
   */
  public static final int CANCELLATIONS_TOLD = 1_000;

  /**
   * ms taken off the time that a lease leaves of a cancellation's: a worker ends its session at the
   * next step of its clock, and this controller's clock counts whole milliseconds.
   */
  public static final long CANCEL_MARGIN_MS = 500;

  /** Tries to learn of cancellations within the time for which that knowledge is recent. */
  public static final int WATERMARK_TRIES = 4;

  /** ms at least between two of them, however short that time is. */
  public static final long WATERMARK_PERIOD_MIN_MS = 250;

  /**
   * ms of that time below which ordinary delays end leases: a watch and two lost answers take so
   * long.
   */
  public static final long WATERMARK_TIGHT_MS = 8_000;

  /** Significant digits of histograms: 1% is enough for latencies and keeps them small. */
  public static final int HISTOGRAM_DIGITS = 2;

  /** ms. Highest value a histogram holds: an hour. */
  public static final long HISTOGRAM_MAX_MS = 3_600_000;

  /**
   * ms a watch stays open at the state service; also bounds how long a dead connection is unseen.
   */
  public static final long WATCH_WAIT_MS = 4_000;

  /**
   * ms without an answered watch or sync after which all keys are read instead of all changes:
   * longer than a watch with nothing to tell stays open, and twice its time to be given up.
   */
  public static final long BEHIND_MS = 7_000;

  /** ms at least between the openings of two watches: each counts as a request. */
  public static final long WATCH_GAP_MS = 80;

  /** Share of the state service's requests that all controllers' watches take. */
  public static final double WATCH_SHARE = 0.3;

  /**
   * ms that who needs a current copy waits for the next watch: while much changes one is opened
   * sooner than that, and a sync beside it would bring every change a second time.
   */
  public static final long SYNC_WAIT_MS = 100;

  /** ms at least between two syncs for users' polls; polls in between share one. */
  public static final long SYNC_GAP_MS = 40;

  /** Share of the state service's requests that all controllers' syncs take. */
  public static final double SYNC_SHARE = 0.3;

  /** ms for an ordinary state call: its answers take 10 ms, now and then a few hundred. */
  public static final int STATE_TIMEOUT_MS = 1_500;

  /** ms before a failed state call is tried again: no busy loop in an outage, back soon after. */
  public static final long STATE_RETRY_MS = 250;

  /** Shares of the state service's limits that the leader's controller takes beside its own one. */
  public static final double LEADER_SHARES = 1;

  /**
   * Times the limit that all shares add up to: seldom do all controllers write at the same time.
   */
  public static final double STATE_OVERBOOK = 1.3;

  /** Most of the limits that one controller takes, however few there are. */
  public static final double STATE_SHARE_MAX = 0.9;

  /** Share of its burst of writes below which a controller draws writes together. */
  public static final double SCARCE = 0.5;

  /** ms a write that is made up late waits for tokens before its maker is asked anew. */
  public static final long LATE_WAIT_MS = 5_000;

  /** ms a bucket rests after a 429. */
  public static final long BUCKET_REST_MS = 200;

  /** ms a submission may wait for tokens and its write before it is refused; users wait 5 s. */
  public static final long SUBMIT_WAIT_MS = 1_500;

  /** s. Retry-After of a submission or poll that could not be taken: an outage lasts seconds. */
  public static final int RETRY_AFTER_S = 1;

  /** Entries waiting for users at once; above it submissions get 429. */
  public static final int MAX_WAITING = 400;

  /** Bytes of a request body (protocol). */
  public static final int MAX_BODY = 64 * 1024;

  /** ms for a worker's answer to direct orders; the rest comes by its reports. */
  public static final int ORDERS_TIMEOUT_MS = 2_500;

  /** Token bits below the claim's stamp: raises within one claim. */
  public static final int TOKEN_BITS = 20;

  /** Clock drift of two machines together, relative: 0.05% each (protocol), doubled for safety. */
  public static final double DRIFT = 0.002;

  /** ms added to a lease before it is held to have run out. */
  public static final long LEASE_MARGIN_MS = 500;

  /**
   * Reports that show that our answers do not arrive before a worker counts as deaf: one answer is
   * now and then lost, and a report may have been sent before the answer came.
   */
  public static final int DEAF_REPORTS = 3;

  /** Leases within which they count together: a deaf worker's session ends once a lease. */
  public static final int DEAF_LEASES = 3;

  /**
   * Completed tasks that a worker is told to forget together: each time it has forgotten something
   * it reports once more.
   */
  public static final int FORGET_TOGETHER = 6;

  /** Report periods of silence after which a worker is asked: a period is at most 1.25 of them. */
  public static final double ASK_REPORTS = 1.4;

  /**
   * Report periods of silence after which a machine that did not answer is given up and returned.
   */
  public static final double LOST_REPORTS = 1.9;

  /**
   * Report periods without a word from any worker of its zone after which a controller takes itself
   * for cut off from them: a report comes within 1.25, and a worker counts as silent only after
   * 1.9.
   */
  public static final double UNHEARD_REPORTS = 1.5;

  /**
   * Report periods within which any other worker must have been heard for one to count as silent.
   */
  public static final double SURE_REPORTS = 0.5;

  /** Machines that it must have for that: few may really have ended together. */
  public static final int UNHEARD_MACHINES = 5;

  /**
   * ms after a takeover before workers are asked: most come by themselves, and asking renews no
   * lease.
   */
  public static final long ASK_FIRST_MS = 1_000;

  /** Report periods between two questions to a worker that does not answer. */
  public static final double ASK_AGAIN_REPORTS = 0.5;

  /** Report periods within which a worker must have been heard to be given anything directly. */
  public static final double HEARD_REPORTS = 2;

  /** ms a worker is remembered that reports before its machine is on record. */
  public static final long UNREGISTERED_MS = 10_000;

  /** Times its saving time that a stopped task is given, since machines differ in speed. */
  public static final double GRACE_SAVES = 2;

  /** s added to that, for tasks that save at once. */
  public static final double GRACE_S = 1;

  /**
   * Times the notice that the rest of a task must be estimated at to be given up at once: half of
   * those at the edge would have ended in time, the other half loses all it had.
   */
  public static final double NOTICE_SLACK = 1.0;

  /** ms for a worker's answer when it is asked whether it is there. */
  public static final int SHOW_TIMEOUT_MS = 1_500;

  /**
   * ms without a tick that show that this controller itself fell behind, so that silence proves
   * nothing.
   */
  public static final long STALL_MS = 400;

  /**
   * Share of silent machines in a zone above which a network outage is assumed instead of machine
   * failures.
   */
  public static final double OUTAGE_SILENT_SHARE = 0.4;

  /**
   * Report periods for which a silent machine is always kept, to see whether others fall silent
   * too.
   */
  public static final double SILENT_MIN_REPORTS = 0.5;

  /**
   * Report periods for which machines still silent at the end of a zone outage are kept: they are
   * looking for a controller to report to.
   */
  public static final double SILENT_AFTER_OUTAGE_REPORTS = 2;

  /**
   * ms for which silent machines are kept during a zone outage: outages end, and replacements would
   * have to boot first.
   */
  public static final long SILENT_KEEP_MS = 60_000;

  /**
   * Share of the time for a cancellation after which a silent machine with cancelled tasks is
   * returned even during a zone outage.
   */
  public static final double SILENT_CANCEL_SHARE = 0.4;

  /**
   * Share of the time for a cancellation after which a partition's owner has the cloud take a
   * machine back that may still have a cancelled task: the usual way is quicker, and what is left
   * is enough for a few tries.
   */
  public static final double CANCELLATION_OWNER_SHARE = 0.5;

  /**
   * Share of that time for which the owner must know of the task before: after a takeover workers
   * need a few reports to show what has ended.
   */
  public static final double CANCELLATION_NOTICE_SHARE = 0.15;

  /**
   * The same for a partition without a living owner, in an outage: an owner that is only slow goes
   * first.
   */
  public static final double CANCELLATION_OWNERLESS_SHARE = 0.6;

  /**
   * The same for any controller whose copy is current, whoever owns the machine: a few tries are
   * left.
   */
  public static final double CANCELLATION_LAST_SHARE = 0.8;

  /**
   * ms a granted task may wait in a partition with no fitting machine before it goes back to the
   * queue.
   */
  public static final long UNGRANT_MS = 4_000;

  /**
   * ms for which a partition that gave a job's tasks back unplaced gets more of them only if no
   * other has room.
   */
  public static final long AVOID_MS = 20_000;

  /**
   * ms between looks at which of an owner's machines are quiet; what changes is looked at at once.
   */
  public static final long LOOK_MS = 300;

  /** ms between looks at all tasks of all its machines, for what no change brought to notice. */
  public static final long LOOK_ALL_MS = 1_500;

  /** ms between the leader's passes over the queue. */
  public static final long SCHEDULER_PASS_MS = 100;

  /** ms added to that while nothing has changed: only waiting times grow meanwhile. */
  public static final long SCHEDULER_IDLE_PASS_MS = 1_000;

  /**
   * ms added to that for each machine: a pass looks at each, and may not take most of a processor.
   */
  public static final double SCHEDULER_PASS_MS_A_MACHINE = 0.2;

  /** ms between them while tokens for writes are scarce: more tasks of a job share a grant. */
  public static final long SCHEDULER_SCARCE_MS = 400;

  /**
   * ms for which tasks that found no room keep their share of the team's limit: about a boot of the
   * machines that are rented for them. After it the cloud may have none to give, and others of the
   * team for which there is room must not wait behind them.
   */
  public static final long LIMIT_RESERVED_MS = 60_000;

  /** ms between two looks for what the leader need not remember any more. */
  public static final long SCHEDULER_CLEAN_MS = 10_000;

  /** Errors on a machine with no completed task in between that make it sick. */
  public static final int SICK_ERRORS = 3;

  /** ms. First wait of a job after an error of its tasks; doubles up to ERROR_BACKOFF_MAX_MS. */
  public static final long ERROR_BACKOFF_MS = 1_000;

  /** ms. Longest wait of a job that keeps failing. */
  public static final long ERROR_BACKOFF_MAX_MS = 60_000;

  /** Multiple of the cloud list's lag for which a rented machine may be missing from the list. */
  public static final double UNLISTED_LIST_LAGS = 4;

  /** ms between two checks of which machines to rent or return: a boot takes seconds. */
  public static final long FLEET_INTERVAL_MS = 250;

  /** ms between two reads of the cloud's machine list. */
  public static final long CLOUD_LIST_INTERVAL_MS = 2_500;

  /** ms between two reads of the machine types, which carry the current spot prices. */
  public static final long MACHINE_TYPES_INTERVAL_MS = 60_000;

  /** Timeout of a cloud call in ms; calls take 200 ms. */
  public static final int CLOUD_TIMEOUT_MS = 4_000;

  /** ms before a retry after the cloud failed or refused a call. */
  public static final long CLOUD_RETRY_MS = 1_000;

  /** ms for which a kind of machine is not requested again after the cloud had no capacity. */
  public static final long NO_CAPACITY_BACKOFF_MS = 8_000;

  /**
   * Multiple of the nominal boot time after which a booting machine is late: boots usually take at
   * most 1.5.
   */
  public static final double BOOT_LATE_FACTOR = 1.6;

  /**
   * Late machines of a type, none overtaken by a newer one, at which the cloud is considered slow.
   */
  public static final int SLOW_CLOUD_LATE_BOOTS = 4;

  /** Multiple of the nominal boot time after which a machine is given up if the cloud is slow. */
  public static final double BOOT_GIVE_UP_SLOW_CLOUD_FACTOR = 8.0;

  /** Multiple of the nominal boot time after which a machine is given up. */
  public static final double BOOT_GIVE_UP_FACTOR = 3.0;

  /** Boot times for which an empty machine is kept: that saves waiting for another to boot. */
  public static final double IDLE_BOOTS = 0.7;

  /** Boot times that array jobs wait for spot machines before ordinary ones are rented. */
  public static final double SPOT_WAIT_BOOTS = 0.4;

  /** Machines per rental request (protocol). */
  public static final int MAX_RENT = 50;

  /** Machines per return request (protocol). */
  public static final int MAX_RETURN = 100;

  /** Weight of an active machine (the paper's value). */
  public static final double ALPHA = 10;

  /** Weight of a move (the paper's value). */
  public static final double MU = 1;

  /** K as a share of the machines (the paper's value). */
  public static final double MOVE_SHARE = 0.1;

  /** s between rounds (the design's starting value). */
  public static final double ROUND_PERIOD_S = 20;

  /** Nodes a round may visit; at the start about what 100 ms allow on a whole core. */
  public static final int SEARCH_NODES = 2_000;

  /** Nodes per step, so that reports and polls are answered between steps. */
  public static final int SEARCH_STEP = 50;

  /**
   * s. Tasks that run longer stay put: a move restarts a task that cannot save, so it must be
   * young.
   */
  public static final double AGE_LIMIT_S = 5;

  /**
   * Tasks a round looks at for each move it may make: those of the machines that are emptied most
   * cheaply. More only make the search longer, for a move a machine is the least it takes.
   */
  public static final int ROUND_TASKS_PER_MOVE = 4;

  /** ms after which a planned move that did not come about is dropped. */
  public static final long MOVE_PLAN_MS = 15_000;

  /**
   * ms after which a job within its team's guarantee of which nothing runs goes first in the queue:
   * tasks last a minute, so some end every second and most room comes free without a stop.
   */
  public static final long FIRST_MS = 45_000;

  /**
   * ms after which a job of which nothing runs goes first in any case: users allow four minutes for
   * the largest jobs to begin, and room for one comes free within a minute or two.
   */
  public static final long STARVED_MS = 100_000;

  /** ms after which borrowed room is taken back for such a job by stopping tasks. */
  public static final long RECLAIM_MS = 75_000;

  /** s for which a task must run for its start to count (protocol, with some time to spare). */
  public static final double START_COUNTS_S = 35;

  /** s of lost work that a start with its image there is worth: about one fetch. */
  public static final double COLD_COST_S = 3;

  /** s of lost work that a second of saving is worth, for the one that waits for the room. */
  public static final double SAVE_COST = 4;

  /**
   * Machines looked at for one job that others are stopped for, in one pass: a pass must stay
   * short.
   */
  public static final int PREEMPT_LOOKS = 120;

  /** Tasks the leader may stop in one pass to make room. */
  public static final int PREEMPT_PER_PASS = 16;

  /** Relative slack when amounts are compared: they are sums of decimals. */
  public static final double EPS = 1e-6;

  private Constants() {}
}
