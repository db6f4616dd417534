package shorecrank.coordination.leader;

import java.util.Map;
import java.util.Optional;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;

/** Chooses the controller that is to own a shard. */
final class OwnerSelection {
  /** An owner that workers did not reach is not chosen again for so long. */
  private static final int AVOID_MS = 60_000;

  /** Right after an election the other controllers get so long to be heard. */
  private static final int FIRST_HEARTBEATS_MS = 1500;

  /** What a controller's duties count: a shard more than leading. */
  private static final int LEADER_LOAD = 64;

  private static final int SHARD_LOAD = 128;

  /** A shard in the same zone, of which there are 64 at the most. */
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

  /** The fittest controller to own a shard; of equals the first by name; empty if there is none. */
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

  /** Whether the term is so young that others may not have sent their first heartbeat yet. */
  private boolean isAwaitingFirstHeartbeats() {
    MonotonicTime now = context.now();
    if (!loadedTerm.isCurrent(awaitedTerm)) {
      awaitedTerm = loadedTerm.current();
      awaitingSince = now;
    }
    return now.since(awaitingSince) <= FIRST_HEARTBEATS_MS;
  }

  /**
   * How unfit a controller is to own a shard beside what it does already: the lower the better.
   * Shards are spread over controllers first, then over zones.
   */
  private int load(ShardState shard, ControllerName candidate) {
    int load = candidate.equals(context.config().label()) ? LEADER_LOAD : 0;
    String zone = controllers.zoneOf(candidate);
    ControllerName unreached = shard.unreachableOwner();
    if (unreached != null && shard.msSinceUnreachable(context.now()) < AVOID_MS) {
      // Rather one that the workers reach: not the last, and not in its zone or in theirs.
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
