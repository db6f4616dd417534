package shorecrank.coordination.leader;

import java.util.Map;
import java.util.stream.Stream;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.WorkerReachability;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;

/** Detects shard owners that still send heartbeats but have to be replaced. */
final class OwnerFailureDetector {
  /**
   * The time after which an owner that can't reach the state service is replaced, if other
   * controllers can.
   */
  private static final int STORE_UNREACHABLE_LIMIT_MS = 2000;

  /**
   * The minimum time between two replacements of a shard's owner because workers can't reach it.
   */
  private static final int REPLACEMENT_PAUSE_MS = 20_000;

  /**
   * The minimum number of workers with overdue heartbeats for a replacement; a single worker is no
   * reason for one.
   */
  private static final int MIN_OVERDUE = 2;

  /** An owner is replaced only if the heartbeats of at least 1/5 of its workers are overdue. */
  private static final int MIN_OVERDUE_DIVISOR = 5;

  private final StepContext context;
  private final ControllerTable controllers;

  OwnerFailureDetector(StepContext context, ControllerTable controllers) {
    this.context = context;
    this.controllers = controllers;
  }

  /** Reports whether an owner can't reach the state service while other controllers can. */
  boolean lacksStateService(ControllerName name, ControllerState owner) {
    return hasLostStateService(owner) && controllers.isStoreReachableElsewhere(name);
  }

  /**
   * Reports whether an owner has been without the state service for too long.
   *
   * <p>After an outage that also affected this controller, the time counts from when the state
   * service answered this controller again, so that the owner has the same time to notice the end
   * of the outage.
   */
  private boolean hasLostStateService(ControllerState owner) {
    MonotonicTime since = owner.storeUnreachableSince();
    if (since == MonotonicTime.NEVER) {
      return false;
    }
    if (since.isBefore(context.storeReachableSince())) {
      since = context.storeReachableSince();
    }
    return context.now().since(since) > STORE_UNREACHABLE_LIMIT_MS;
  }

  /**
   * Reports whether many workers can't reach a shard's owner but reach other controllers, one of
   * which is likely to be reachable for all of them. Without a new owner these workers' leases
   * would expire although the workers are healthy.
   */
  boolean isUnreachableForWorkers(ShardId id, ShardState shard, WorkerReachability workers) {
    if (workers.overdue() < MIN_OVERDUE
        || workers.overdue() * MIN_OVERDUE_DIVISOR < workers.expected()
        || shard.msSinceUnreachable(context.now()) < REPLACEMENT_PAUSE_MS) {
      return false;
    }
    boolean isHalfReachingOthers =
        workersReachingOthers(id, shard.owner()) * 2 >= workers.overdue();
    return isHalfReachingOthers
        && otherServers(shard.owner())
            .anyMatch(entry -> isLikelyReachable(entry.getKey(), shard.owner(), workers));
  }

  /** Returns how many workers of a shard other controllers than its owner have heard lately. */
  int workersReachingOthers(ShardId id, ControllerName owner) {
    return otherServers(owner).mapToInt(entry -> entry.getValue().misroutedWorkers(id)).sum();
  }

  /** Returns the controllers other than the owner that can serve shards. */
  private Stream<Map.Entry<ControllerName, ControllerState>> otherServers(ControllerName owner) {
    return controllers.entries().stream()
        .filter(entry -> !entry.getKey().equals(owner) && controllers.canServe(entry.getValue()));
  }

  /**
   * Reports whether an owner's workers are likely to reach another controller.
   *
   * <p>If the heartbeats of no more than two thirds of the workers are overdue, the other workers
   * have to reach the new owner too: it must be in a zone other than the present owner's and those
   * that {@code workers} names as unreachable.
   */
  private boolean isLikelyReachable(
      ControllerName candidate, ControllerName owner, WorkerReachability workers) {
    boolean areTwoThirdsOverdue = workers.overdue() * 3 > workers.expected() * 2;
    if (areTwoThirdsOverdue) {
      return true;
    }
    String zone = controllers.zoneOf(candidate);
    return !workers.unreachableZones().contains(zone) && !zone.equals(controllers.zoneOf(owner));
  }
}
