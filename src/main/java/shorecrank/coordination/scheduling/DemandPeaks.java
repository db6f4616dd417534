package shorecrank.coordination.scheduling;

import java.util.ArrayDeque;
import shorecrank.protocol.Ids.MonotonicTime;

/** Tracks the highest demand for processors in a sliding time window. */
final class DemandPeaks {
  /** The demand at one time. */
  private record Peak(MonotonicTime at, double cpus) {}

  /** The peaks in order of time; each is higher than all later ones. */
  private final ArrayDeque<Peak> peaks = new ArrayDeque<>();

  /**
   * Records the current demand.
   *
   * @param cpus the demand in processors
   * @param windowMs the length of the window, in milliseconds
   * @return the highest demand in the window, in processors
   */
  double record(double cpus, MonotonicTime now, long windowMs) {
    peaks.removeIf(peak -> now.since(peak.at) > windowMs);
    peaks.removeIf(peak -> peak.cpus <= cpus);
    peaks.add(new Peak(now, cpus));
    return peaks.peekFirst().cpus;
  }
}
