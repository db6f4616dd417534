/**
 * What state machines that run on the leader see of it: its term and its keys ({@link
 * shorecrank.leadership.Leadership}), and time, state service, rate limits, log and metrics ({@link
 * shorecrank.leadership.LeaderEnvironment}); and how they read and write a key that only the leader
 * writes ({@link shorecrank.leadership.LeaderKey}).
 *
 * <p>May import {@code storage} and {@code protocol}. {@code rollout} and {@code rebalance} call
 * it; {@code coordination.leader} implements its interfaces.
 */
package shorecrank.leadership;
