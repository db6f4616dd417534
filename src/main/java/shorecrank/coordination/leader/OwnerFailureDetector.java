package shorecrank.coordination.leader;

import java.util.Map;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.WorkerReachability;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;

/** Decides whether an owner that still sends heartbeats has to be replaced. */
final class OwnerFailureDetector {
  /** An owner without the state service, while others have it, is replaced after so long. */
  private static final int STORE_UNREACHABLE_LIMIT_MS = 2000;

  /** A shard is not moved again so soon because workers don't reach its owner. */
  private static final int REPLACEMENT_PAUSE_MS = 20_000;

  /** An owner is not replaced for a single worker that it does not hear. */
  private static final int MIN_UNHEARD = 2;

  /** An owner that hears more than four of five of its workers is not replaced. */
  private static final int MIN_UNHEARD_DIVISOR = 5;

  private final StepContext context;
  private final ControllerTable controllers;

  OwnerFailureDetector(StepContext context, ControllerTable controllers) {
    this.context = context;
    this.controllers = controllers;
  }

  /** Whether an owner alone is without the state service. */
  boolean lacksStateService(ControllerName name, ControllerState owner) {
    return hasLostStateService(owner) && controllers.isStoreReachableElsewhere(name);
  }

  /** After an outage a controller gets as long to notice its end as it had for its beginning. */
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
   * Whether many workers don't reach a shard's owner but do reach other controllers, one of which
   * all of them are likely to reach. Their leases would run out, although nothing is wrong with
   * them.
   */
  boolean isUnreachableForWorkers(ShardId id, ShardState shard, WorkerReachability workers) {
    if (workers.unheard() < MIN_UNHEARD
        || workers.unheard() * MIN_UNHEARD_DIVISOR < workers.expected()
        || shard.msSinceUnreachable(context.now()) < REPLACEMENT_PAUSE_MS) {
      return false;
    }
    int heardElsewhere = 0;
    boolean hasReachableCandidate = false;
    for (Map.Entry<ControllerName, ControllerState> entry : controllers.entries()) {
      ControllerState controller = entry.getValue();
      if (entry.getKey().equals(shard.owner()) || !controllers.canServe(controller)) {
        continue;
      }
      heardElsewhere += controller.misroutedWorkers(id);
      hasReachableCandidate |= isLikelyReachable(entry.getKey(), shard.owner(), workers);
    }
    boolean isHalfHeardElsewhere = heardElsewhere * 2 >= workers.unheard();
    return hasReachableCandidate && isHalfHeardElsewhere;
  }

  /**
   * Whether an owner's workers are likely to reach another controller. Where few are unheard, a
   * move is worth it only if it does not lose the others: to a zone that is neither theirs nor the
   * owner's.
   */
  private boolean isLikelyReachable(
      ControllerName candidate, ControllerName owner, WorkerReachability workers) {
    boolean areTwoThirdsUnheard = workers.unheard() * 3 > workers.expected() * 2;
    if (areTwoThirdsUnheard) {
      return true;
    }
    String zone = controllers.zoneOf(candidate);
    return !workers.unreachableZones().contains(zone) && !zone.equals(controllers.zoneOf(owner));
  }
}
