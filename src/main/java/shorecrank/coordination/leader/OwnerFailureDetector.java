package shorecrank.coordination.leader;

import java.util.Map;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.PeerMessages.WorkerReachability;

/** Decides whether an owner that still sends heartbeats has to be replaced. */
final class OwnerFailureDetector {
  /** An owner without the state service, while others have it, is replaced after so long. */
  private static final int STATE_LOST_MS = 2000;

  /** A shard is not moved again so soon because workers don't reach its owner. */
  private static final int MOVE_PAUSE_MS = 20_000;

  private static final int MIN_UNHEARD = 2;

  /** An owner is replaced when it does not hear this part of its workers, as 1 / N. */
  private static final int MIN_UNHEARD_DIVISOR = 5;

  private final StepContext context;
  private final ControllerTable controllers;

  OwnerFailureDetector(StepContext context, ControllerTable controllers) {
    this.context = context;
    this.controllers = controllers;
  }

  /** Whether an owner alone is without the state service. */
  boolean lacksStateService(ControllerName name, ControllerState owner) {
    return hasLostStateService(owner) && controllers.isStateOkElsewhere(name);
  }

  /** After an outage a controller gets as long to notice its end as it had for its beginning. */
  private boolean hasLostStateService(ControllerState owner) {
    MonotonicTime since = owner.stateLostSince();
    if (since == MonotonicTime.NEVER) {
      return false;
    }
    if (since.before(context.stateOkSince())) {
      since = context.stateOkSince();
    }
    return context.now().since(since) > STATE_LOST_MS;
  }

  /**
   * Whether many workers don't reach a shard's owner but do reach other controllers, one of which
   * all of them are likely to reach. Their leases would run out, although nothing is wrong with
   * them.
   */
  boolean isUnreached(ShardId id, ShardState shard, WorkerReachability workers) {
    if (workers.unheard() < MIN_UNHEARD
        || workers.unheard() * MIN_UNHEARD_DIVISOR < workers.expected()
        || shard.sinceMovedMs(context.now()) < MOVE_PAUSE_MS) {
      return false;
    }
    int heardElsewhere = 0;
    boolean betterOwner = false;
    for (Map.Entry<ControllerName, ControllerState> entry : controllers.entries()) {
      ControllerState controller = entry.getValue();
      if (entry.getKey().equals(shard.owner()) || !controllers.canServe(controller)) {
        continue;
      }
      heardElsewhere += controller.misroutedWorkers(id);
      betterOwner |= isLikelyReached(entry.getKey(), shard.owner(), workers);
    }
    return betterOwner && heardElsewhere * 2 >= workers.unheard();
  }

  /** Few unheard workers are worth a move only to where the other workers are not lost by it. */
  private boolean isLikelyReached(
      ControllerName candidate, ControllerName owner, WorkerReachability workers) {
    boolean mostUnheard = workers.unheard() * 3 > workers.expected() * 2;
    if (mostUnheard) {
      return true;
    }
    String zone = controllers.zoneOf(candidate);
    return !workers.unreachableZones().contains(zone) && !zone.equals(controllers.zoneOf(owner));
  }
}
