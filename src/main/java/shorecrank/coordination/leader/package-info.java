/**
 * The leader of the fleet: its election and its decisions during a term.
 *
 * <p>The leader allocates epochs, grants shards to controllers by leases, replaces failed owners,
 * assigns machines to shards, and rents and releases machines in the cloud. All state belongs to a
 * term: a new leader loads it from the state service, and every write is guarded by the term.
 *
 * <p>May import {@code coordination.step} (time, calls, log), {@code rebalance} and {@code rollout}
 * (which change the fleet under the leader's term), {@code leadership}, {@code storage}, {@code
 * protocol} and {@code config}. The controller's state machine in {@code coordination} calls {@link
 * shorecrank.coordination.leader.Leader} and {@link shorecrank.coordination.leader.Election};
 * {@code coordination.request} asks the election who leads.
 */
package shorecrank.coordination.leader;
