package shorecrank.coordination.leader;

import java.util.Map;
import shorecrank.protocol.HeartbeatMessages.Heartbeat;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.WriterId;

/** One controller as its last heartbeat to the leader describes it. */
final class ControllerState {
  private WriterId writer;
  private boolean stateOk;
  private MonotonicTime stateLostSince = MonotonicTime.NEVER;
  private MonotonicTime heardAt = MonotonicTime.NEVER;
  private Map<ShardId, Integer> misroutedWorkers = Map.of();

  /** Takes in a heartbeat. */
  void heard(Heartbeat heartbeat, MonotonicTime now) {
    heardAt = now;
    writer = heartbeat.writer();
    if (heartbeat.storeReachable()) {
      stateLostSince = MonotonicTime.NEVER;
    } else if (stateOk || stateLostSince == MonotonicTime.NEVER) {
      stateLostSince = now;
    }
    stateOk = heartbeat.storeReachable();
    misroutedWorkers = heartbeat.misroutedWorkers();
  }

  /** The process that sent the last heartbeat. */
  WriterId writer() {
    return writer;
  }

  /** Whether it reaches the state service. */
  boolean isStateOk() {
    return stateOk;
  }

  /** Since when it says that it does not reach the state service; NEVER if it reaches it. */
  MonotonicTime stateLostSince() {
    return stateLostSince;
  }

  /** How long it has not been heard. */
  long silentMs(MonotonicTime now) {
    return now.since(heardAt);
  }

  /** How many workers of a shard lately came to it instead of to the shard's owner. */
  int misroutedWorkers(ShardId shard) {
    return misroutedWorkers.getOrDefault(shard, 0);
  }
}
