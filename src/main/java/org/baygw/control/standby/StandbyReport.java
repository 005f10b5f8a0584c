package org.baygw.control.standby;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.core.MetricsSink;
import org.baygw.control.membership.Membership;

/** Reports warm standby to operators: a page of the administration API, and metrics. */
final class StandbyReport {
  private final Clock clock;
  private final Membership membership;
  private final RoleTable roles;
  private final Replicator replicator;
  private final Handover handover;
  private final EmissionFence fence;

  StandbyReport(
      Clock clock,
      Membership membership,
      RoleTable roles,
      Replicator replicator,
      Handover handover,
      EmissionFence fence) {
    this.clock = clock;
    this.membership = membership;
    this.roles = roles;
    this.replicator = replicator;
    this.handover = handover;
    this.fence = fence;
  }

  ObjectNode page() {
    ObjectNode page = Json.object();
    page.put("handover", handover.phase().name().toLowerCase(Locale.ROOT));
    page.put("takeovers", roles.takeovers());
    page.put("differences", roles.differences());
    page.put("orders_withheld", fence.withheld());
    Replica.Counters counters = roles.counters();
    ObjectNode replication = page.putObject("replication");
    replication.put("bytes_sent", replicator.bytesSent());
    replication.put("bytes_received", replicator.bytesReceived());
    replication.put("messages_unanswered", replicator.unanswered());
    replication.put("decisions_applied", counters.applied).put("gaps", counters.gaps);
    replication.put("snapshots", counters.snapshots).put("repeated", counters.repeated);
    replication.put("outdated", counters.outdated);
    ArrayNode array = page.putArray("roles");
    roles.entries().forEach(entry -> describe(entry, array.addObject()));
    return page;
  }

  private void describe(RoleEntry entry, ObjectNode node) {
    node.put("role", entry.role.name());
    node.put("state", entry.takeover.state().name().toLowerCase(Locale.ROOT));
    var claim = membership.claim(entry.role.name());
    node.put("active", claim == null ? null : claim.value().owner());
    node.put("epoch", claim == null ? 0 : claim.stamp());
    node.put("standby", entry.standby);
    if (entry.active()) {
      node.put("decisions", entry.log.lastSequence());
      node.put("evidence", String.valueOf(entry.takeover.evidence()));
    }
    if (entry.stream != null) {
      node.put("acknowledged", entry.stream.acknowledged());
      node.put("lag_decisions", entry.stream.lagDecisions());
      node.put("lag_ms", entry.stream.lagMs(clock.now()));
    }
    if (entry.replica != null) {
      node.put("applied", entry.replica.applied());
      node.put("applied_epoch", entry.replica.epoch());
      node.put("silent_ms", clock.now() - entry.replica.lastHeardAt());
    }
  }

  void register(MetricsSink sink) {
    Replica.Counters counters = roles.counters();
    sink.gauge(
        "baygw.standby.active", "Roles that this controller is active for", this::activeRoles);
    sink.gauge(
        "baygw.standby.lag.decisions",
        "Most decisions that a standby lacks",
        this::maxLagDecisions);
    sink.gauge(
        "baygw.standby.lag.ms", "Longest time for which a standby lacks some", this::maxLagMs);
    sink.counter("baygw.standby.takeovers", "Roles taken over", roles::takeovers);
    sink.counter("baygw.standby.differences", "Replica against record", roles::differences);
    sink.counter("baygw.standby.withheld", "Batches of orders withheld", fence::withheld);
    sink.counter("baygw.standby.sent.bytes", "Replication sent", replicator::bytesSent);
    sink.counter("baygw.standby.received.bytes", "Replicated here", replicator::bytesReceived);
    sink.counter("baygw.standby.applied", "Decisions applied", () -> counters.applied);
    sink.counter("baygw.standby.gaps", "Gaps in logs", () -> counters.gaps);
    sink.counter("baygw.standby.snapshots", "Snapshots taken in", () -> counters.snapshots);
  }

  private double activeRoles() {
    return roles.entries().stream().filter(RoleEntry::active).count();
  }

  private double maxLagDecisions() {
    return roles.entries().stream()
        .filter(entry -> entry.stream != null)
        .mapToLong(entry -> entry.stream.lagDecisions())
        .max()
        .orElse(0);
  }

  private double maxLagMs() {
    return roles.entries().stream()
        .filter(entry -> entry.stream != null)
        .mapToLong(entry -> entry.stream.lagMs(clock.now()))
        .max()
        .orElse(0);
  }
}
