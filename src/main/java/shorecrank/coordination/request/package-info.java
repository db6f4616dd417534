/**
 * Handles the requests of users and operators: submission, cancellation and status of jobs, and
 * orders about rollouts and shares.
 *
 * <p>Any controller answers users' requests, from records in the state service, so that no answer
 * is older than an earlier one. Only final records, which never change, are answered from memory.
 * The leader answers operators' requests, except queries for keys, which any controller answers;
 * the other controllers forward them to the leader.
 *
 * <p>The package is called by {@code coordination}. It may import {@code coordination.step}, {@code
 * coordination.model}, {@code coordination.leader} (for who leads), {@code storage}, {@code
 * protocol}, {@code rollout} and {@code rebalance}.
 */
package shorecrank.coordination.request;
