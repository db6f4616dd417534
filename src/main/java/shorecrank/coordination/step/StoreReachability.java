package shorecrank.coordination.step;

import static shorecrank.protocol.HttpStatus.NO_ANSWER;
import static shorecrank.protocol.HttpStatus.SERVER_ERROR;

import shorecrank.protocol.Ids.MonotonicTime;

/** Tracks whether the state service answers this controller, and since when. */
final class StoreReachability {
  private final int answerValidMs;
  private MonotonicTime lastAnsweredAt = MonotonicTime.NEVER;
  private MonotonicTime reachableSince = MonotonicTime.NEVER;

  /**
   * Creates the state before the first answer, when the service counts as unreachable.
   *
   * @param answerValidMs how many milliseconds after an answer the service counts as reachable
   */
  StoreReachability(int answerValidMs) {
    this.answerValidMs = answerValidMs;
  }

  /**
   * Records the status of an answer.
   *
   * @return true if the status shows that the service is reachable, which includes its refusals of
   *     requests; false for a server error or no answer
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

  /**
   * Reports whether the service has answered within {@code answerValidMs} before the given time.
   */
  boolean isReachable(MonotonicTime now) {
    return now.since(lastAnsweredAt) < answerValidMs;
  }

  /**
   * Returns when the service last answered, or {@link MonotonicTime#NEVER} if it has not answered
   * yet.
   */
  MonotonicTime lastAnsweredAt() {
    return lastAnsweredAt;
  }

  /**
   * Returns when the service last became reachable: at its first answer, or at the first one after
   * it was unreachable; {@link MonotonicTime#NEVER} if it has not answered yet.
   */
  MonotonicTime reachableSince() {
    return reachableSince;
  }
}
