/**
 * Rollouts of new versions: raises and lowers the feature level, decides which features may be used
 * at the level in force, converts stored values to earlier forms when the level is lowered, and
 * archives the state service's keys.
 *
 * <p>The package depends on {@code leadership}, {@code storage}, {@code protocol} and {@code
 * config}. {@code coordination} runs it; {@code rebalance} asks {@link
 * shorecrank.rollout.FeatureGate} whether shares may be used; the daemon reads the settings; the
 * client reads archives.
 */
package shorecrank.rollout;
