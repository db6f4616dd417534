package shorecrank.coordination.scheduling;

/**
 * The capacity of a shard's machines, for ordering its queued jobs.
 *
 * @param fetchGbPerS the average rate at which machines fetch images, in gigabytes per second; 0 if
 *     no machine is running
 * @param cpus processors of the running machines
 * @param bootingCpus processors of the booting machines
 * @param bootS average seconds until the booting machines are running
 * @param runningCpuSeconds processor seconds that the running tasks still need
 */
public record FleetCapacity(
    double fetchGbPerS, double cpus, double bootingCpus, double bootS, double runningCpuSeconds) {
  /** The usable fraction of the processors; fragmentation and image fetches take the rest. */
  private static final double USABLE_FRACTION = 0.75;

  /**
   * Returns the seconds that the running and the booting machines need for an amount of work.
   *
   * @param cpuSeconds the work in processor seconds
   */
  double secondsToClear(double cpuSeconds) {
    double usableCpus = cpus * USABLE_FRACTION;
    double usableBootingCpus = bootingCpus * USABLE_FRACTION;
    if (cpuSeconds <= usableCpus * bootS || usableBootingCpus <= 0) {
      return cpuSeconds / Math.max(1, usableCpus);
    }
    return bootS + (cpuSeconds - usableCpus * bootS) / (usableCpus + usableBootingCpus);
  }
}
