/**
 * Answers to the requests of users and operators: submissions, cancellations and status of jobs,
 * and orders about rollouts and shares.
 *
 * <p>Users' requests are served by any controller from the state service alone, so that no answer
 * is older than one already given; only what can never change again is answered from memory.
 * Operators' requests are answered by the leader, to which every controller passes them on.
 *
 * <p>It is called by {@code coordination}. It may import {@code coordination.step}, {@code
 * coordination.model}, {@code coordination.leader} (for who leads), {@code storage}, {@code
 * protocol}, {@code rollout} and {@code rebalance}.
 */
package shorecrank.coordination.request;
