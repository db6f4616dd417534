/**
 * The leader of the fleet: its election, and what it decides while its term lasts.
 *
 * <p>It allocates epochs, grants shards to controllers by leases, replaces owners that have failed,
 * assigns machines to shards, and rents and returns machines in the cloud. All of that state
 * belongs to a term: a new leader loads it from the state service, and every write is guarded by
 * the term.
 *
 * <p>May import {@code coordination.step} (time, calls, log), {@code rebalance} and {@code rollout}
 * (which change the fleet under the leader's term), {@code leadership}, {@code storage}, {@code
 * protocol} and {@code config}. The controller's state machine in {@code coordination} calls {@link
 * shorecrank.coordination.leader.Leader} and {@link shorecrank.coordination.leader.Election};
 * {@code coordination.request} asks the election who leads.
 */
package shorecrank.coordination.leader;
