package org.baygw.control.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Json;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Answers of a controller in a simulated deployment to invalid input and operators' requests. */
final class InputsTest {
  private static final String JOB =
      "{'id':'run-1','lane':'l','crew':'red','shape':'array','rank':'normal','chores':2,"
          + "'cores':1.0,'accelerators':0,'memoryGb':1,'bundle':'b','sizeGb':1,'builds':null,"
          + "'yard':null,'together':false,'spread':false,'loaners':true,'guessS':1,"
          + "'stashEveryS':0,'stashS':0,'dueS':null}";

  private SimulatedCluster cluster;
  private int status;
  private JsonNode body;

  @BeforeEach
  void start() {
    cluster =
        new SimulatedCluster(1, 1, List.of("a"), List.of(new Settings.Team("red", 8, 16, 0, 0)));
    cluster.nodes.values().forEach(SimulatedCluster.Node::start);
    cluster.runUntil(3_000);
  }

  private void ask(int port, String method, String path, String text) {
    status = -9;
    cluster.call(
        "user",
        "yurt-0:" + port,
        method,
        path,
        text.replace('\'', '"').getBytes(StandardCharsets.UTF_8),
        5_000,
        (s, b) -> {
          status = s;
          body = Json.parse(b);
        });
    cluster.runUntil(cluster.now() + 3_000);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      textBlock =
          """
          'id':'run-1'       | 'id':''              | 400 | id
          'id':'run-1'       | 'id':'a/b'           | 400 | id
          'id':'run-1'       | 'id':7               | 400 | id
          'shape':'array'    | 'shape':'ensemble'   | 400 | shape
          'rank':'normal'    | 'rank':'high'        | 400 | rank
          'chores':2         | 'chores':0           | 400 | chores
          'chores':2         | 'chores':100001      | 400 | chores
          'chores':2         | 'chores':2.5         | 400 | chores
          'cores':1.0        | 'cores':-1           | 400 | cores
          'cores':1.0        | 'cores':'1'          | 400 | cores
          'cores':1.0        | 'cores':1e999        | 400 | cores
          'memoryGb':1       | 'memoryMb':1         | 400 | memoryGb
          'together':false   | 'together':null      | 400 | together
          'builds':null      | 'builds':[]          | 400 | builds
          'builds':null      | 'builds':[3]         | 400 | builds
          'dueS':null        | 'dueS':'soon'        | 400 | dueS
          'crew':'red'       | 'crew':'green'       | 422 | crew
          'cores':1.0        | 'cores':17           | 422 | no allowed machine type
          'builds':null      | 'builds':['other']   | 422 | no allowed machine type
          'yard':null        | 'yard':'z'           | 422 | no allowed machine type
          'accelerators':0   | 'accelerators':1     | 422 | no allowed machine type
          """)
  void refusalNamesTheInvalidField(String from, String to, int expected, String errorPrefix) {
    String job = JOB.replace('\'', '"');
    // The table has single quotes where JSON has double quotes.
    String quotedFrom = from.replace('\'', '"');
    assertTrue(job.contains(quotedFrom), from);
    ask(8080, "POST", "/v1/jobs", job.replace(quotedFrom, to.replace('\'', '"')));
    assertEquals(expected, status, to);
    assertTrue(body.path("error").asText().startsWith(errorPrefix), body.toString());
  }

  /** Guards against a submission that is retried for ever since its record exceeds a value. */
  @Test
  void aJobWhoseRecordExceedsAValueIsRefused() {
    String types = "'c16'" + ",'a-machine-type-that-does-not-exist'".repeat(300);
    ask(8080, "POST", "/v1/jobs", JOB.replace("'builds':null", "'builds':[" + types + "]"));
    assertEquals(422, status);
    assertTrue(body.path("error").asText().contains("limit on values"), body.toString());
    assertNull(cluster.state.firstLimitViolation);
  }

  @Test
  void aKnownIdIsNeverRefused() {
    ask(8080, "POST", "/v1/jobs", JOB);
    assertEquals(201, status);
    ask(8080, "POST", "/v1/jobs", JOB.replace("'crew':'red'", "'crew':'green'"));
    assertEquals(200, status);
    ask(8080, "POST", "/v1/jobs", "{'id':'run-1'}");
    assertEquals(200, status);
  }

