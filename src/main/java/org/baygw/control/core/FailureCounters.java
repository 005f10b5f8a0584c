package org.baygw.control.core;

/** Counts of a process's internal failures. */
public final class FailureCounters {
  private long failedInputs;

  void inputFailed() {
    failedInputs++;
  }

  /** Number of inputs, or parts of them, that ended with an exception. */
  public long failedInputs() {
    return failedInputs;
  }
}
