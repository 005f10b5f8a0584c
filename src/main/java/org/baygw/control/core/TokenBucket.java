package org.baygw.control.core;

/** A token bucket: limits the rate of calls and allows bursts. */
public final class TokenBucket {
  private double perMs;
  private double burst;
  private double tokens;
  private long lastRefillMs;
  private long pausedUntilMs;

  public TokenBucket(double perSecond, double burst) {
    this.perMs = perSecond / 1000.0;
    this.burst = Math.max(1.0, burst);
    this.tokens = this.burst;
  }

  /**
   * Takes {@code count} tokens if they are available. A call that needs more than the whole burst
   * is allowed when the bucket is full.
   */
  public boolean take(long now, double count) {
    refill(now);
    if (now < pausedUntilMs || tokens < Math.min(count, burst)) {
      return false;
    }
    tokens -= count;
    return true;
  }

  /**
   * Whether a call may be made whose cost is not known yet; charge() deducts the cost afterwards.
   */
  public boolean ready(long now) {
    refill(now);
    return now >= pausedUntilMs && tokens >= Math.min(1.0, burst);
  }

  /** Deducts the cost of a call that ready() allowed; the level may become negative. */
  public void charge(double count) {
    tokens -= count;
  }

  /** The available share of the burst, from 0 to 1; 0 during a pause. */
  public double fullness(long now) {
    refill(now);
    return now < pausedUntilMs ? 0 : Math.max(0, tokens / burst);
  }

  /** Changes the rate and the burst. */
  public void setRate(double perSecond, double newBurst) {
    perMs = perSecond / 1000.0;
    burst = Math.max(1.0, newBurst);
  }

  private void refill(long now) {
    tokens = Math.min(burst, tokens + (now - lastRefillMs) * perMs);
    lastRefillMs = now;
  }

  /** Allows no calls for a time after the service refused one, and keeps at most one token. */
  public void pause(long now, long ms) {
    pausedUntilMs = Math.max(pausedUntilMs, now + ms);
    tokens = Math.min(tokens, 1.0);
  }
}
