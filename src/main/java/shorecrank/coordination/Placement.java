package shorecrank.coordination;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import shorecrank.protocol.CloudMessages.HostType;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.JobSpec;

/** Where a job's tasks may go, and where they go best. */
final class Placement {
  private Placement() {}

  static boolean allowed(JobSpec s, Offer o, HostType t) {
    return (s.types() == null || s.types().contains(o.type()))
        && (s.zone() == null || s.zone().equals(o.zone()))
        && (s.spot() || !o.spot())
        && s.cpus() <= t.cpus()
        && s.gpus() <= t.gpus()
        && s.memoryGb() <= t.memoryGb();
  }

  /** A task fits some machine type that the job allows. */
  static boolean possible(JobSpec s, Map<String, HostType> catalog) {
    for (HostType t : catalog.values()) {
      for (String z : t.zones()) {
        if (allowed(s, new Offer(t.name(), z, false), t)) {
          return true;
        }
      }
    }
    return false;
  }

  /** When it is, and how often workers report: a start goes in the answer to a report. */
  record Clock(MonotonicTime now, double reportS) {}

  /** What a placement there costs, in seconds; less is better. */
  private static double cost(JobSpec s, Host h, int wanted, Clock clock) {
    double c = h.fetchSeconds(s) + h.toldInS(clock.now, clock.reportS);
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
  static Host choose(
      JobSpec s,
      int wanted,
      List<Host> hosts,
      String zone,
      Clock clock,
      int sample,
      SplittableRandom random) {
    Host best = null;
    double bestCost = Double.MAX_VALUE;
    int n = hosts.size();
    if (n > sample) {
      for (int i = 0; i < sample; i++) {
        Host h = hosts.get(random.nextInt(n));
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
    for (Host h : hosts) {
      double c = fitting(s, h, zone) ? cost(s, h, wanted, clock) : Double.MAX_VALUE;
      if (c < bestCost) {
        best = h;
        bestCost = c;
      }
    }
    return best;
  }

  private static boolean fitting(JobSpec s, Host h, String zone) {
    return (zone == null || zone.equals(h.info.zone())) && h.fits(s) > 0 && h.allowed(s);
  }
}
