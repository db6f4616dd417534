package shorecrank.coordination.step;

import java.util.HashMap;
import java.util.Map;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.storage.RateLimiter;

/**
 * Limits the rate of log lines of each frequent event, so that a large fleet cannot flood the log.
 */
final class EventLogLimiter {
  private static final double LINES_PER_S = 20;

  private final Map<String, RateLimiter> limiters = new HashMap<>();

  /** Reports whether a line of the event may be logged now, and if so counts it as logged. */
  boolean tryLog(String event, MonotonicTime now) {
    return limiters.computeIfAbsent(event, name -> new RateLimiter(LINES_PER_S)).tryTake(1, now);
  }
}
