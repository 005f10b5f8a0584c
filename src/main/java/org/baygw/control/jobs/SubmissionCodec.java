package org.baygw.control.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.baygw.control.model.JobSpec;

/** Users' submissions on the wire. Here, and only here, stand the wire's names for them. */
final class SubmissionCodec {
  /** A field that is missing or invalid. */
  static final class Malformed extends Exception {
    private static final long serialVersionUID = 1L;

    Malformed(String message) {
      super(message);
    }
  }

  private static final int MAX_TASKS = 100_000;
  private static final int MAX_TEXT = 200;

  static JobSpec decode(JsonNode n) throws Malformed {
    String id = text(n, "id");
    if (!validId(id)) {
      throw new Malformed("id");
    }
    String shape = text(n, "shape");
    if (!shape.equals("array") && !shape.equals("standing")) {
      throw new Malformed("shape");
    }
    JobSpec.Priority priority =
        switch (text(n, "rank")) {
          case "prod" -> JobSpec.Priority.PRODUCTION;
          case "urgent" -> JobSpec.Priority.HIGH;
          case "normal" -> JobSpec.Priority.NORMAL;
          case "best_effort" -> JobSpec.Priority.LOW;
          default -> throw new Malformed("rank");
        };
    JsonNode tasks = n.path("chores");
    if (!tasks.isIntegralNumber()
        || !tasks.canConvertToInt()
        || tasks.asInt() < 1
        || tasks.asInt() > MAX_TASKS) {
      throw new Malformed("chores");
    }
    List<String> types = new ArrayList<>();
    JsonNode builds = n.path("builds");
    if (present(builds)) {
      if (!builds.isArray() || builds.isEmpty()) {
        throw new Malformed("builds");
      }
      for (JsonNode b : builds) {
        if (!b.isTextual() || b.asText().isEmpty()) {
          throw new Malformed("builds");
        }
        types.add(b.asText());
      }
    }
    String zone = present(n.path("yard")) ? text(n, "yard") : null;
    Double deadline = present(n.path("dueS")) ? amount(n, "dueS") : null;
    return new JobSpec(
        id,
        text(n, "lane"),
        text(n, "crew"),
        shape.equals("standing"),
        priority,
        tasks.asInt(),
        amount(n, "cores"),
        amount(n, "accelerators"),
        amount(n, "memoryGb"),
        text(n, "bundle"),
        amount(n, "sizeGb"),
        List.copyOf(types),
        zone,
        flag(n, "together"),
        flag(n, "spread"),
        flag(n, "loaners"),
        amount(n, "guessS"),
        amount(n, "stashEveryS"),
        amount(n, "stashS"),
        deadline);
  }

  static boolean validId(String id) {
    if (id.isEmpty() || id.length() > 100) {
      return false;
    }
    for (int i = 0; i < id.length(); i++) {
      char c = id.charAt(i);
      boolean ok =
          c >= 'a' && c <= 'z'
              || c >= 'A' && c <= 'Z'
              || c >= '0' && c <= '9'
              || c == '-'
              || c == '_'
              || c == '.';
      if (!ok) {
        return false;
      }
    }
    return true;
  }

  private static boolean present(JsonNode n) {
    return !n.isMissingNode() && !n.isNull();
  }

  private static String text(JsonNode n, String field) throws Malformed {
    JsonNode v = n.path(field);
    if (!v.isTextual() || v.asText().isEmpty() || v.asText().length() > MAX_TEXT) {
      throw new Malformed(field);
    }
    return v.asText();
  }

  private static double amount(JsonNode n, String field) throws Malformed {
    JsonNode v = n.path(field);
    if (!v.isNumber() || !Double.isFinite(v.asDouble()) || v.asDouble() < 0) {
      throw new Malformed(field);
    }
    return v.asDouble();
  }

  private static boolean flag(JsonNode n, String field) throws Malformed {
    JsonNode v = n.path(field);
    if (!v.isBoolean()) {
      throw new Malformed(field);
    }
    return v.asBoolean();
  }

  private SubmissionCodec() {}
}