  @Test
  void answersInvalidRequests() {
    ask(8080, "POST", "/v1/jobs", "no json");
    assertEquals(400, status);
    ask(8080, "POST", "/v1/jobs", "[1]");
    assertEquals(400, status);
    ask(8080, "GET", "/v1/jobs", "");
    assertEquals(405, status);
    ask(8080, "DELETE", "/v1/jobs/run-1", "");
    assertEquals(405, status);
    ask(8080, "GET", "/v1/jobs/run-1", "");
    assertEquals(404, status);
    ask(8080, "POST", "/v1/jobs/run-1/abort", "{}");
    assertEquals(404, status);
    ask(8080, "GET", "/v2", "");
    assertEquals(404, status);
    ask(8080, "POST", "/checkin", "{'host':'x'}");
    assertEquals(400, status);
    ask(8081, "POST", "/peer/status", "no avro");
    assertEquals(400, status);
    ask(8080, "GET", "/up", "");
    assertEquals(200, status);
  }

  @Test
  void refusesRequestsDuringAStateServiceOutage() {
    cluster.state.outage(null, 20_000);
    ask(8080, "POST", "/v1/jobs", JOB);
    assertTrue(status == 503 || status == 429, String.valueOf(status));
    ask(8080, "GET", "/v1/jobs/run-1", "");
    assertEquals(503, status);
  }

  @Test
  void operatorsChangeParametersWithinBounds() {
    ask(8081, "PUT", "/admin/v1/params", "{'alpha':0}");
    assertEquals(400, status);
    assertTrue(body.path("error").asText().startsWith("alpha"));
    ask(8081, "PUT", "/admin/v1/params", "{'mu':2.5,'round_period_s':10}");
    assertEquals(200, status);
    ask(8081, "GET", "/admin/v1/params", "");
    assertEquals(2.5, body.path("mu").asDouble());
    assertEquals(10.0, body.path("alpha").asDouble());
    assertNotNull(cluster.state.value("b/params"));
  }

  @Test
  void operatorsSeeAndDrainMachines() {
    ask(8080, "POST", "/v1/jobs", JOB.replace("'array'", "'standing'").replace("true", "false"));
    cluster.runUntil(cluster.now() + 20_000);
    ask(8081, "GET", "/admin/v1/machines", "");
    assertEquals(2, body.path("machines").size());
    String name = body.path("machines").path(0).path("name").asText();
    ask(8081, "POST", "/admin/v1/machines/none/drain", "");
    assertEquals(404, status);
    ask(8081, "POST", "/admin/v1/machines/" + name + "/drain", "");
    assertEquals(200, status);
    cluster.runUntil(cluster.now() + 40_000);
    ask(8081, "GET", "/admin/v1/machines", "");
    assertEquals(2, body.path("machines").size());
    for (JsonNode machine : body.path("machines")) {
      assertTrue(
          !machine.path("name").asText().equals(name), "the drained machine is still listed");
      assertEquals(1, machine.path("tasks").size());
    }
    ask(8081, "GET", "/admin/v1/members", "");
    assertEquals("yurt-0", body.path("leader").asText());
    ask(8081, "GET", "/admin/v1/partitions", "");
    assertEquals(2, body.path("partitions").size());
  }

  @Test
  void skipsInvalidStateServiceEntries() {
    for (String key : List.of("b/job/x", "b/run/x", "b/prog/x/y", "b/params", "b/new/z")) {
      cluster.call(
          "user",
          SimulatedCluster.STATE,
          "POST",
          "/txn",
          ("{\"when\":[],\"then\":[{\"write\":\"" + key + "\",\"value\":{\"alpha\":\"x\"}}]}")
              .getBytes(StandardCharsets.UTF_8),
          1_000,
          (s, b) -> assertEquals(200, s));
    }
    cluster.runUntil(cluster.now() + 2_000);
    ask(8080, "POST", "/v1/jobs", JOB);
    assertEquals(201, status);
  }
}
