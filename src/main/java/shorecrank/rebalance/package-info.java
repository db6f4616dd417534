/**
 * Shares of the fleet: computes how many processors each shard should have by its teams' shares and
 * demand, and moves machines between shards, each move in steps that are written down first.
 *
 * <p>Imports {@code rollout}, {@code leadership}, {@code storage}, {@code protocol} and {@code
 * config}. The leader in {@code coordination} calls it, and offers the assignments of machines as
 * {@link shorecrank.rebalance.FleetAssignments}.
 */
package shorecrank.rebalance;
