package org.baygw.control.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.baygw.control.config.SettingsReader.BadSettings;

/**
 * Reads the file that selects optional subsystems. A field that is unknown, of the wrong type or
 * out of bounds is an error that names the field's path. Unlike in the platform's settings file,
 * unknown fields are errors: operators write this file, and a mistyped name must not silently
 * result in a default.
 */
public final class FeaturesReader {
  private static final String STANDBY = "standby";
  private static final String ENABLED = "enabled";
  private static final Set<String> STANDBY_FIELDS =
      Set.of(ENABLED, "batch_ms", "heartbeat_ms", "suspect_ms", "kept_decisions");
  private static final long MAX_PERIOD_MS = 60_000;
  private static final long MIN_PERIOD_MS = 50;
  private static final long MAX_KEPT_DECISIONS = 1_000_000;
  private static final long MIN_KEPT_DECISIONS = 16;

  public static Features read(Path file) throws BadSettings {
    return parse(SettingsReader.readFile(file));
  }

  public static Features parse(String text) throws BadSettings {
    JsonNode root = SettingsReader.readToml(text);
    rejectUnknownFields(root, Set.of(STANDBY), "");
    return new Features(root.has(STANDBY) ? standby(root.path(STANDBY)) : null);
  }

  private static Features.Standby standby(JsonNode node) throws BadSettings {
    if (!node.isObject()) {
      throw new BadSettings(STANDBY + ": not a table");
    }
    rejectUnknownFields(node, STANDBY_FIELDS, STANDBY + ".");
    if (!node.path(ENABLED).isBoolean()) {
      throw new BadSettings(STANDBY + "." + ENABLED + ": missing or neither true nor false");
    }
    Features.Standby defaults = Features.Standby.DEFAULTS;
    long batchMs = integer(node, "batch_ms", defaults.batchMs(), MIN_PERIOD_MS, MAX_PERIOD_MS);
    long heartbeatMs =
        integer(node, "heartbeat_ms", defaults.heartbeatMs(), batchMs, MAX_PERIOD_MS);
    Features.Standby standby =
        new Features.Standby(
            batchMs,
            heartbeatMs,
            integer(node, "suspect_ms", defaults.suspectMs(), heartbeatMs, MAX_PERIOD_MS),
            (int)
                integer(
                    node,
                    "kept_decisions",
                    defaults.keptDecisions(),
                    MIN_KEPT_DECISIONS,
                    MAX_KEPT_DECISIONS));
    return node.path(ENABLED).booleanValue() ? standby : null;
  }

  private static long integer(JsonNode node, String field, long defaultValue, long min, long max)
      throws BadSettings {
    JsonNode value = node.path(field);
    if (value.isMissingNode()) {
      // The lower bound may be the value of another field, above the default.
      return Math.max(min, defaultValue);
    }
    if (!value.isIntegralNumber() || value.asLong() < min || value.asLong() > max) {
      throw new BadSettings(
          STANDBY + "." + field + ": must be a whole number from " + min + " to " + max);
    }
    return value.asLong();
  }

  private static void rejectUnknownFields(JsonNode node, Set<String> known, String prefix)
      throws BadSettings {
    for (Iterator<Map.Entry<String, JsonNode>> it = node.fields(); it.hasNext(); ) {
      String name = it.next().getKey();
      if (!known.contains(name)) {
        throw new BadSettings(prefix + name + ": no such field");
      }
    }
  }

  private FeaturesReader() {}
}
