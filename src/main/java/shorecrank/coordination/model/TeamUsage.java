package shorecrank.coordination.model;

import shorecrank.config.NodeConfig.Team;

/**
 * A team's quota usage.
 *
 * @param team the team, with its limits
 * @param cpus processors of the team's placed attempts
 * @param gpus accelerators of the team's placed attempts
 * @param withdrawnCpus processors of attempts that were withdrawn but that records may still name
 * @param withdrawnGpus accelerators of attempts that were withdrawn but that records may still name
 */
public record TeamUsage(
    Team team, double cpus, double gpus, double withdrawnCpus, double withdrawnGpus) {
  /** Tolerance for the rounding errors of sums of fractional processors. */
  private static final double EPSILON = 1e-6;

  /** Reports whether the placed attempts exceed one of the team's limits. */
  public boolean isAboveLimit() {
    return isAbove(cpus, team.cpusMax()) || isAbove(gpus, team.gpusMax());
  }

  /** Formats the usage by placed attempts and the limits as fields of a log line. */
  public String logFields() {
    return String.format(
        "team=%s cpus=%.2f cpus_max=%.2f gpus=%.2f gpus_max=%.2f",
        team.name(), cpus, team.cpusMax(), gpus, team.gpusMax());
  }

  private static boolean isAbove(double used, double limit) {
    return limit > 0 && used > limit + EPSILON;
  }
}
