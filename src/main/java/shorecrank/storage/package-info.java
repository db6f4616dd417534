/**
 * Stored state: the client interface of the state service with its typed results, the keys and
 * encodings of job records, and the rate limiter that keeps calls within the service's limits.
 *
 * <p>The package makes no decisions about jobs. It depends on {@code protocol} only, and is used by
 * {@code leadership}, {@code rollout}, {@code rebalance} and {@code coordination}.
 */
package shorecrank.storage;
