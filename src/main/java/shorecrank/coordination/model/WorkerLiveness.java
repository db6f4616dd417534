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
 * The failure detector for the workers of one shard. It determines which workers' heartbeats arrive
 * in time, which are overdue, and which workers' leases have expired.
 */
public final class WorkerLiveness {
  /** A heartbeat times out after 4 s, and the worker tries the next controller 1 s later. */
  private static final long REDIRECT_MS = 5000;

  /**
   * A heartbeat is overdue after 1.25 heartbeat intervals and {@link #OVERDUE_MARGIN_MS}; in
   * milliseconds per second of the interval.
   */
  private static final double OVERDUE_MS_PER_INTERVAL_S = 1250;

  private static final long OVERDUE_MARGIN_MS = 2000;

  /**
   * A heartbeat is fresh for 2.5 heartbeat intervals and {@link #FRESH_MARGIN_MS}; in milliseconds
   * per second of the interval.
   */
  private static final double FRESH_MS_PER_INTERVAL_S = 2500;

  private static final long FRESH_MARGIN_MS = 1500;

  /**
   * Bounds the clock drift: measured with this controller's clock, a worker's lease lasts at most
   * its duration times this factor.
   */
  private static final double LEASE_DRIFT_FACTOR = 1.002;

  /**
   * Bounds the clock drift: measured with this controller's clock, an earlier owner's grace period
   * is longer by at most its duration divided by this number.
   */
  private static final long GRACE_DRIFT_DIVISOR = 500;

  private static final long TIMER_MARGIN_MS = 1000;
  private static final double MS_PER_S = 1000;

  /** How many machines of a zone should send heartbeats, and how many of these are overdue. */
  private static final class ZoneCount {
    int expected;
    int overdue;
  }

  private final StepContext context;
  private final Collection<Machine> machines;

  /** When the shard was granted to this owner; no worker could send its heartbeats here before. */
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
   * Reports whether heartbeats arrive from fewer than two thirds of the workers that have sent any
   * to this owner.
   *
   * <p>This matters for an owner that reaches neither the state service nor another controller. If
   * it still receives heartbeats from nearly all workers, another controller can serve them, so it
   * should be replaced soon. If it receives them from only some workers, it is probably cut off
   * together with these; no other controller can renew their leases, so it keeps renewing them.
   */
  public boolean isMissingManyWorkers() {
    int responding = 0;
    int reported = 0;
    for (Machine machine : machines) {
      if (machine.session().hasConfirmedHeartbeat()) {
        reported++;
        responding += isOverdue(machine) ? 0 : 1;
      }
    }
    return responding * 3 < reported * 2;
  }

  /**
   * Returns how many workers' heartbeats are expected and how many are overdue. The leader compares
   * these numbers between controllers. None counts as overdue while this process is behind with
   * processing heartbeats: the missing ones may wait here, and no other controller is behind less.
   */
  public WorkerReachability reachability() {
    boolean areHeartbeatsDelayed =
        context.now().since(context.heartbeatsDelayedAt()) < overdueMs() + REDIRECT_MS;
    int expected = 0;
    int overdue = 0;
    Map<String, ZoneCount> byZone = new TreeMap<>();
    for (Machine machine : machines) {
      if (machine.info() != null
          && machine.assignment().isAssigned()
          && (machine.session().hasConfirmedHeartbeat() || !machine.isEmpty())) {
        ZoneCount zone = byZone.computeIfAbsent(machine.info().zone(), absent -> new ZoneCount());
        expected++;
        zone.expected++;
        if (!areHeartbeatsDelayed && isOverdue(machine)) {
          overdue++;
          zone.overdue++;
        }
      }
    }
    List<String> unreachableZones = new ArrayList<>();
    byZone.forEach(
        (zone, count) -> {
          if (count.overdue * 2 > count.expected) {
            unreachableZones.add(zone);
          }
        });
    return new WorkerReachability(expected, overdue, unreachableZones);
  }

  /**
   * Reports whether the next heartbeat of a machine's worker should have arrived by now. Any newer
   * heartbeat counts, also one that does not show this owner's epoch yet: after a failover, workers
   * that reach the new owner show its epoch only with a later heartbeat. A worker whose last
   * heartbeat went to the previous owner first waits for that heartbeat to time out and then tries
   * another controller, so a new owner allows it that time in addition.
   */
  private boolean isOverdue(Machine machine) {
    MonotonicTime arrivedAt = machine.session().lastArrivedAt();
    boolean isNewHere = arrivedAt.isBefore(grantedAt);
    long silentMs = context.now().since(isNewHere ? grantedAt : arrivedAt);
    return silentMs > overdueMs() + (isNewHere ? REDIRECT_MS : 0);
  }

  private double overdueMs() {
    return context.config().workers().heartbeatIntervalS() * OVERDUE_MS_PER_INTERVAL_S
        + OVERDUE_MARGIN_MS;
  }

  /**
   * Reports whether the lease of a machine's worker has expired for certain, so that the worker has
   * killed all its tasks.
   */
  public boolean isLeaseExpired(Machine machine) {
    MonotonicTime from = machine.session().lastConfirmedAt();
    if (!machine.session().isConfirmed()) {
      // An earlier owner may have renewed the worker's lease until the end of its grace period.
      long graceMs = context.settings().graceMs();
      MonotonicTime graceEnd =
          grantedAt.plus(graceMs + graceMs / GRACE_DRIFT_DIVISOR + TIMER_MARGIN_MS);
      from = from.isBefore(graceEnd) ? graceEnd : from;
    }
    double leaseMs = context.config().workers().leaseS() * MS_PER_S;
    return context.now().since(from) > leaseMs * LEASE_DRIFT_FACTOR + TIMER_MARGIN_MS;
  }

  /**
   * Returns the milliseconds since the last confirmed heartbeat of a machine's worker, or since the
   * shard was granted to this owner if that is later.
   */
  public long silentMs(Machine machine) {
    MonotonicTime lastConfirmedAt = machine.session().lastConfirmedAt();
    return context.now().since(lastConfirmedAt.isBefore(grantedAt) ? grantedAt : lastConfirmedAt);
  }

  /** Reports whether a recent heartbeat shows which tasks are on the machine. */
  public boolean isFresh(Machine machine) {
    return machine.session().isReconciled()
        && silentMs(machine)
            < context.config().workers().heartbeatIntervalS() * FRESH_MS_PER_INTERVAL_S
                + FRESH_MARGIN_MS;
  }
}
