package shorecrank.storage;

import shorecrank.protocol.Ids.MonotonicTime;

/** A token bucket that holds at most one second's worth of tokens and starts full. */
public final class RateLimiter {
  private static final double MS_PER_S = 1000.0;

  private double rate;
  private double tokens;

  /** When the bucket was last refilled; null before the first use. */
  private MonotonicTime refilledAt;

  /**
   * Creates a full bucket.
   *
   * @param rate in tokens per second
   */
  public RateLimiter(double rate) {
    this.rate = rate;
    this.tokens = rate;
  }

  /** Changes the rate, in tokens per second; the tokens at hand stay. */
  public void updateRate(double rate) {
    this.rate = rate;
  }

  /** The rate, in tokens per second. */
  public double rate() {
    return rate;
  }

  /**
   * Whether so many tokens are there. A demand above one second's worth passes on a full bucket;
   * the excess is paid off afterwards.
   */
  public boolean has(double count, MonotonicTime now) {
    refill(now);
    return tokens >= Math.min(count, rate);
  }

  /** Takes tokens whether they are there or not; the bucket may go into debt. */
  public void take(double count, MonotonicTime now) {
    refill(now);
    tokens -= count;
  }

  /** Takes tokens if they are there, and returns whether they were. */
  public boolean tryTake(double count, MonotonicTime now) {
    if (!has(count, now)) {
      return false;
    }
    tokens -= count;
    return true;
  }

  /** Empties the bucket after a refusal for excess: the tokens counted on did not exist. */
  public void drain() {
    tokens = Math.min(tokens, 0);
  }

  private void refill(MonotonicTime now) {
    if (refilledAt != null) {
      tokens = Math.min(rate, tokens + rate * Math.max(0, now.since(refilledAt)) / MS_PER_S);
    }
    refilledAt = now;
  }
}
