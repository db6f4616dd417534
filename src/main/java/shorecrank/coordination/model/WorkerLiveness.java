package shorecrank.coordination.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.PeerMessages.WorkerReachability;

/** Which of a part's machines its owner hears, and what their silence proves. */
public final class WorkerLiveness {
  /** A worker gives a report up after 4 s and tries the next controller 1 s later. */
  private static final long REDIRECT_MS = 5000;

  private final StepContext context;
  private final Collection<Machine> hosts;

  /** When the part was granted: before it nobody could report here. */
  private final MonotonicTime grantedAt;

  public WorkerLiveness(StepContext context, Collection<Machine> hosts, MonotonicTime grantedAt) {
    this.context = context;
    this.hosts = hosts;
    this.grantedAt = grantedAt;
  }

  /**
   * Whether part of the fleet has just fallen silent. Alone and with the whole fleet around it, an
   * owner is better replaced soon; alone with a share of it, both are cut off together, and those
   * workers have nobody else.
   */
  public boolean missesManyWorkers() {
    int heard = 0;
    int reported = 0;
    for (Machine h : hosts) {
      if (h.session().isReported()) {
        reported++;
        heard += overdue(h) ? 0 : 1;
      }
    }
    return heard * 3 < reported * 2;
  }

  /** Whom this owner should hear and does not, for the leader to compare with what others hear. */
  public WorkerReachability hearing() {
    int expected = 0;
    int unheard = 0;
    Map<String, int[]> byZone = new TreeMap<>();
    for (Machine h : hosts) {
      if (h.info() != null
          && h.assignment().isAssigned()
          && (h.session().isReported() || !h.isEmpty())) {
        int[] zone = byZone.computeIfAbsent(h.info().zone(), z -> new int[2]);
        expected++;
        zone[0]++;
        if (overdue(h)) {
          unheard++;
          zone[1]++;
        }
      }
    }
    List<String> unreachableZones = new ArrayList<>();
    byZone.forEach(
        (zone, n) -> {
          if (n[1] * 2 > n[0]) {
            unreachableZones.add(zone);
          }
        });
    return new WorkerReachability(expected, unheard, unreachableZones);
  }

  /**
   * Its next report should have come by now. A worker whose report was lost with the last owner
   * gives it up and turns to another controller first, so a new owner waits for that too.
   */
  private boolean overdue(Machine h) {
    long redirect = h.session().lastHeard().before(grantedAt) ? REDIRECT_MS : 0;
    return silentMs(h) > context.config.workers().reportS() * 1250 + 2000 + redirect;
  }

  /** When a silent machine's worker has surely killed its tasks. */
  public boolean leaseOut(Machine h) {
    MonotonicTime from = h.session().lastHeard();
    if (!h.session().isConfirmed()) {
      // An earlier owner may have gone on renewing it until its grace was over.
      MonotonicTime quiet =
          grantedAt.plus(context.tuning.graceMs() + context.tuning.graceMs() / 500L + 1000L);
      from = from.before(quiet) ? quiet : from;
    }
    double lease = context.config.workers().leaseS() * 1000;
    return context.now().since(from) > lease * 1.002 + 1000;
  }

  public long silentMs(Machine h) {
    MonotonicTime from =
        h.session().lastHeard().before(grantedAt) ? grantedAt : h.session().lastHeard();
    return context.now().since(from);
  }

  public boolean fresh(Machine h) {
    return h.session().isReconciled()
        && silentMs(h) < context.config.workers().reportS() * 2500 + 1500;
  }
}
