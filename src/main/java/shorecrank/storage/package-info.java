/**
 * The interface of the state service with its typed results, the record of a job with its stored
 * forms, and the rate limiter that keeps calls within the service's limits.
 *
 * <p>Its one job is how state is kept: which keys job records have, how they are encoded, and what
 * may become of a call to the store. It decides nothing about jobs. It imports {@code
 * shorecrank.protocol} only; leadership, rollout, rebalance and coordination use it.
 */
package shorecrank.storage;
