package org.baygw.control.workers;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baygw.control.Constants;
import org.baygw.control.model.Machine;
import org.baygw.control.model.TaskId;

/** State that a partition's owner keeps of one worker, in memory only and for one claim only. */
final class WorkerSession {
  /** A launch order that the worker may still carry out. */
  static final class PendingLaunch {
    /** Highest token of a direct launch without an answer; 0 if there is none. */
    long directToken;

    /** Tick of the report whose response carried the launch; 0 if there is none. */
    long reportTick;

    boolean resolved() {
      return directToken == 0 && reportTick == 0;
    }
  }

  static final int MAX_TOKEN_INCREMENTS = (1 << Constants.TOKEN_BITS) - 1;

  final String name;
  final long claim;
  final long createdAt;

  /** Number of times that the token was raised within the claim. */
  private int tokenIncrements;

  String addr = "";
  long session;

  /**
   * The worker's session as a former owner knew it, until this owner has announced its token; 0 if
   * there is none.
   */
  long expectedSession;

  /** A call that announces this claim's token to the worker is in flight. */
  boolean announcingToken;

  long tick;
  long reportedToken;
  long lastHeard;
  long lastAnswered;

  /** When the machine is taken after a termination notice, in ms of the clock; 0 without one. */
  long noticeUntil;

  Map<TaskId, WorkerCodec.ReportedTask> reported = new LinkedHashMap<>();
  final Map<TaskId, PendingLaunch> pendingLaunches = new HashMap<>();

  /** The token of the latest direct launch of each task that the worker may not have forgotten. */
  private final Map<TaskId, Long> directLaunchTokens = new HashMap<>();

  /**
   * Launch times of tasks on the machine, in ms of this controller's clock; tasks without one have
   * no known age.
   */
  final Map<TaskId, Long> launchedAt = new HashMap<>();

  final Map<TaskId, Long> killSentAt = new HashMap<>();

  /** Number of tasks that failed here since one last completed, by job. */
  final Map<String, Integer> failures = new HashMap<>();

  boolean sick;

  /**
   * Condition of the machine to be written to its partition's record; null until this owner has
   * checked the machine.
   */
  Machine.Condition condition;

  /** A write of the machine's own record is in flight. */
  boolean recordWriteInFlight;

  boolean directCallInFlight;

  /** A probe of the worker is in flight. */
  boolean probing;

  /** A probe has failed since the worker was last heard from. */
  boolean probeUnanswered;

  long nextProbe;
  boolean leaseExpired;

  /** Highest token sent in a response to a report. */
  long answeredToken;

  /** Recent signs that responses do not reach the worker. */
  int missedResponses;

  long lastMissedResponse;

  WorkerSession(String name, long claim, long now) {
    this.name = name;
    this.claim = claim;
    this.createdAt = now;
  }

  /**
   * The fencing token for orders: grows with the claim and, within a claim, with every increment.
   */
  long token() {
    return claim << Constants.TOKEN_BITS | tokenIncrements;
  }

  /**
   * Raises the token: once the worker has seen it, the worker refuses all calls that were sent
   * before, whether they arrive late or once more.
   */
  void raiseToken() {
    tokenIncrements = Math.min(tokenIncrements + 1, MAX_TOKEN_INCREMENTS);
  }

  /** Whether the token can be raised further, as every direct launch may require. */
  boolean canRaiseToken() {
    return tokenIncrements < MAX_TOKEN_INCREMENTS;
  }

  /** Records a direct launch that is sent with the present token. */
  void directLaunchSent(TaskId task) {
    pendingLaunch(task).directToken = token();
    directLaunchTokens.put(task, token());
  }

  /**
   * Prepares orders for a response that tells the worker to forget attempts. A direct launch that
   * arrives once more has no effect only as long as the worker knows its attempt, so a forgotten
   * one must be refused by its token: the response gets a higher token than the launch had. The
   * worker would refuse a call in flight too, so until that is answered such attempts are kept.
   */
  void fenceForgottenLaunches(List<WorkerCodec.Order> orders) {
    if (orders.stream().noneMatch(this::forgetsLaunchOfPresentToken)) {
      return;
    }
    if (directCallInFlight) {
      orders.removeIf(this::forgetsLaunchOfPresentToken);
    } else {
      raiseToken();
    }
  }

  private boolean forgetsLaunchOfPresentToken(WorkerCodec.Order order) {
    return order.verb() == WorkerCodec.Verb.FORGET
        && directLaunchTokens.getOrDefault(order.task(), 0L) == token();
  }

  /** Drops what is known of direct launches that the worker has forgotten and refuses. */
  void dropForgottenLaunches() {
    directLaunchTokens
        .keySet()
        .removeIf(task -> !reported.containsKey(task) && !pendingLaunches.containsKey(task));
  }

  /**
   * Whether the worker has reported a token of this claim, so that it refuses the orders of older
   * claims.
   */
  boolean claimConfirmed() {
    return reportedToken >= claim << Constants.TOKEN_BITS;
  }

  boolean newer(long reportSession, long reportTick) {
    return reportSession > session || reportSession == session && reportTick > tick;
  }

  /**
   * Counts signs that responses do not reach a worker whose reports arrive: it does not report the
   * token that they carried, it reports again after it did not answer a probe, or its session ends
   * although it was answered within a lease. Single responses get lost, so the signs add up only
   * within a few leases, and a report with a higher token resets the count.
   */
  void countMissedResponses(WorkerCodec.Report report, long now, long leaseMs) {
    boolean sessionEnded =
        session > 0 && report.session() > session && now - lastAnswered < leaseMs;
    if (report.token() > reportedToken
        || now - lastMissedResponse > Constants.MISSED_RESPONSE_LEASES * leaseMs) {
      missedResponses = 0;
    }
    if (sessionEnded || probeUnanswered || report.token() < answeredToken) {
      missedResponses++;
      lastMissedResponse = now;
    }
  }

  boolean missesResponses() {
    return missedResponses >= Constants.MISSED_RESPONSES;
  }

  PendingLaunch pendingLaunch(TaskId task) {
    return pendingLaunches.computeIfAbsent(task, k -> new PendingLaunch());
  }

  /**
   * Removes the launches that the worker can no longer carry out. Until then a launch stays
   * pending, since it must never take effect late, after the task was placed on another machine.
   */
  void clearResolvedLaunches(boolean checkin) {
    pendingLaunches
        .values()
        .removeIf(
            launch -> {
              if (launch.directToken != 0 && reportedToken > launch.directToken) {
                launch.directToken = 0; // the worker now refuses that token
              }
              if (checkin && launch.reportTick != 0 && tick > launch.reportTick) {
                // The worker reports again only after it took or dropped that response.
                launch.reportTick = 0;
              }
              return launch.resolved();
            });
  }
}
