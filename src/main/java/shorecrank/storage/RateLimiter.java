package shorecrank.storage;

import shorecrank.protocol.Ids.MonotonicTime;

/** A token bucket that holds the tokens of at most one second and starts full. */
public final class RateLimiter {
  private static final double MS_PER_S = 1000.0;

  private double rate;
  private double tokens;

  /** When tokens were last added; null before the first use. */
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

  /** Changes the rate, in tokens per second. The tokens in the bucket are kept. */
  public void updateRate(double rate) {
    this.rate = rate;
  }

  /** Returns the rate in tokens per second. */
  public double rate() {
    return rate;
  }

  /**
   * Reports whether {@code count} tokens are available. A count above the tokens of one second is
   * available if the bucket is full; taking it leaves a debt that later refills pay off.
   */
  public boolean has(double count, MonotonicTime now) {
    refill(now);
    return tokens >= Math.min(count, rate);
  }

  /** Returns the number of available tokens; negative while a debt is paid off. */
  public double available(MonotonicTime now) {
    return tokensAt(now);
  }

  /** Takes tokens, even if they are not available; the number of tokens may become negative. */
  public void take(double count, MonotonicTime now) {
    refill(now);
    tokens -= count;
  }

  /** Takes tokens if they are available, and reports whether it did. */
  public boolean tryTake(double count, MonotonicTime now) {
    if (!has(count, now)) {
      return false;
    }
    tokens -= count;
    return true;
  }

  /**
   * Removes all tokens, after the state service has refused a request because its rate limit was
   * exceeded: the service has less capacity left than the bucket assumes. A debt is kept.
   */
  public void drain() {
    tokens = Math.min(tokens, 0);
  }

  private void refill(MonotonicTime now) {
    tokens = tokensAt(now);
    refilledAt = now;
  }

  private double tokensAt(MonotonicTime now) {
    if (refilledAt == null) {
      return tokens;
    }
    return Math.min(rate, tokens + rate * Math.max(0, now.since(refilledAt)) / MS_PER_S);
  }
}
