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

/** The fleet's shards with their owners and leases, by number. */
final class ShardLeaseTable {
  /**
   * A lease of so many milliseconds may run one longer, since the clocks of processes drift apart.
   */
  private static final int CLOCK_DRIFT_DIVISOR = 500;

  private static final int LEASE_MARGIN_MS = 20;

  /** So many heartbeats an owner may miss at the end of an outage before it counts as lost. */
  private static final long ALLOWED_MISSED_HEARTBEATS = 3;

  private final StepContext context;
  private final Map<ShardId, ShardState> shards = new TreeMap<>();

  ShardLeaseTable(StepContext context) {
    this.context = context;
  }

  /** Starts anew with all shards vacant. */
  void reset() {
    shards.clear();
    for (int i = 0; i < context.settings().shards(); i++) {
      shards.put(new ShardId(i), new ShardState());
    }
  }

  /** The numbers of all shards, in order. */
  Set<ShardId> ids() {
    return shards.keySet();
  }

  /** All shards by number, in order. */
  Set<Map.Entry<ShardId, ShardState>> entries() {
    return shards.entrySet();
  }

  /** All shards, in the order of their numbers. */
  Collection<ShardState> states() {
    return shards.values();
  }

  /** Null if there is no such shard. */
  ShardState get(ShardId shard) {
    return shards.get(shard);
  }

  /** The highest epoch that was allocated for a shard; {@link Epoch#NONE} if none was. */
  Epoch epoch(ShardId shard) {
    ShardState state = shards.get(shard);
    return state == null ? Epoch.NONE : state.epoch();
  }

  /** The owner of a shard; null if it has none that may be granted its lease. */
  ControllerName owner(ShardId shard) {
    ShardState state = shards.get(shard);
    return state != null && state.hasActiveOwner() ? state.owner() : null;
  }

  /** Whether a shard's owner says that tasks wait. */
  boolean hasQueuedTasks(ShardId shard) {
    ShardState state = shards.get(shard);
    return state != null && state.hasQueuedTasks();
  }

  /** Whether the fleet has one shard only, so that a machine can belong to no other. */
  boolean isSingleShard() {
    return shards.size() == 1;
  }

  /** The owners that may be told to others. */
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

  /** Until when a lease that is granted now may run, by the clock of this process. */
  MonotonicTime latestLeaseEnd() {
    int leaseMs = context.settings().leaseMs();
    return context.now().plus(leaseMs + leaseMs / CLOCK_DRIFT_DIVISOR + LEASE_MARGIN_MS);
  }

  /**
   * The same term goes on after a time in which no lease could be granted, as an outage of the
   * state service leaves it. Owners that live are heard within a few heartbeats; only then does an
   * expired lease say anything about its owner.
   */
  void extendLeasesAfterInterruption() {
    MonotonicTime heardBy =
        context.now().plus(context.settings().renewMs() * ALLOWED_MISSED_HEARTBEATS);
    for (ShardState shard : shards.values()) {
      shard.extendLease(heardBy);
    }
  }
}
