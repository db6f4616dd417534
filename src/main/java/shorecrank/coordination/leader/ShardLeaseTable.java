package shorecrank.coordination.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.OwnerInfo;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;

/** The fleet's shards by number, with their owners and leases. */
final class ShardLeaseTable {
  /**
   * A lease's duration is divided by this number to get the time by which it may last longer on
   * another process's clock.
   */
  private static final int CLOCK_DRIFT_DIVISOR = 500;

  private static final int LEASE_MARGIN_MS = 20;

  /** The number of heartbeats that an owner may miss after an outage before it counts as failed. */
  private static final long ALLOWED_MISSED_HEARTBEATS = 3;

  private final StepContext context;
  private final Map<ShardId, ShardState> shards = new TreeMap<>();

  ShardLeaseTable(StepContext context) {
    this.context = context;
  }

  /** Makes all shards vacant. */
  void reset() {
    shards.clear();
    for (int i = 0; i < context.settings().shards(); i++) {
      shards.put(new ShardId(i), new ShardState());
    }
  }

  /** Returns the numbers of all shards, in ascending order. */
  Set<ShardId> ids() {
    return shards.keySet();
  }

  /** Returns all shards by number, in ascending order. */
  Set<Map.Entry<ShardId, ShardState>> entries() {
    return shards.entrySet();
  }

  /** Returns the states of all shards, in ascending order of their numbers. */
  Collection<ShardState> states() {
    return shards.values();
  }

  /** Returns the state of a shard; null if there is no such shard. */
  ShardState get(ShardId shard) {
    return shards.get(shard);
  }

  /** Returns the highest epoch that was allocated for a shard; {@link Epoch#NONE} if none was. */
  Epoch epoch(ShardId shard) {
    ShardState state = shards.get(shard);
    return state == null ? Epoch.NONE : state.epoch();
  }

  /** Returns the owner of a shard; null if the shard has no owner whose lease may be renewed. */
  ControllerName owner(ShardId shard) {
    ShardState state = shards.get(shard);
    return state != null && state.hasActiveOwner() ? state.owner() : null;
  }

  /** Reports whether tasks are queued in a shard, by its owner's last report. */
  boolean hasQueuedTasks(ShardId shard) {
    ShardState state = shards.get(shard);
    return state != null && state.hasQueuedTasks();
  }

  /** Reports whether the fleet has only one shard, so that a machine can belong to no other. */
  boolean isSingleShard() {
    return shards.size() == 1;
  }

  /** Returns the shard owners that are announced to controllers. */
  List<OwnerInfo> owners() {
    List<OwnerInfo> owners = new ArrayList<>();
    shards.forEach(
        (id, shard) -> {
          if (shard.hasActiveOwner()) {
            owners.add(new OwnerInfo(id, shard.owner(), shard.epoch()));
          }
        });
    return owners;
  }

  /**
   * Returns the latest time, by this process's clock, at which a lease that is granted now can end.
   */
  MonotonicTime latestLeaseEnd() {
    int leaseMs = context.settings().leaseMs();
    return context.now().plus(leaseMs + leaseMs / CLOCK_DRIFT_DIVISOR + LEASE_MARGIN_MS);
  }

  /**
   * Extends all leases after a time in which this process could not grant any, such as an outage of
   * the state service. Live owners send heartbeats within a few intervals; only after that does an
   * expired lease show that its owner has failed.
   */
  void extendLeasesAfterInterruption() {
    MonotonicTime heartbeatsDueBy =
        context.now().plus(context.settings().heartbeatIntervalMs() * ALLOWED_MISSED_HEARTBEATS);
    for (ShardState shard : shards.values()) {
      shard.extendLease(heartbeatsDueBy);
    }
  }
}
