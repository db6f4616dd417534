/**
 * Rebalancing of machines between shards: computes how many processors each shard should have, by
 * the shares and the demand of its teams, and moves machines from one shard to another. Each step
 * of a move is written to the state service before it takes effect.
 *
 * <p>Imports {@code rollout}, {@code leadership}, {@code storage}, {@code protocol} and {@code
 * config}. The leader in {@code coordination} calls this package, and gives it access to the
 * assignments of machines through {@link shorecrank.rebalance.FleetAssignments}.
 */
package shorecrank.rebalance;
