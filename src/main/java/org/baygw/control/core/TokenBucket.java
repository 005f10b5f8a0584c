package org.baygw.control.core;

/** Allows so many calls a second, with a burst. */
public final class TokenBucket {
  private final double perMs;
  private final double burst;
  private double level;
  private long last;
  private long restUntil;

  public TokenBucket(double perSecond, double burst) {
    this.perMs = perSecond / 1000.0;
    this.burst = Math.max(1.0, burst);
    this.level = this.burst;
  }

  /** Takes n tokens if they are there. A call larger than the whole burst passes when it is full. */
  public boolean take(long now, double n) {
    level = Math.min(burst, level + (now - last) * perMs);
    last = now;
    if (now < restUntil || level < Math.min(n, burst)) {
      return false;
    }
    level -= n;
    return true;
  }

  /** Lets nothing pass for a while, after a refusal. */
  public void rest(long now, long ms) {
    restUntil = Math.max(restUntil, now + ms);
    level = Math.min(level, 1.0);
  }
}
