package shorecrank.coordination.scheduling;

import java.util.List;
import java.util.SplittableRandom;
import shorecrank.coordination.model.Machine;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.JobSpec;

/** Where a job's tasks may go, and where they go best. */
public final class BinPacking {
  private BinPacking() {}

  /** When it is, and how often workers report: a start goes in the answer to a report. */
  public record Clock(MonotonicTime now, double reportS) {}

  /** What a placement there costs, in seconds; less is better. */
  private static double cost(JobSpec s, Machine h, int wanted, Clock clock) {
    double c = h.fetchSeconds(s) + h.session().secondsToNextAnswer(clock.now, clock.reportS);
    int n = Math.min(wanted, h.fits(s));
    double left = h.freeCpus() - n * s.cpus();
    // Best fit: little left over, so that large tasks find room elsewhere.
    c += 2.0 * left / Math.max(1, h.type().cpus());
    return c;
  }

  /**
   * Looks at a few machines that have room and takes the best fit; if none of them fits, at all of
   * them.
   */
  public static Machine choose(
      JobSpec s,
      int wanted,
      List<Machine> hosts,
      String zone,
      Clock clock,
      int sample,
      SplittableRandom random) {
    Machine best = null;
    double bestCost = Double.MAX_VALUE;
    int n = hosts.size();
    if (n > sample) {
      for (int i = 0; i < sample; i++) {
        Machine h = hosts.get(random.nextInt(n));
        double c = fitting(s, h, zone) ? cost(s, h, wanted, clock) : Double.MAX_VALUE;
        if (c < bestCost) {
          best = h;
          bestCost = c;
        }
      }
      if (best != null) {
        return best;
      }
    }
    for (Machine h : hosts) {
      double c = fitting(s, h, zone) ? cost(s, h, wanted, clock) : Double.MAX_VALUE;
      if (c < bestCost) {
        best = h;
        bestCost = c;
      }
    }
    return best;
  }

  private static boolean fitting(JobSpec s, Machine h, String zone) {
    return (zone == null || zone.equals(h.info().zone())) && h.fits(s) > 0 && h.isAllowedFor(s);
  }
}
