/**
 * Rollouts of new versions: raises and lowers the feature level that all controllers of a fleet
 * support, says which features may be used at the level in force, puts stored forms back into
 * earlier ones for a downgrade, and archives the state service's keys.
 *
 * <p>Imports {@code leadership}, {@code storage}, {@code protocol} and {@code config}. The leader
 * and the controllers' state machine in {@code coordination} call it, {@code rebalance} asks its
 * gate, and the client reads archives by it.
 */
package shorecrank.rollout;
