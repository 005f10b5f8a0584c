package org.baygw.control.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baygw.control.Constants;
import org.baygw.control.core.Json;

/**
 * Scheduling parameters that operators change through the administration API.
 *
 * @param alpha weight of an active machine in the cost of a placement
 * @param mu weight of a move in the cost of a placement
 * @param moveShare limit of moves in one consolidation round, as a share of the machines
 * @param roundPeriodS time between consolidation rounds
 * @param searchNodes limit of search nodes in one consolidation round
 * @param ageLimitS age of a task above which it is not moved
 */
public record SchedulingParameters(
    double alpha,
    double mu,
    double moveShare,
    double roundPeriodS,
    int searchNodes,
    double ageLimitS) {

  public static final SchedulingParameters DEFAULTS =
      new SchedulingParameters(
          Constants.ALPHA,
          Constants.MU,
          Constants.MOVE_SHARE,
          Constants.ROUND_PERIOD_S,
          Constants.SEARCH_NODES,
          Constants.AGE_LIMIT_S);

  /**
   * These parameters with the given fields replaced; throws IllegalArgumentException that names a
   * field that is out of range.
   */
  public SchedulingParameters merge(JsonNode node) {
    return new SchedulingParameters(
        number(node, "alpha", alpha, 1e-3, 1e6),
        number(node, "mu", mu, 1e-3, 1e6),
        number(node, "move_share", moveShare, 0, 1),
        number(node, "round_period_s", roundPeriodS, 1, 3600),
        (int) number(node, "search_nodes", searchNodes, 1, 1_000_000),
        number(node, "age_limit_s", ageLimitS, 0, 86_400));
  }

  public ObjectNode toJson() {
    return Json.object()
        .put("alpha", alpha)
        .put("mu", mu)
        .put("move_share", moveShare)
        .put("round_period_s", roundPeriodS)
        .put("search_nodes", searchNodes)
        .put("age_limit_s", ageLimitS);
  }

  private static double number(
      JsonNode node, String field, double current, double min, double max) {
    JsonNode value = node.path(field);
    if (value.isMissingNode()) {
      return current;
    }
    if (!value.isNumber() || !(value.asDouble() >= min && value.asDouble() <= max)) {
      throw new IllegalArgumentException(field + ": must be from " + min + " to " + max);
    }
    return value.asDouble();
  }
}
