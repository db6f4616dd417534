package shorecrank.coordination.step;

import shorecrank.config.NodeConfig;
import shorecrank.storage.RateLimiter;

/**
 * How many requests and changes this controller may send to the state service.
 *
 * <p>Bounds hold per process, with room for the others' part of the service. What users wait for is
 * not bound by the part: it comes in bursts, at one controller more than at others, and the service
 * itself says when it is too much.
 */
final class StoreBudget {
  /** The part of all requests that is divided evenly among the controllers. */
  private static final double EVEN_REQUEST_FRACTION = 0.55;

  /** The part of all requests that goes with the shards. */
  private static final double SHARD_REQUEST_FRACTION = 0.4;

  private static final double EVEN_WRITE_FRACTION = 0.1;
  private static final double SHARD_WRITE_FRACTION = 0.75;
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
   * Allots this controller its part.
   *
   * @param shardFraction the part of all shards that it owns, from 0 to 1
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

  /** The service has refused a request as too many: what was counted on is not there. */
  void drain() {
    requests.drain();
    writes.drain();
  }

  /** All requests. */
  RateLimiter requests() {
    return requests;
  }

  /** Changes that nobody waits for. */
  RateLimiter writes() {
    return writes;
  }

  /** Changes that users wait for. */
  RateLimiter userWrites() {
    return userWrites;
  }
}
