/**
 * One controller as a deterministic state machine, and the routing of its requests and heartbeats.
 *
 * <p>{@link shorecrank.coordination.ControllerStateMachine} is the entry: it takes inputs and
 * returns outputs. The classes beside it have one job each: the heartbeats to the leader, the table
 * of shard owners, the shards owned here, the routes of requests, worker heartbeats and status
 * queries. The work itself is done in the packages below: {@code leader}, {@code shard}, {@code
 * request}, {@code scheduling} and {@code model}, on top of {@code step}.
 *
 * <p>It is called by {@code daemon}, {@code transport} and the simulator of the tests. It may
 * import the packages below it, {@code config}, {@code protocol}, {@code rebalance} and {@code
 * rollout}; it does no input or output, and holds no clock, thread or source of random numbers.
 */
package shorecrank.coordination;
