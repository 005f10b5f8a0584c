package org.baygw.control.core;

/** Counts of a process's internal failures. */
public final class FailureCounters {
  private long failedInputs;
  private long replacedCores;

  /** Counts an input, or a part of one, that ended with an exception. */
  public void inputFailed() {
    failedInputs++;
  }

  /** Counts a core that was replaced by a new one. */
  public void coreReplaced() {
    replacedCores++;
  }

  /** Number of cores that were replaced by new ones. */
  public long replacedCores() {
    return replacedCores;
  }

  /** Number of inputs, or parts of them, that ended with an exception. */
  public long failedInputs() {
    return failedInputs;
  }
}
