package org.baygw.control.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.baygw.control.model.JobSpec;

/** Decodes job submissions from JSON. Only this class maps their JSON field names to the model. */
final class SubmissionCodec {
  /** Thrown if a field is missing or invalid; the message is the field's name. */
  static final class InvalidField extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidField(String message) {
      super(message);
    }
  }

  private static final int MAX_TASKS = 100_000;
  private static final int MAX_TEXT_LENGTH = 200;

  static JobSpec decode(JsonNode submission) throws InvalidField {
    String id = text(submission, "id");
    if (!validId(id)) {
      throw new InvalidField("id");
    }
    String shape = text(submission, "shape");
    if (!shape.equals("array") && !shape.equals("standing")) {
      throw new InvalidField("shape");
    }
    JobSpec.Priority priority =
        switch (text(submission, "rank")) {
          case "prod" -> JobSpec.Priority.PRODUCTION;
          case "urgent" -> JobSpec.Priority.HIGH;
          case "normal" -> JobSpec.Priority.NORMAL;
          case "best_effort" -> JobSpec.Priority.LOW;
          default -> throw new InvalidField("rank");
        };
    JsonNode tasks = submission.path("chores");
    if (!tasks.isIntegralNumber()
        || !tasks.canConvertToInt()
        || tasks.asInt() < 1
        || tasks.asInt() > MAX_TASKS) {
      throw new InvalidField("chores");
    }
    List<String> typeNames = new ArrayList<>();
    JsonNode machineTypes = submission.path("builds");
    if (present(machineTypes)) {
      if (!machineTypes.isArray() || machineTypes.isEmpty()) {
        throw new InvalidField("builds");
      }
      for (JsonNode type : machineTypes) {
        if (!type.isTextual() || type.asText().isEmpty()) {
          throw new InvalidField("builds");
        }
        typeNames.add(type.asText());
      }
    }
    String zone = present(submission.path("yard")) ? text(submission, "yard") : null;
    Double deadline =
        present(submission.path("dueS")) ? nonNegativeNumber(submission, "dueS") : null;
    return new JobSpec(
        id,
        text(submission, "lane"),
        text(submission, "crew"),
        shape.equals("standing"),
        priority,
        tasks.asInt(),
        nonNegativeNumber(submission, "cores"),
        nonNegativeNumber(submission, "accelerators"),
        nonNegativeNumber(submission, "memoryGb"),
        text(submission, "bundle"),
        nonNegativeNumber(submission, "sizeGb"),
        List.copyOf(typeNames),
        zone,
        flag(submission, "together"),
        flag(submission, "spread"),
        flag(submission, "loaners"),
        nonNegativeNumber(submission, "guessS"),
        nonNegativeNumber(submission, "stashEveryS"),
        nonNegativeNumber(submission, "stashS"),
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

  private static String text(JsonNode submission, String field) throws InvalidField {
    JsonNode value = submission.path(field);
    if (!value.isTextual()
        || value.asText().isEmpty()
        || value.asText().length() > MAX_TEXT_LENGTH) {
      throw new InvalidField(field);
    }
    return value.asText();
  }

  private static double nonNegativeNumber(JsonNode submission, String field) throws InvalidField {
    JsonNode value = submission.path(field);
    if (!value.isNumber() || !Double.isFinite(value.asDouble()) || value.asDouble() < 0) {
      throw new InvalidField(field);
    }
    return value.asDouble();
  }

  private static boolean flag(JsonNode submission, String field) throws InvalidField {
    JsonNode value = submission.path(field);
    if (!value.isBoolean()) {
      throw new InvalidField(field);
    }
    return value.asBoolean();
  }

  private SubmissionCodec() {}
}
