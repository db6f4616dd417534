package shorecrank.rebalance;

import shorecrank.leadership.LeaderEnvironment;
import shorecrank.protocol.ShareStateMessages.SharesState;

/**
 * Limits how many moves and order outcomes the shares' key holds, so that its value stays below the
 * largest value that the state service accepts.
 */
final class MoveCapacity {
  /** The number of ended moves that the shares' key keeps, the latest ones. */
  static final int MAX_ENDED_MOVES = 16;

  /** The number of outcomes of operators' orders that the shares' key keeps, the latest ones. */
  static final int MAX_ORDER_OUTCOMES = 16;

  private static final int ENDED_MOVE_BYTES = 110;
  private static final int ORDER_OUTCOME_BYTES = 200;
  private static final int OTHER_BYTES = 200;

  /** The bytes of the shares' key's value that are reserved for all but the moves under way. */
  private static final int RESERVED_BYTES =
      MAX_ENDED_MOVES * ENDED_MOVE_BYTES + MAX_ORDER_OUTCOMES * ORDER_OUTCOME_BYTES + OTHER_BYTES;

  private static final int ACTIVE_MOVE_BYTES = 90;
  private static final double USABLE_FRACTION = 0.9;

  private final LeaderEnvironment environment;

  MoveCapacity(LeaderEnvironment environment) {
    this.environment = environment;
  }

  /** Returns how many moves may be under way at the same time; at least 1. */
  int maxActive() {
    double left = environment.maxValueBytes() * USABLE_FRACTION - RESERVED_BYTES;
    return (int) Math.max(1, left / ACTIVE_MOVE_BYTES);
  }

  /** Returns how many more moves may begin. */
  int remaining(SharesState state) {
    return Math.max(0, maxActive() - state.active().size());
  }
}
