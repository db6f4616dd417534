package shorecrank.storage;

import shorecrank.protocol.Ids.MonotonicTime;

/** A token bucket holding at most one second's worth. */
public final class RateLimiter {
  private double rate;
  private double tokens;
  private MonotonicTime at;

  public RateLimiter(double rate) {
    this.rate = rate;
    this.tokens = rate;
  }

  public void rate(double rate) {
    this.rate = rate;
  }

  public double rate() {
    return rate;
  }

  public boolean has(double n, MonotonicTime now) {
    refill(now);
    // More than a second's worth passes on a full bucket: it is paid off afterwards.
    return tokens >= Math.min(n, rate);
  }

  public void take(double n, MonotonicTime now) {
    refill(now);
    tokens -= n;
  }

  public boolean tryTake(double n, MonotonicTime now) {
    if (!has(n, now)) {
      return false;
    }
    tokens -= n;
    return true;
  }

  /** After a refusal for excess: what was counted on is not there. */
  public void drain() {
    tokens = Math.min(tokens, 0);
  }

  private void refill(MonotonicTime now) {
    if (at != null) {
      tokens = Math.min(rate, tokens + rate * Math.max(0, now.since(at)) / 1000.0);
    }
    at = now;
  }
}
