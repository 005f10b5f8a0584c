package org.baygw.control.core;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs parts of an input so that an exception in one does not keep the others from running: a
 * callback that fails must not leave flags set or other callers waiting. Counts the failures.
 */
public final class ErrorBoundary {
  private static final Logger LOG = LoggerFactory.getLogger(ErrorBoundary.class);

  /** Least interval between two log entries on failures of the same operation. */
  private static final long LOG_INTERVAL_MS = 10_000;

  private final Clock clock;
  private final FailureCounters counters;

  /** Time in ms at which each operation's failures may be logged again. */
  private final Map<String, Long> nextLogAt = new HashMap<>();

  public ErrorBoundary(Clock clock, FailureCounters counters) {
    this.clock = clock;
    this.counters = counters;
  }

  /** Runs an action; returns whether it ended without an exception. */
  public boolean run(String operation, Runnable action) {
    return check(
        operation,
        () -> {
          action.run();
          return true;
        });
  }

  /** Returns the result of a check; false if it ended with an exception. */
  public boolean check(String operation, BooleanSupplier check) {
    try {
      return check.getAsBoolean();
    } catch (RuntimeException e) {
      counters.inputFailed();
      if (clock.now() >= nextLogAt.getOrDefault(operation, Long.MIN_VALUE)) {
        nextLogAt.put(operation, clock.now() + LOG_INTERVAL_MS);
        LOG.error("{} failed", operation, e);
      }
      return false;
    }
  }
}
