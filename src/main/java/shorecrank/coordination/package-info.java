/**
 * The deterministic state machine of one controller, and the routing of its requests and
 * heartbeats.
 *
 * <p>{@link shorecrank.coordination.ControllerStateMachine} is the entry point: it takes inputs and
 * returns outputs. Each other class of this package has one task: sending heartbeats to the leader,
 * keeping the table of shard owners, keeping the shards that this process owns, and routing
 * requests, worker heartbeats and status queries. Scheduling, shard ownership, leadership and user
 * requests are implemented in the subpackages {@code leader}, {@code shard}, {@code request},
 * {@code scheduling} and {@code model}, which build on {@code step}.
 *
 * <p>The package is called by {@code daemon}, {@code transport} and the test simulator. It may
 * import its subpackages, {@code config}, {@code protocol}, {@code rebalance} and {@code rollout}.
 * It does no I/O and has no clock, thread or source of random numbers.
 */
package shorecrank.coordination;
