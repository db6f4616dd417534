package shorecrank.coordination;

import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.MonotonicTime;

/**
 * Whether other controllers reach the state service, according to their heartbeats and to the
 * leader's answers.
 */
final class PeerStoreReachability {
  /**
   * How long, after a report that some other controller reaches the state service, a heartbeat of a
   * single controller that does not reach it is ignored.
   */
  private static final int REACHABLE_VALID_MS = 2000;

  private final StepContext context;
  private boolean isReachable;
  private MonotonicTime reportedAt = MonotonicTime.NEVER;

  PeerStoreReachability(StepContext context) {
    this.context = context;
  }

  /** Records whether one other controller reaches the state service, as its heartbeat says. */
  void recordPeer(boolean isStoreReachable) {
    if (isStoreReachable) {
      recordAnyPeer(true);
    } else if (context.now().since(reportedAt) > REACHABLE_VALID_MS) {
      isReachable = false;
    }
  }

  /**
   * Records whether any other controller reaches the state service, as the leader's answer says.
   */
  void recordAnyPeer(boolean isStoreReachable) {
    isReachable = isStoreReachable;
    reportedAt = context.now();
  }

  /** Records that the leader refused a heartbeat because it does not reach the state service. */
  void recordLeaderWithoutStore() {
    isReachable = false;
  }

  /** Reports whether another controller reached the state service according to the last report. */
  boolean isReachable() {
    return isReachable;
  }

  /**
   * Returns the milliseconds since the leader's last answer, or since the last heartbeat of a
   * controller that reaches the state service if that is later; a very large number if there was
   * neither.
   */
  long msSinceReport() {
    return context.now().since(reportedAt);
  }
}
