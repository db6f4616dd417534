package shorecrank.sim;

import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.storage.RateLimiter;

/**
 * The rate limits that the simulated state service enforces, with bursts of one second's worth. A
 * request above a limit is refused and uses nothing of either limit.
 */
final class StateServiceRates {
  private final Simulation sim;
  private final RateLimiter requests;
  private final RateLimiter writes;

  StateServiceRates(Simulation sim, double requestsPerS, double writesPerS) {
    this.sim = sim;
    this.requests = new RateLimiter(requestsPerS);
    this.writes = new RateLimiter(writesPerS);
  }

  /**
   * Reports whether a request is within the limits, and counts it if it is.
   *
   * @param operations number of puts and deletes in the request
   */
  boolean tryTake(int operations) {
    MonotonicTime now = new MonotonicTime(sim.now());
    if (!requests.has(1, now) || !writes.has(operations, now)) {
      return false;
    }
    requests.take(1, now);
    writes.take(operations, now);
    return true;
  }
}
