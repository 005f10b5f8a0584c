package org.baygw.control.core;

/** A token bucket: limits the rate of calls and allows bursts. */
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
   * Takes n tokens if they are available. A call that needs more than the whole burst is allowed
   * when the bucket is full.
   */
  public boolean take(long now, double n) {
    fill(now);
    if (now < restUntil || level < Math.min(n, burst)) {
      return false;
    }
    level -= n;
    return true;
  }

  /**
   * Whether a call may be made whose cost is not known yet; charge() deducts the cost afterwards.
   */
  public boolean ready(long now) {
    fill(now);
    return now >= restUntil && level >= Math.min(1.0, burst);
  }

  /** Deducts the cost of a call that ready() allowed; the level may become negative. */
  public void charge(double n) {
    level -= n;
  }

  /** The available share of the burst, from 0 to 1; 0 during a pause. */
  public double fullness(long now) {
    fill(now);
    return now < restUntil ? 0 : Math.max(0, level / burst);
  }

  /** Changes the rate and the burst. */
  public void setRate(double perSecond, double newBurst) {
    perMs = perSecond / 1000.0;
    burst = Math.max(1.0, newBurst);
  }

  private void fill(long now) {
    level = Math.min(burst, level + (now - last) * perMs);
    last = now;
  }

  /** Allows no calls for a time, after the service has refused one. */
  public void pause(long now, long ms) {
    restUntil = Math.max(restUntil, now + ms);
    level = Math.min(level, 1.0);
  }
}
