package org.baygw.control.core;

/** The time of the input being handled, set by the event loop; the core itself reads no clock. */
public final class Clock {
  private long nowMs;
  private long wallMs;

  /** Monotonic time in milliseconds. */
  public long now() {
    return nowMs;
  }

  /** Time of day in milliseconds, with an error of at most the bound in the settings. */
  public long wall() {
    return wallMs;
  }

  public void set(long steadyMs, long timeOfDayMs) {
    nowMs = Math.max(nowMs, steadyMs);
    wallMs = timeOfDayMs;
  }
}
