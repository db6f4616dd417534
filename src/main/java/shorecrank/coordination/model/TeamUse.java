package shorecrank.coordination.model;

import shorecrank.config.NodeConfig.Team;

/**
 * What a team uses of its limits.
 *
 * @param team with its limits
 * @param cpus processors of the attempts that are placed
 * @param gpus accelerators of the attempts that are placed
 * @param withdrawnCpus processors of the attempts that only records may still name
 * @param withdrawnGpus accelerators of the attempts that only records may still name
 */
public record TeamUse(
    Team team, double cpus, double gpus, double withdrawnCpus, double withdrawnGpus) {
  /** Absorbs the rounding errors of sums of fractional processors. */
  private static final double EPSILON = 1e-6;

  /** Whether what is placed is more than the team may use. */
  public boolean isAboveLimit() {
    return isAbove(cpus, team.cpusMax()) || isAbove(gpus, team.gpusMax());
  }

  /** What is placed beside the limits, as fields of a log line. */
  public String logFields() {
    return String.format(
        "team=%s cpus=%.2f cpus_max=%.2f gpus=%.2f gpus_max=%.2f",
        team.name(), cpus, team.cpusMax(), gpus, team.gpusMax());
  }

  private static boolean isAbove(double used, double limit) {
    return limit > 0 && used > limit + EPSILON;
  }
}
