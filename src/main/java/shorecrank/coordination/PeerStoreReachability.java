package shorecrank.coordination;

import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.MonotonicTime;

/** Whether other controllers reach the state service, as far as their heartbeats have told. */
final class PeerStoreReachability {
  /** A heartbeat that denies it does not outweigh one that affirmed it within this time. */
  private static final int REACHABLE_VALID_MS = 2000;

  private final StepContext context;
  private boolean isReachable;
  private MonotonicTime reportedAt = MonotonicTime.NEVER;

  PeerStoreReachability(StepContext context) {
    this.context = context;
  }

  /** Another controller's heartbeat says whether that controller reaches the state service. */
  void recordPeer(boolean isStoreReachable) {
    if (isStoreReachable) {
      recordAnyPeer(true);
    } else if (context.now().since(reportedAt) > REACHABLE_VALID_MS) {
      isReachable = false;
    }
  }

  /** The leader's answer says whether any other controller reaches the state service. */
  void recordAnyPeer(boolean isStoreReachable) {
    isReachable = isStoreReachable;
    reportedAt = context.now();
  }

  /** The leader refused a heartbeat because it does not reach the state service itself. */
  void recordLeaderWithoutStore() {
    isReachable = false;
  }

  /** Whether another controller reached the state service when that was last heard of. */
  boolean isReachable() {
    return isReachable;
  }

  /** Milliseconds since it was last heard of; very many if it never was. */
  long msSinceReport() {
    return context.now().since(reportedAt);
  }
}
