package org.baygw.control.workers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baygw.control.core.Json;
import org.baygw.control.model.TaskId;

/** Encodes and decodes the messages of the worker protocol. */
final class WorkerCodec {
  /** State of a task in a report. */
  enum State {
    FETCHING,
    RUNNING,
    SAVING,
    ENDED
  }

  /** Why a task ended. */
  enum Cause {
    DONE,
    STOPPED,
    ERROR,
    REFUSED
  }

  /** A task in a report. */
  record ReportedTask(int attempt, State state, Cause cause) {}

  /** A worker's report. */
  record Report(
      String machine,
      String addr,
      String type,
      String zone,
      boolean spot,
      long session,
      long tick,
      long token,
      Double noticeS,
      Map<TaskId, ReportedTask> tasks) {}

  /** What an order tells a worker to do with a task. */
  enum Verb {
    LAUNCH,
    KILL,
    FORGET
  }

  /** An order to a worker; graceS is the time in seconds that a killed task has to save. */
  record Order(Verb verb, TaskId task, int attempt, double graceS) {}

  /** Returns null if the body is not a valid report. */
  static Report decode(JsonNode n) {
    String host = n.path("host").asText("");
    String zone = n.path("yard").asText("");
    if (host.isEmpty()
        || host.contains("/")
        || zone.isEmpty()
        || !n.path("stint").isNumber()
        || !n.path("tick").isNumber()) {
      return null;
    }
    Map<TaskId, ReportedTask> tasks = new LinkedHashMap<>();
    for (JsonNode t : n.path("chores")) {
      TaskId id = TaskId.parse(t.path("chore").asText(""));
      State state =
          switch (t.path("status").asText("")) {
            case "fetching" -> State.FETCHING;
            case "saving" -> State.SAVING;
            case "ended" -> State.ENDED;
            default -> State.RUNNING;
          };
      Cause cause =
          state != State.ENDED
              ? null
              : switch (t.path("cause").asText("")) {
                case "done" -> Cause.DONE;
                case "halted" -> Cause.STOPPED;
                case "no_room", "busy", "no_such" -> Cause.REFUSED;
                default -> Cause.ERROR;
              };
      if (id != null) {
        ReportedTask seen = new ReportedTask(t.path("try").asInt(), state, cause);
        // A refused second attempt may be listed with the first: the one that has not ended counts.
        tasks.merge(id, seen, (a, b) -> b.state() == State.ENDED ? a : b);
      }
    }
    return new Report(
        host,
        n.path("address").asText(""),
        n.path("build").asText(""),
        zone,
        n.path("loaners").asBoolean(),
        n.path("stint").asLong(),
        n.path("tick").asLong(),
        n.path("baton").asLong(),
        n.path("warningS").isNumber() ? n.path("warningS").asDouble() : null,
        tasks);
  }

  static ObjectNode response(long token, List<Order> orders) {
    ObjectNode n = Json.object().put("baton", token);
    ArrayNode a = n.putArray("orders");
    for (Order o : orders) {
      ObjectNode e = a.addObject();
      switch (o.verb()) {
        case LAUNCH -> e.put("verb", "launch");
        case KILL -> e.put("verb", "kill");
        case FORGET -> e.put("verb", "forget");
      }
      e.put("chore", o.task().toString()).put("try", o.attempt());
      if (o.verb() == Verb.KILL) {
        e.put("windDownS", o.graceS());
      }
    }
    return n;
  }

  static ObjectNode directOrders(long token, long session, List<Order> orders) {
    return response(token, orders).put("stint", session);
  }

  static ObjectNode redirect(String label) {
    ObjectNode n = Json.object();
    if (label != null) {
      n.put("home", label);
    }
    return n;
  }

  private WorkerCodec() {}
}
