package org.baygw.control.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.baygw.control.core.Json;

/** Reads the platform's settings file. Unknown fields are ignored; errors name the field. */
public final class SettingsReader {
  /** Thrown if a file cannot be read or parsed, or if a field is unknown, missing or invalid. */
  public static final class BadSettings extends Exception {
    private static final long serialVersionUID = 1L;

    public BadSettings(String message) {
      super(message);
    }
  }

  public static Settings read(Path file) throws BadSettings {
    return parse(readFile(file));
  }

  static String readFile(Path file) throws BadSettings {
    try {
      return Files.readString(file);
    } catch (IOException | RuntimeException e) {
      throw new BadSettings("config: cannot read " + file);
    }
  }

  public static Settings parse(String text) throws BadSettings {
    JsonNode root = readToml(text);
    JsonNode settings = root.path("settings");
    List<Settings.Peer> peers = new ArrayList<>();
    Set<String> labels = new HashSet<>();
    labels.add(text(root, "label", ""));
    for (JsonNode n : root.path("siblings")) {
      String label = text(n, "label", "siblings.");
      if (!labels.add(label)) {
        throw new BadSettings("siblings.label: '" + label + "' appears twice");
      }
      String addr = text(n, "addr", "siblings.");
      endpoint(addr, "siblings.addr");
      peers.add(new Settings.Peer(label, text(n, "domain", "siblings."), addr));
    }
    List<String> zones = new ArrayList<>();
    for (JsonNode n : settings.path("zones")) {
      zones.add(n.asText());
    }
    if (zones.isEmpty()) {
      throw new BadSettings("settings.zones: missing or empty");
    }
    List<Settings.Team> teams = new ArrayList<>();
    Set<String> teamNames = new HashSet<>();
    for (JsonNode n : settings.path("teams")) {
      String name = text(n, "name", "settings.teams.");
      if (!teamNames.add(name)) {
        throw new BadSettings("settings.teams.name: '" + name + "' appears twice");
      }
      teams.add(
          Settings.Team.of(
              name,
              number(n, "cpus", "settings.teams.", 0),
              number(n, "cpus_max", "settings.teams.", 0),
              n.has("gpus") ? number(n, "gpus", "settings.teams.", 0) : 0,
              n.has("gpus_max") ? number(n, "gpus_max", "settings.teams.", 0) : 0));
    }
    if (teams.isEmpty()) {
      throw new BadSettings("settings.teams: missing or empty");
    }
    List<Settings.Objective> objectives = new ArrayList<>();
    for (JsonNode n : settings.path("objectives")) {
      String kind = n.path("kind").asText();
      if (kind.equals("finished") || kind.equals("deadline")) {
        objectives.add(
            new Settings.Objective(
                text(n, "class", "settings.objectives."),
                kind.equals("finished") ? positive(n, "within_s", "settings.objectives.") : 0,
                kind.equals("deadline") ? n.path("times").asDouble(1) : 0));
      }
    }
    JsonNode workers = settings.path("workers");
    JsonNode stateLimits = settings.path("state");
    JsonNode cloudLimits = settings.path("cloud");
    JsonNode resources = settings.path("resources");
    String cloudAddr = text(root.path("external"), "cloud", "external.");
    String stateAddr = text(root.path("external"), "state", "external.");
    endpoint(cloudAddr, "external.cloud");
    endpoint(stateAddr, "external.state");
    return new Settings(
        text(root, "label", ""),
        text(root, "domain", ""),
        endpoint(text(root, "serve_on", ""), "serve_on"),
        endpoint(text(root, "peer_listen", ""), "peer_listen"),
        List.copyOf(peers),
        cloudAddr,
        stateAddr,
        List.copyOf(zones),
        number(settings, "time_bound_ms", "settings.", 0),
        List.copyOf(teams),
        List.copyOf(objectives),
        new Settings.WorkerTimes(
            positive(workers, "report_s", "settings.workers."),
            positive(workers, "lease_s", "settings.workers."),
            positive(workers, "cancel_s", "settings.workers.")),
        new Settings.StateLimits(
            positive(stateLimits, "rps", "settings.state."),
            positive(stateLimits, "write_rps", "settings.state."),
            positive(stateLimits, "value_kb", "settings.state."),
            (int) number(stateLimits, "txn_ops", "settings.state.", 4)),
        new Settings.CloudLimits(
            positive(cloudLimits, "rps", "settings.cloud."),
            positive(cloudLimits, "list_lag_s", "settings.cloud.")),
        new Settings.Resources(
            resources.has("cpu_share")
                ? positive(resources, "cpu_share", "settings.resources.")
                : 1,
            (int) number(resources, "max_connections", "settings.resources.", 16)));
  }

  static JsonNode readToml(String text) throws BadSettings {
    try (JsonParser parser = new TomlFactory().createParser(text)) {
      return Json.read(parser);
    } catch (JsonProcessingException e) {
      throw new BadSettings("config: not TOML: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new BadSettings("config: cannot be read");
    }
  }

  private static String text(JsonNode n, String field, String prefix) throws BadSettings {
    JsonNode value = n.path(field);
    if (!value.isTextual() || value.asText().isBlank()) {
      throw new BadSettings(prefix + field + ": missing or not a string");
    }
    return value.asText();
  }

  private static double number(JsonNode n, String field, String prefix, double min)
      throws BadSettings {
    JsonNode value = n.path(field);
    if (!value.isNumber() || !Double.isFinite(value.asDouble()) || value.asDouble() < min) {
      throw new BadSettings(prefix + field + ": missing or not a number of at least " + min);
    }
    return value.asDouble();
  }

  private static double positive(JsonNode n, String field, String prefix) throws BadSettings {
    double value = number(n, field, prefix, 0);
    if (value <= 0) {
      throw new BadSettings(prefix + field + ": must be greater than 0");
    }
    return value;
  }

  private static Settings.Endpoint endpoint(String addr, String field) throws BadSettings {
    int colon = addr.lastIndexOf(':');
    try {
      int port = Integer.parseInt(addr.substring(colon + 1));
      if (colon > 0 && port > 0 && port < 65536) {
        return new Settings.Endpoint(addr.substring(0, colon), port);
      }
    } catch (NumberFormatException e) {
      // Reported below.
    }
    throw new BadSettings(field + ": not an address of the form host:port");
  }

  private SettingsReader() {}
}
