package shorecrank.coordination;

import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.MonotonicTime;

/** Whether other controllers reach the state service, as far as their heartbeats have told. */
final class PeerStoreReachability {
  /** A heartbeat that denies it does not outweigh one that affirmed it within this time. */
  private static final int AFFIRMED_MS = 2000;

  private final StepContext context;
  private boolean isReached;
  private MonotonicTime observedAt = MonotonicTime.NEVER;

  PeerStoreReachability(StepContext context) {
    this.context = context;
  }

  /** Another controller's heartbeat says whether that controller reaches the state service. */
  void observePeer(boolean reachesStore) {
    if (reachesStore) {
      observeAny(true);
    } else if (context.now().since(observedAt) > AFFIRMED_MS) {
      isReached = false;
    }
  }

  /** The leader's answer says whether any other controller reaches the state service. */
  void observeAny(boolean reachStore) {
    isReached = reachStore;
    observedAt = context.now();
  }

  /** The leader refused a heartbeat because it does not reach the state service itself. */
  void observeLeaderUnreached() {
    isReached = false;
  }

  /** Whether another controller reached the state service when that was last heard of. */
  boolean isReached() {
    return isReached;
  }

  /** Milliseconds since it was last heard of; very many if it never was. */
  long ageMs() {
    return context.now().since(observedAt);
  }
}
