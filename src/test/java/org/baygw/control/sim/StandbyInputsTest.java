package org.baygw.control.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.baygw.control.config.Features;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Json;
import org.junit.jupiter.api.Test;

/** Answers to the warm standby requests of operators and peers. */
final class StandbyInputsTest {
  private SimulatedCluster cluster;
  private int status;
  private String text;

  private void start(int controllers, Features features) {
    Settings.Team team = new Settings.Team("red", 8, 16, 0, 0);
    cluster = new SimulatedCluster(1, controllers, List.of("a", "b"), List.of(team));
    cluster.features = features;
    cluster.nodes.values().forEach(SimulatedCluster.Node::start);
    cluster.runUntil(6_000);
  }

  private JsonNode ask(String label, String method, String path, byte[] body) {
    cluster.call(
        "operator",
        label + ":8081",
        method,
        path,
        body,
        5_000,
        (answered, answer) -> {
          status = answered;
          text = new String(answer, StandardCharsets.UTF_8);
        });
    cluster.runUntil(cluster.now() + 100);
    return Json.parse(text.getBytes(StandardCharsets.UTF_8));
  }

  private JsonNode ask(String label, String method, String path) {
    return ask(label, method, path, new byte[0]);
  }

  private static Features on() {
    return new Features(Features.Standby.DEFAULTS);
  }

  @Test
  void standbyPathsAreNotFoundWhenStandbyIsOff() {
    start(1, Features.NONE);
    ask("yurt-0", "GET", "/admin/v1/standby");
    assertEquals(404, status);
    ask("yurt-0", "POST", "/admin/v1/handover");
    assertEquals(404, status);
    ask("yurt-0", "POST", "/peer/replication");
    assertEquals(404, status);
  }

  @Test
  void statusListsEveryRole() {
    start(3, on());
    int active = 0;
    int followed = 0;
    for (String label : cluster.labels) {
      JsonNode page = ask(label, "GET", "/admin/v1/standby");
      assertEquals(200, status);
      assertEquals(7, page.path("roles").size());
      for (JsonNode role : page.path("roles")) {
        active += role.path("state").asText().equals("active") ? 1 : 0;
        followed += role.path("state").asText().equals("following") ? 1 : 0;
        assertTrue(!role.path("standby").asText().equals(role.path("active").asText()));
      }
    }
    assertEquals(7, active);
    assertEquals(7, followed);
    ask("yurt-0", "GET", "/metrics");
    assertTrue(text.contains("baygw_standby_takeovers"), text);
    ask("yurt-0", "PUT", "/admin/v1/standby");
    assertEquals(405, status);
  }

  @Test
  void handoverMovesAllRolesAndCanBeReversed() {
    start(3, on());
    String leader = cluster.state.value("b/claim/leader").path("owner").asText();
    ask(leader, "POST", "/admin/v1/handover");
    assertEquals(202, status);
    cluster.runUntil(cluster.now() + 3_000);
    assertEquals("released", ask(leader, "GET", "/admin/v1/standby").path("handover").asText());
    assertTrue(!cluster.state.ownsPartition(leader));
    assertTrue(!cluster.state.value("b/claim/leader").path("owner").asText().equals(leader));
    ask(leader, "DELETE", "/admin/v1/handover");
    assertEquals(200, status);
    cluster.runUntil(cluster.now() + 6_000);
    assertTrue(cluster.state.ownsPartition(leader));
    ask(leader, "PUT", "/admin/v1/handover");
    assertEquals(405, status);
  }

  @Test
  void singleControllerKeepsItsRoles() {
    start(1, on());
    ask("yurt-0", "POST", "/admin/v1/handover");
    assertEquals(409, status);
    cluster.runUntil(cluster.now() + 3_000);
    assertTrue(cluster.state.ownsPartition("yurt-0"));
  }

  @Test
  void refusesInvalidReplicationMessages() {
    start(3, on());
    ask("yurt-0", "POST", "/peer/replication", "nonsense".getBytes(StandardCharsets.UTF_8));
    assertEquals(400, status);
    // A message with a sender that the settings do not name, and without updates.
    ask("yurt-0", "POST", "/peer/replication", new byte[] {2, 'x', 0});
    assertEquals(400, status);
    ask("yurt-0", "GET", "/admin/v1/standby");
    assertEquals(200, status);
  }
}
