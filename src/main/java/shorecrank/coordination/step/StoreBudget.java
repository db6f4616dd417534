package shorecrank.coordination.step;

import shorecrank.config.NodeConfig;
import shorecrank.storage.RateLimiter;

/**
 * The rate limits of this controller's requests and writes to the state service.
 *
 * <p>Each process limits itself to a share of the service's rates, so that all controllers together
 * stay within them. Writes that users wait for are limited only by the full rate of the service:
 * they come in bursts, and more at one controller than at others. The service itself refuses those
 * that exceed its rate.
 */
final class StoreBudget {
  /** The fraction of the request rate that is divided evenly among the controllers. */
  private static final double EVEN_REQUEST_FRACTION = 0.55;

  /**
   * The fraction of the request rate that is divided among the shard owners by number of shards.
   */
  private static final double SHARD_REQUEST_FRACTION = 0.4;

  /** The fraction of the write rate that is divided evenly among the controllers. */
  private static final double EVEN_WRITE_FRACTION = 0.1;

  /** The fraction of the write rate that is divided among the shard owners by number of shards. */
  private static final double SHARD_WRITE_FRACTION = 0.75;

  /** The fraction of the write rate that only the leader gets. */
  private static final double LEADER_WRITE_FRACTION = 0.05;

  private final double totalRequestRate;
  private final double totalWriteRate;
  private final int controllers;
  private final RateLimiter requests;
  private final RateLimiter writes;
  private final RateLimiter userWrites;

  /** Creates the budget of a controller that neither owns shards nor leads. */
  StoreBudget(NodeConfig config) {
    this.totalRequestRate = config.state().rps();
    this.totalWriteRate = config.state().writeRps();
    this.controllers = Math.max(1, config.members().size() + 1);
    this.requests = new RateLimiter(totalRequestRate);
    this.writes = new RateLimiter(totalWriteRate);
    this.userWrites = new RateLimiter(totalWriteRate);
    allot(0, false);
  }

  /**
   * Sets this controller's share of the rates.
   *
   * @param shardFraction the fraction of all shards that this controller owns, from 0 to 1
   */
  void allot(double shardFraction, boolean isLeading) {
    requests.updateRate(
        totalRequestRate
            * (EVEN_REQUEST_FRACTION / controllers + SHARD_REQUEST_FRACTION * shardFraction));
    writes.updateRate(
        totalWriteRate
            * (EVEN_WRITE_FRACTION / controllers
                + SHARD_WRITE_FRACTION * shardFraction
                + (isLeading ? LEADER_WRITE_FRACTION : 0)));
  }

  /**
   * Empties the limits of requests and of writes that no user waits for, after the service has
   * refused a request because of its load.
   */
  void drain() {
    requests.drain();
    writes.drain();
  }

  /** Returns the rate limit of all requests, reads and writes. */
  RateLimiter requests() {
    return requests;
  }

  /** Returns the rate limit of writes that no user waits for. */
  RateLimiter writes() {
    return writes;
  }

  /** Returns the rate limit of writes that users wait for. */
  RateLimiter userWrites() {
    return userWrites;
  }
}
