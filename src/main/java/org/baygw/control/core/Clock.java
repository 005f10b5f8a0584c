package org.baygw.control.core;

/** The time of the input being handled; set by the shell, so the core itself reads no clock. */
public final class Clock {
  private long nowMs;
  private long wallMs;

  /** Steady milliseconds. */
  public long now() {
    return nowMs;
  }

  /** Time of day in milliseconds; off by as much as the settings say. */
  public long wall() {
    return wallMs;
  }

  public void set(long steadyMs, long timeOfDayMs) {
    nowMs = Math.max(nowMs, steadyMs);
    wallMs = timeOfDayMs;
  }
}
