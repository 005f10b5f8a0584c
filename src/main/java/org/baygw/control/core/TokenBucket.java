package org.baygw.control.core;

/** Allows so many calls a second, with a burst. */
public final class TokenBucket {
  private double perMs;
  private double burst;
  private double level;
  private long last;
  private long restUntil;

  public TokenBucket(double perSecond, double burst) {
    this.perMs = perSecond / 1000.0;
    this.burst = Math.max(1.0, burst);
    this.level = this.burst;
  }

  /**
   * Takes n tokens if they are there. A call larger than the whole burst passes when it is full.
   */
  public boolean take(long now, double n) {
    fill(now);
    if (now < restUntil || level < Math.min(n, burst)) {
      return false;
    }
    level -= n;
    return true;
  }

  /** Whether a call may be made whose cost is known only then; charge() tells that afterwards. */
  public boolean ready(long now) {
    fill(now);
    return now >= restUntil && level >= Math.min(1.0, burst);
  }

  /** Takes what a call that ready() let pass did cost, into debt if need be. */
  public void charge(double n) {
    level -= n;
  }

  /** Share of the burst that is there. */
  public double fullness(long now) {
    fill(now);
    return now < restUntil ? 0 : Math.max(0, level / burst);
  }

  /** From now on so many a second. */
  public void rate(double perSecond, double newBurst) {
    perMs = perSecond / 1000.0;
    burst = Math.max(1.0, newBurst);
  }

  private void fill(long now) {
    level = Math.min(burst, level + (now - last) * perMs);
    last = now;
  }

  /** Lets nothing pass for a while, after a refusal. */
  public void rest(long now, long ms) {
    restUntil = Math.max(restUntil, now + ms);
    level = Math.min(level, 1.0);
  }
}
