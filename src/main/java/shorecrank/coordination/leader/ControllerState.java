package shorecrank.coordination.leader;

import java.util.Map;
import shorecrank.protocol.HeartbeatMessages.Heartbeat;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.WriterId;

/** The state of one controller, from its last heartbeat to the leader. */
final class ControllerState {
  private WriterId writer;
  private boolean storeReachable;
  private MonotonicTime storeUnreachableSince = MonotonicTime.NEVER;
  private MonotonicTime lastHeartbeatAt = MonotonicTime.NEVER;
  private Map<ShardId, Integer> misroutedWorkers = Map.of();

  /** Updates the state from a heartbeat. */
  void recordHeartbeat(Heartbeat heartbeat, MonotonicTime now) {
    lastHeartbeatAt = now;
    writer = heartbeat.writer();
    if (heartbeat.storeReachable()) {
      storeUnreachableSince = MonotonicTime.NEVER;
    } else if (storeReachable || storeUnreachableSince == MonotonicTime.NEVER) {
      storeUnreachableSince = now;
    }
    storeReachable = heartbeat.storeReachable();
    misroutedWorkers = heartbeat.misroutedWorkers();
  }

  /** Returns the process that sent the last heartbeat. */
  WriterId writer() {
    return writer;
  }

  /** Reports whether the controller reaches the state service, by its last heartbeat. */
  boolean isStoreReachable() {
    return storeReachable;
  }

  /**
   * Returns when the controller first reported that it does not reach the state service; {@link
   * MonotonicTime#NEVER} if it reaches it.
   */
  MonotonicTime storeUnreachableSince() {
    return storeUnreachableSince;
  }

  /** Returns the time since the controller's last heartbeat, in milliseconds. */
  long msSinceHeartbeat(MonotonicTime now) {
    return now.since(lastHeartbeatAt);
  }

  /**
   * Returns how many workers of a shard recently sent their heartbeats to this controller instead
   * of the shard's owner.
   */
  int misroutedWorkers(ShardId shard) {
    return misroutedWorkers.getOrDefault(shard, 0);
  }
}
