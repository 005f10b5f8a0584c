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

  /**
   * An order to a worker.
   *
   * @param graceS time in seconds that a killed task has to save
   * @param reason what allowed the order; it is logged, not sent
   */
  record Order(Verb verb, TaskId task, int attempt, double graceS, OrderReason reason) {
    static Order launch(TaskId task, int attempt) {
      return new Order(Verb.LAUNCH, task, attempt, 0, OrderReason.ON_RECORD);
    }

    static Order kill(TaskId task, int attempt, double graceS, OrderReason reason) {
      return new Order(Verb.KILL, task, attempt, graceS, reason);
    }

    static Order forget(TaskId task, int attempt) {
      return new Order(Verb.FORGET, task, attempt, 0, OrderReason.END_RECORDED);
    }
  }

  /** Returns null if the body is not a valid report. */
  static Report decode(JsonNode json) {
    String host = json.path("host").asText("");
    String zone = json.path("yard").asText("");
    if (host.isEmpty()
        || host.contains("/")
        || zone.isEmpty()
        || !json.path("stint").isNumber()
        || !json.path("tick").isNumber()) {
      return null;
    }
    Map<TaskId, ReportedTask> tasks = new LinkedHashMap<>();
    for (JsonNode taskNode : json.path("chores")) {
      TaskId task = TaskId.parse(taskNode.path("chore").asText(""));
      State state =
          switch (taskNode.path("status").asText("")) {
            case "fetching" -> State.FETCHING;
            case "saving" -> State.SAVING;
            case "ended" -> State.ENDED;
            default -> State.RUNNING;
          };
      Cause cause =
          state != State.ENDED
              ? null
              : switch (taskNode.path("cause").asText("")) {
                case "done" -> Cause.DONE;
                case "halted" -> Cause.STOPPED;
                case "no_room", "busy", "no_such" -> Cause.REFUSED;
                default -> Cause.ERROR;
              };
      if (task != null) {
        ReportedTask reported = new ReportedTask(taskNode.path("try").asInt(), state, cause);
        // A refused second attempt may be listed with the first: the one that has not ended counts.
        tasks.merge(task, reported, (a, b) -> b.state() == State.ENDED ? a : b);
      }
    }
    return new Report(
        host,
        json.path("address").asText(""),
        json.path("build").asText(""),
        zone,
        json.path("loaners").asBoolean(),
        json.path("stint").asLong(),
        json.path("tick").asLong(),
        json.path("baton").asLong(),
        json.path("warningS").isNumber() ? json.path("warningS").asDouble() : null,
        tasks);
  }

  static ObjectNode response(long token, List<Order> orders) {
    ObjectNode json = Json.object().put("baton", token);
    ArrayNode array = json.putArray("orders");
    for (Order order : orders) {
      ObjectNode item = array.addObject();
      switch (order.verb()) {
        case LAUNCH -> item.put("verb", "launch");
        case KILL -> item.put("verb", "kill");
        case FORGET -> item.put("verb", "forget");
      }
      item.put("chore", order.task().toString()).put("try", order.attempt());
      if (order.verb() == Verb.KILL) {
        item.put("windDownS", order.graceS());
      }
    }
    return json;
  }

  static ObjectNode directOrders(long token, long session, List<Order> orders) {
    return response(token, orders).put("stint", session);
  }

  static ObjectNode redirect(String label) {
    ObjectNode json = Json.object();
    if (label != null) {
      json.put("home", label);
    }
    return json;
  }

  private WorkerCodec() {}
}
