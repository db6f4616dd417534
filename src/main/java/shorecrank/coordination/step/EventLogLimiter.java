package shorecrank.coordination.step;

import java.util.HashMap;
import java.util.Map;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.storage.RateLimiter;

/** Bounds how many lines a second go into the log for each event that a large fleet has often. */
final class EventLogLimiter {
  private static final double LINES_PER_S = 20;

  private final Map<String, RateLimiter> limiters = new HashMap<>();

  /** Whether a further line of an event may go into the log, which counts as logged then. */
  boolean tryLog(String event, MonotonicTime now) {
    return limiters.computeIfAbsent(event, name -> new RateLimiter(LINES_PER_S)).tryTake(1, now);
  }
}
