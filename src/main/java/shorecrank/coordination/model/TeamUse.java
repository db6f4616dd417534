package shorecrank.coordination.model;

import shorecrank.config.NodeConfig.Team;

/**
 * What a team uses of its limits.
 *
 * @param team with its limits
 * @param cpus processors of all that counts
 * @param gpus accelerators of all that counts
 */
public record TeamUse(Team team, double cpus, double gpus) {
  /** Absorbs the rounding errors of sums of fractional processors. */
  private static final double EPSILON = 1e-6;

  /** Whether the team uses more than it may. */
  public boolean isAboveLimit() {
    return isAbove(cpus, team.cpusMax()) || isAbove(gpus, team.gpusMax());
  }

  private static boolean isAbove(double used, double limit) {
    return limit > 0 && used > limit + EPSILON;
  }
}
