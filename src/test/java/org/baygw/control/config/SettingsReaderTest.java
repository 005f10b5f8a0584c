package org.baygw.control.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SettingsReaderTest {
  private static String validSettings() throws IOException {
    try (var in = SettingsReaderTest.class.getResourceAsStream("/self-check.toml")) {
      return String.format(
          new String(in.readAllBytes(), StandardCharsets.UTF_8), 8080, 8081, 8443, 2379);
    }
  }

  @Test
  void ignoresUnknownFields() throws Exception {
    Settings s =
        SettingsReader.parse("novelty = 3\n" + validSettings() + "\n[settings.more]\nx = 1\n");
    assertEquals("self", s.label());
    assertEquals(8080, s.listen().port());
    assertEquals(4.0, s.team("team").cpus());
    assertEquals(0.0, s.team("team").gpusMax());
  }

  @Test
  void teamWithoutLimitsIsUnlimited() throws Exception {
    Settings.Team guest =
        SettingsReader.parse(validSettings().replace("cpus_max = 8.0", "cpus_max = 0.0"))
            .team("team");
    assertEquals(Double.POSITIVE_INFINITY, guest.cpusMax());
    assertEquals(Double.POSITIVE_INFINITY, guest.gpusMax());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      textBlock =
          """
          label = "self"        |                          | label
          serve_on = "127.0.0.1:8080" | serve_on = "nowhere" | serve_on
          serve_on = "127.0.0.1:8080" | serve_on = "h:99999" | serve_on
          zones = ["here"]      | zones = []               | settings.zones
          time_bound_ms = 100.0 | time_bound_ms = -1.0     | settings.time_bound_ms
          cpus = 4.0            | cpus = -1.0              | settings.teams.cpus
          cpus_max = 8.0        | cpus_max = "many"        | settings.teams.cpus_max
          lease_s = 10.0        | lease_s = 0.0            | settings.workers.lease_s
          txn_ops = 16          | txn_ops = nan            | settings.state.txn_ops
          list_lag_s = 6.0      |                          | settings.cloud.list_lag_s
          label = "other"       | label = "self"           | siblings.label
          zones = ["here"]      | zones = [                | config
          """)
  void errorNamesTheInvalidField(String from, String to, String field) throws IOException {
    String text = validSettings();
    assertTrue(text.contains(from), from);
    String bad = text.replace(from, to == null ? "" : to);
    SettingsReader.BadSettings e =
        assertThrows(SettingsReader.BadSettings.class, () -> SettingsReader.parse(bad));
    assertTrue(e.getMessage().startsWith(field), e.getMessage());
  }
}
