package shorecrank.coordination.step;

import static shorecrank.protocol.HttpStatus.NO_ANSWER;
import static shorecrank.protocol.HttpStatus.SERVER_ERROR;

import shorecrank.protocol.Ids.MonotonicTime;

/** When the state service has answered this controller. */
final class StoreReachability {
  private final int answerValidMs;
  private MonotonicTime lastAnsweredAt = MonotonicTime.NEVER;
  private MonotonicTime reachableSince = MonotonicTime.NEVER;

  /**
   * Creates the state before the first answer.
   *
   * @param answerValidMs for how many milliseconds an answer shows that the service is reachable
   */
  StoreReachability(int answerValidMs) {
    this.answerValidMs = answerValidMs;
  }

  /**
   * Takes the status of an answer.
   *
   * @return whether it shows that the service works, also if it refuses a request
   */
  boolean observe(int status, MonotonicTime now) {
    if (status == NO_ANSWER || status >= SERVER_ERROR) {
      return false;
    }
    if (!isReachable(now)) {
      reachableSince = now;
    }
    lastAnsweredAt = now;
    return true;
  }

  /** Whether the service has answered lately. */
  boolean isReachable(MonotonicTime now) {
    return now.since(lastAnsweredAt) < answerValidMs;
  }

  /** When the service last answered; NEVER if it has not. */
  MonotonicTime lastAnsweredAt() {
    return lastAnsweredAt;
  }

  /** When the service began to answer again after it had not, or first. */
  MonotonicTime reachableSince() {
    return reachableSince;
  }
}
