package org.baygw.control.workers;

import java.util.List;
import org.baygw.control.core.Clock;
import org.baygw.control.model.Machine;
import org.baygw.control.model.TaskId;
import org.baygw.control.store.StateCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs each order to a worker with what allowed it, and each task's end with its proof, so that one
 * task can be followed through the logs of all controllers. Counts messages by kind.
 */
final class OrderLog {
  private static final Logger LOG = LoggerFactory.getLogger(OrderLog.class);

  /** Least interval between two log lines on direct calls that workers refuse. */
  private static final long REFUSAL_LOG_INTERVAL_MS = 10_000;

  private final Clock clock;
  private final StateCache cache;
  private final MessageCounters counters = new MessageCounters();
  private long nextRefusalLogAt;

  OrderLog(Clock clock, StateCache cache) {
    this.clock = clock;
    this.cache = cache;
  }

  MessageCounters counters() {
    return counters;
  }

  /** Records orders that go with the response to the report of the given tick. */
  void sentInResponse(WorkerSession worker, long reportTick, List<WorkerCodec.Order> orders) {
    orders.forEach(order -> sent(worker, worker.session, "response to report", reportTick, order));
  }

  /** Records orders of a direct call. */
  void sentDirectly(WorkerSession worker, long session, List<WorkerCodec.Order> orders) {
    orders.forEach(order -> sent(worker, session, "direct call after report", worker.tick, order));
  }

  private void sent(
      WorkerSession worker, long session, String way, long tick, WorkerCodec.Order order) {
    switch (order.verb()) {
      case LAUNCH -> counters.launches++;
      case KILL -> counters.kills++;
      case FORGET -> counters.forgets++;
    }
    if (!LOG.isDebugEnabled()) {
      return;
    }
    StateCache.Entry<Machine> machine = cache.machines.get(worker.name);
    LOG.debug(
        "{} {}@{} on {}: {}; session {}, token {}, partition {}, claim {}, revision {}, {} {}",
        order.verb(),
        order.task(),
        order.attempt(),
        worker.name,
        order.reason(),
        session,
        worker.token(),
        machine == null ? "none" : machine.value().partition(),
        worker.claim,
        cache.revision(),
        way,
        tick);
  }

  /** Records that a worker refused a direct call with 409; frequent refusals are logged rarely. */
  void refused(WorkerSession worker, long token, long session) {
    counters.refusedCalls++;
    if (clock.now() >= nextRefusalLogAt) {
      nextRefusalLogAt = clock.now() + REFUSAL_LOG_INTERVAL_MS;
      LOG.info(
          "{} refused a call with token {} and session {}; {} refusals so far",
          worker.name,
          token,
          session,
          counters.refusedCalls);
    }
  }

  /** Records that a direct call got no answer. */
  void unanswered(WorkerSession worker, long token, long session) {
    counters.unansweredCalls++;
    LOG.debug("{} did not answer a call with token {} and session {}", worker.name, token, session);
  }

  /** Records that a report was dropped as outdated. */
  void outdated(WorkerSession worker, WorkerCodec.Report report) {
    counters.outdatedReports++;
    if (!LOG.isDebugEnabled()) {
      return;
    }
    LOG.debug(
        "dropped report {} of session {} from {}: report {} of session {} is known",
        report.tick(),
        report.session(),
        worker.name,
        worker.tick,
        worker.session);
  }

  /** Records that a report carried a token above this controller's. */
  void newerToken(WorkerSession worker, WorkerCodec.Report report) {
    counters.newerTokenReports++;
    if (!LOG.isDebugEnabled()) {
      return;
    }
    LOG.debug(
        "{} has seen token {}, this controller's is {} under claim {}",
        worker.name,
        report.token(),
        worker.token(),
        worker.claim);
  }

  /** Records a task's end on a machine, once it is durable. */
  void ended(WorkerSession worker, TaskId task, int attempt, TerminationEvidence.End end) {
    if (!LOG.isDebugEnabled()) {
      return;
    }
    LOG.debug(
        "ended {}@{} on {}: {}; session {}, report {}, token seen {}, claim {}, revision {}",
        task,
        attempt,
        worker.name,
        end,
        worker.session,
        worker.tick,
        worker.reportedToken,
        worker.claim,
        cache.revision());
  }
}
