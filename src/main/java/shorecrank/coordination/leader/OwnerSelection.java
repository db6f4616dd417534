package shorecrank.coordination.leader;

import java.util.Map;
import java.util.Optional;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;

/** Chooses the controller that becomes the owner of a shard. */
final class OwnerSelection {
  /** The time for which an owner that workers couldn't reach is avoided. */
  private static final int AVOID_MS = 60_000;

  /**
   * The time after the start of a term in which the other controllers' first heartbeats are
   * awaited.
   */
  private static final int FIRST_HEARTBEATS_MS = 1500;

  /**
   * The load of leading; less than {@link #SHARD_LOAD}, so that the leader is preferred to a
   * controller that owns a shard.
   */
  private static final int LEADER_LOAD = 64;

  private static final int SHARD_LOAD = 128;

  /**
   * The load of another controller's shard in the same zone; fleets have at most 64 shards, so that
   * the sum stays below {@link #SHARD_LOAD}.
   */
  private static final int ZONE_LOAD = 1;

  private static final int UNREACHABLE_ZONE_LOAD = 100_000;
  private static final int UNREACHABLE_OWNER_LOAD = 100_000_000;

  private final StepContext context;
  private final LoadedTerm loadedTerm;
  private final ShardLeaseTable shards;
  private final ControllerTable controllers;
  private final RolloutView rollout;
  private Revision awaitedTerm = Revision.ABSENT;
  private MonotonicTime awaitingSince = MonotonicTime.NEVER;

  OwnerSelection(
      StepContext context,
      LoadedTerm loadedTerm,
      ShardLeaseTable shards,
      ControllerTable controllers,
      RolloutView rollout) {
    this.context = context;
    this.loadedTerm = loadedTerm;
    this.shards = shards;
    this.controllers = controllers;
    this.rollout = rollout;
  }

  /**
   * Returns the controller with the lowest load that can own a shard; if several have the same
   * load, the first by name. Empty if no controller can own a shard.
   */
  Optional<ControllerName> choose(ShardState shard) {
    ControllerName best = null;
    int bestLoad = Integer.MAX_VALUE;
    for (Map.Entry<ControllerName, ControllerState> entry : controllers.entries()) {
      ControllerName candidate = entry.getKey();
      if (!controllers.canServe(entry.getValue()) || !rollout.mayOwn(candidate)) {
        continue;
      }
      int load = load(shard, candidate);
      if (load < bestLoad) {
        bestLoad = load;
        best = candidate;
      }
    }
    if (best == null || (controllers.size() == 1 && isAwaitingFirstHeartbeats())) {
      return Optional.empty();
    }
    return Optional.of(best);
  }

  /**
   * Reports whether the term is so young that other controllers may not have sent a heartbeat yet.
   */
  private boolean isAwaitingFirstHeartbeats() {
    MonotonicTime now = context.now();
    if (!loadedTerm.isCurrent(awaitedTerm)) {
      awaitedTerm = loadedTerm.current();
      awaitingSince = now;
    }
    return now.since(awaitingSince) <= FIRST_HEARTBEATS_MS;
  }

  /**
   * Returns the load of a controller as a candidate for a shard; the lowest load is best. It
   * spreads shards over controllers first, then over zones.
   */
  private int load(ShardState shard, ControllerName candidate) {
    int load = candidate.equals(context.config().label()) ? LEADER_LOAD : 0;
    String zone = controllers.zoneOf(candidate);
    ControllerName unreached = shard.unreachableOwner();
    if (unreached != null && shard.msSinceUnreachable(context.now()) < AVOID_MS) {
      // Avoids the owner that workers couldn't reach, its zone and the zones of those workers.
      load += candidate.equals(unreached) ? UNREACHABLE_OWNER_LOAD : 0;
      boolean isUnreachableZone =
          zone.equals(controllers.zoneOf(unreached)) || shard.unreachableZones().contains(zone);
      load += isUnreachableZone ? UNREACHABLE_ZONE_LOAD : 0;
    }
    for (ShardState other : shards.states()) {
      if (other == shard || other.isVacant()) {
        continue;
      }
      if (candidate.equals(other.owner())) {
        load += SHARD_LOAD;
      } else if (zone.equals(controllers.zoneOf(other.owner()))) {
        load += ZONE_LOAD;
      }
    }
    return load;
  }
}
