package shorecrank.coordination.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.WorkerReachability;
import shorecrank.protocol.Ids.MonotonicTime;

/**
 * The failure detector for the workers of one shard: which of them its owner hears, and what the
 * silence of the others proves.
 */
public final class WorkerLiveness {
  /** A worker gives a heartbeat up after 4 s and tries the next controller 1 s later. */
  private static final long REDIRECT_MS = 5000;

  /** Heartbeats come this much later than their interval at the most, in milliseconds per s. */
  private static final double OVERDUE_MS_PER_S = 1250;

  private static final long OVERDUE_MARGIN_MS = 2000;

  /** A machine is fresh for two and a half heartbeat intervals, in milliseconds per s. */
  private static final double FRESH_MS_PER_S = 2500;

  private static final long FRESH_MARGIN_MS = 1500;

  /** A worker's lease is at most so many times longer on this clock than on its own. */
  private static final double LEASE_DRIFT_FACTOR = 1.002;

  /** The grace period of an earlier owner is longer by this part on its clock, as a divisor. */
  private static final long GRACE_DRIFT_DIVISOR = 500;

  private static final long TIMER_MARGIN_MS = 1000;
  private static final double MS_PER_S = 1000;

  /** Machines of one zone, and how many of them are not heard. */
  private static final class ZoneCount {
    int expected;
    int unheard;
  }

  private final StepContext context;
  private final Collection<Machine> machines;

  /** When the shard was granted: before it no worker could send its heartbeats here. */
  private final MonotonicTime grantedAt;

  /**
   * @param machines a live view of the machines of the shard
   * @param grantedAt when the shard was granted to this owner
   */
  public WorkerLiveness(
      StepContext context, Collection<Machine> machines, MonotonicTime grantedAt) {
    this.context = context;
    this.machines = machines;
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
    for (Machine machine : machines) {
      if (machine.session().hasConfirmedHeartbeat()) {
        reported++;
        heard += isOverdue(machine) ? 0 : 1;
      }
    }
    return heard * 3 < reported * 2;
  }

  /** Which workers this owner should hear and does not, for the leader to compare with others. */
  public WorkerReachability reachability() {
    int expected = 0;
    int unheard = 0;
    Map<String, ZoneCount> byZone = new TreeMap<>();
    for (Machine machine : machines) {
      if (machine.info() != null
          && machine.assignment().isAssigned()
          && (machine.session().hasConfirmedHeartbeat() || !machine.isEmpty())) {
        ZoneCount zone = byZone.computeIfAbsent(machine.info().zone(), absent -> new ZoneCount());
        expected++;
        zone.expected++;
        if (isOverdue(machine)) {
          unheard++;
          zone.unheard++;
        }
      }
    }
    List<String> unreachableZones = new ArrayList<>();
    byZone.forEach(
        (zone, count) -> {
          if (count.unheard * 2 > count.expected) {
            unreachableZones.add(zone);
          }
        });
    return new WorkerReachability(expected, unheard, unreachableZones);
  }

  /**
   * Whether its next heartbeat should have come by now. A worker whose heartbeat was lost with the
   * last owner gives it up and turns to another controller first, so a new owner waits for that.
   */
  private boolean isOverdue(Machine machine) {
    long redirectMs = machine.session().lastHeard().isBefore(grantedAt) ? REDIRECT_MS : 0;
    return silentMs(machine)
        > context.config().workers().reportS() * OVERDUE_MS_PER_S + OVERDUE_MARGIN_MS + redirectMs;
  }

  /** Whether a silent machine's worker has surely killed its tasks, since its lease ran out. */
  public boolean isLeaseExpired(Machine machine) {
    MonotonicTime from = machine.session().lastHeard();
    if (!machine.session().isConfirmed()) {
      // An earlier owner may have gone on renewing it until its grace period was over.
      long graceMs = context.settings().graceMs();
      MonotonicTime graceEnd =
          grantedAt.plus(graceMs + graceMs / GRACE_DRIFT_DIVISOR + TIMER_MARGIN_MS);
      from = from.isBefore(graceEnd) ? graceEnd : from;
    }
    double leaseMs = context.config().workers().leaseS() * MS_PER_S;
    return context.now().since(from) > leaseMs * LEASE_DRIFT_FACTOR + TIMER_MARGIN_MS;
  }

  /** Milliseconds since the last confirmed heartbeat, or since this owner could have heard one. */
  public long silentMs(Machine machine) {
    MonotonicTime lastHeard = machine.session().lastHeard();
    return context.now().since(lastHeard.isBefore(grantedAt) ? grantedAt : lastHeard);
  }

  /** Whether what is on the machine is known from a heartbeat of late. */
  public boolean isFresh(Machine machine) {
    return machine.session().isReconciled()
        && silentMs(machine)
            < context.config().workers().reportS() * FRESH_MS_PER_S + FRESH_MARGIN_MS;
  }
}
