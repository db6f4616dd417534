package shorecrank.coordination.leader;

import java.util.Map;
import shorecrank.protocol.HeartbeatMessages.Heartbeat;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.WriterId;

/** One controller as its last heartbeat to the leader describes it. */
final class ControllerState {
  private WriterId writer;
  private boolean storeReachable;
  private MonotonicTime storeUnreachableSince = MonotonicTime.NEVER;
  private MonotonicTime lastHeartbeatAt = MonotonicTime.NEVER;
  private Map<ShardId, Integer> misroutedWorkers = Map.of();

  /** Takes in a heartbeat. */
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

  /** The process that sent the last heartbeat. */
  WriterId writer() {
    return writer;
  }

  /** Whether it reaches the state service. */
  boolean isStoreReachable() {
    return storeReachable;
  }

  /** Since when it says that it does not reach the state service; NEVER if it reaches it. */
  MonotonicTime storeUnreachableSince() {
    return storeUnreachableSince;
  }

  /** How long it has not been heard. */
  long msSinceHeartbeat(MonotonicTime now) {
    return now.since(lastHeartbeatAt);
  }

  /** How many workers of a shard lately came to it instead of to the shard's owner. */
  int misroutedWorkers(ShardId shard) {
    return misroutedWorkers.getOrDefault(shard, 0);
  }
}
