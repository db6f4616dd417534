/**
 * What state machines that run on the leader see of it: its term and its keys ({@link
 * shorecrank.leadership.Leadership}), and time, state service, rate limits, log and metrics ({@link
 * shorecrank.leadership.LeaderEnvironment}).
 *
 * <p>Interfaces only. May import {@code storage} and {@code protocol}. {@code rollout} and {@code
 * rebalance} call them; {@code coordination.leader} implements them.
 */
package shorecrank.leadership;
