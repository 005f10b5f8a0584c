package org.baygw.control.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class FeaturesReaderTest {
  @Test
  void subsystemsAreOffByDefault() throws SettingsReader.BadSettings {
    assertNull(FeaturesReader.parse("").standby());
    assertNull(FeaturesReader.parse("[standby]\nenabled = false").standby());
  }

  @Test
  void omittedFieldsHaveDefaults() throws SettingsReader.BadSettings {
    assertEquals(
        Features.Standby.DEFAULTS, FeaturesReader.parse("[standby]\nenabled = true").standby());
    Features.Standby standby =
        FeaturesReader.parse("[standby]\nenabled = true\nbatch_ms = 200\nkept_decisions = 99")
            .standby();
    assertEquals(200, standby.batchMs());
    assertEquals(99, standby.keptDecisions());
  }

  @Test
  void deployedFileIsValid() throws SettingsReader.BadSettings {
    assertNotNull(FeaturesReader.read(Path.of("deploy/features.toml")));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "standby = 3|standby: not a table",
        "standbye.enabled = true|standbye: no such field",
        "[standby]|standby.enabled: missing",
        "standby.enabled = 'yes'|standby.enabled: missing or neither",
        "standby = {enabled = true, batch = 5}|standby.batch: no such field",
        "standby = {enabled = true, batch_ms = 5}|standby.batch_ms: must be",
        "standby = {enabled = true, batch_ms = 1.5}|standby.batch_ms: must be",
        "standby = {enabled = true, heartbeat_ms = 60001}|standby.heartbeat_ms: must be",
        "standby = {enabled = true, batch_ms = 900, heartbeat_ms = 800}|standby.heartbeat_ms: must",
        "standby = {enabled = false, suspect_ms = 10}|standby.suspect_ms: must be",
        "standby = {enabled = true, kept_decisions = 15}|standby.kept_decisions: must be",
        "standby = {|config: not TOML"
      })
  void errorNamesTheInvalidField(String text, String expected) {
    SettingsReader.BadSettings bad =
        assertThrows(SettingsReader.BadSettings.class, () -> FeaturesReader.parse(text));
    assertEquals(expected, bad.getMessage().substring(0, expected.length()));
  }

  @Test
  void errorNamesTheUnreadableFile() {
    SettingsReader.BadSettings bad =
        assertThrows(
            SettingsReader.BadSettings.class, () -> FeaturesReader.read(Path.of("no/such")));
    assertEquals("config: cannot read no/such", bad.getMessage());
  }
}
