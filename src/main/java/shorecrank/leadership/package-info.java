/**
 * The interfaces between the leader and the state machines that run on it: the term and its guards
 * ({@link shorecrank.leadership.Leadership}), the environment with time, state service, rate
 * limits, log and metrics ({@link shorecrank.leadership.LeaderEnvironment}), and access to a key
 * that only the leader writes ({@link shorecrank.leadership.LeaderKey}).
 *
 * <p>May import {@code storage} and {@code protocol}. {@code rollout} and {@code rebalance} use
 * this package; {@code coordination.leader} implements its interfaces.
 */
package shorecrank.leadership;
