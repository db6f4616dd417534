package shorecrank.coordination.scheduling;

/**
 * What a shard's machines can do, for the order of its queued jobs.
 *
 * @param fetchGbPerS how fast machines fetch images, on average; 0 if none is there
 * @param cpus processors of the machines that are there
 * @param bootingCpus processors of the machines that boot
 * @param bootS seconds until those are there, on average
 * @param runningWork processor seconds left of what runs
 */
public record FleetCapacity(
    double fetchGbPerS, double cpus, double bootingCpus, double bootS, double runningWork) {
  /** Machines are never all busy with what was placed best: room is lost to shapes and images. */
  private static final double USABLE_SHARE = 0.75;

  /**
   * Seconds until work of so many processor seconds is done, with the machines there and booting.
   */
  double secondsToClear(double work) {
    double usableCpus = cpus * USABLE_SHARE;
    double usableBootingCpus = bootingCpus * USABLE_SHARE;
    if (work <= usableCpus * bootS || usableBootingCpus <= 0) {
      return work / Math.max(1, usableCpus);
    }
    return bootS + (work - usableCpus * bootS) / (usableCpus + usableBootingCpus);
  }
}
