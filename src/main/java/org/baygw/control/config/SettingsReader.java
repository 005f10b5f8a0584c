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

/** Reads the platform's file. Unknown fields are ignored; a bad one is named. */
public final class SettingsReader {
  /** A field that is missing or invalid. */
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
    JsonNode p = root.path("settings");
    List<Settings.Peer> peers = new ArrayList<>();
    Set<String> labels = new HashSet<>();
    labels.add(text(root, "label", ""));
    for (JsonNode n : root.path("siblings")) {
      String label = text(n, "label", "siblings.");
      if (!labels.add(label)) {
        throw new BadSettings("siblings.label: '" + label + "' stands twice");
      }
      String addr = text(n, "addr", "siblings.");
      endpoint(addr, "siblings.addr");
      peers.add(new Settings.Peer(label, text(n, "domain", "siblings."), addr));
    }
    List<String> zones = new ArrayList<>();
    for (JsonNode n : p.path("zones")) {
      zones.add(n.asText());
    }
    if (zones.isEmpty()) {
      throw new BadSettings("settings.zones: missing or empty");
    }
    List<Settings.Team> teams = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (JsonNode n : p.path("teams")) {
      String name = text(n, "name", "settings.teams.");
      if (!names.add(name)) {
        throw new BadSettings("settings.teams.name: '" + name + "' stands twice");
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
    for (JsonNode n : p.path("objectives")) {
      String kind = n.path("kind").asText();
      if (kind.equals("finished") || kind.equals("deadline")) {
        objectives.add(
            new Settings.Objective(
                text(n, "class", "settings.objectives."),
                kind.equals("finished") ? positive(n, "within_s", "settings.objectives.") : 0,
                kind.equals("deadline") ? n.path("times").asDouble(1) : 0));
      }
    }
    JsonNode w = p.path("workers");
    JsonNode s = p.path("state");
    JsonNode c = p.path("cloud");
    JsonNode r = p.path("resources");
    String cloud = text(root.path("external"), "cloud", "external.");
    String state = text(root.path("external"), "state", "external.");
    endpoint(cloud, "external.cloud");
    endpoint(state, "external.state");
    return new Settings(
        text(root, "label", ""),
        text(root, "domain", ""),
        endpoint(text(root, "serve_on", ""), "serve_on"),
        endpoint(text(root, "peer_listen", ""), "peer_listen"),
        List.copyOf(peers),
        cloud,
        state,
        List.copyOf(zones),
        number(p, "time_bound_ms", "settings.", 0),
        List.copyOf(teams),
        List.copyOf(objectives),
        new Settings.WorkerTimes(
            positive(w, "report_s", "settings.workers."),
            positive(w, "lease_s", "settings.workers."),
            positive(w, "cancel_s", "settings.workers.")),
        new Settings.StateLimits(
            positive(s, "rps", "settings.state."),
            positive(s, "write_rps", "settings.state."),
            positive(s, "value_kb", "settings.state."),
            (int) number(s, "txn_ops", "settings.state.", 4)),
        new Settings.CloudLimits(
            positive(c, "rps", "settings.cloud."), positive(c, "list_lag_s", "settings.cloud.")),
        new Settings.Resources(
            r.has("cpu_share") ? positive(r, "cpu_share", "settings.resources.") : 1,
            (int) number(r, "max_connections", "settings.resources.", 16)));
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

  private static String text(JsonNode n, String field, String under) throws BadSettings {
    JsonNode v = n.path(field);
    if (!v.isTextual() || v.asText().isBlank()) {
      throw new BadSettings(under + field + ": missing or not a text");
    }
    return v.asText();
  }

  private static double number(JsonNode n, String field, String under, double least)
      throws BadSettings {
    JsonNode v = n.path(field);
    if (!v.isNumber() || !Double.isFinite(v.asDouble()) || v.asDouble() < least) {
      throw new BadSettings(under + field + ": missing or not a number of at least " + least);
    }
    return v.asDouble();
  }

  private static double positive(JsonNode n, String field, String under) throws BadSettings {
    double v = number(n, field, under, 0);
    if (v <= 0) {
      throw new BadSettings(under + field + ": must be above zero");
    }
    return v;
  }

  private static Settings.Endpoint endpoint(String addr, String field) throws BadSettings {
    int colon = addr.lastIndexOf(':');
    try {
      int port = Integer.parseInt(addr.substring(colon + 1));
      if (colon > 0 && port > 0 && port < 65536) {
        return new Settings.Endpoint(addr.substring(0, colon), port);
      }
    } catch (NumberFormatException e) {
      // told below
    }
    throw new BadSettings(field + ": not an address of the form host:port");
  }

  private SettingsReader() {}
}
