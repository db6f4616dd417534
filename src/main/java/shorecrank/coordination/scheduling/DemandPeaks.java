package shorecrank.coordination.scheduling;

import java.util.ArrayDeque;
import shorecrank.protocol.Ids.MonotonicTime;

/** The highest demand of a sliding window of time, in processors. */
final class DemandPeaks {
  /** A demand at some time. */
  private record Peak(MonotonicTime at, double cpus) {}

  /** Peaks in the order of time; each is higher than all after it. */
  private final ArrayDeque<Peak> peaks = new ArrayDeque<>();

  /**
   * Takes in the demand as of now.
   *
   * @param windowMs how far the window reaches back
   * @return the highest demand of the window
   */
  double record(double cpus, MonotonicTime now, long windowMs) {
    peaks.removeIf(peak -> now.since(peak.at) > windowMs);
    peaks.removeIf(peak -> peak.cpus <= cpus);
    peaks.add(new Peak(now, cpus));
    return peaks.peekFirst().cpus;
  }
}
