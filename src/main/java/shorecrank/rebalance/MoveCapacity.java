package shorecrank.rebalance;

import shorecrank.leadership.LeaderEnvironment;
import shorecrank.protocol.ShareStateMessages.SharesState;

/** How much the shares' key may hold, so that it stays below the size of a value. */
final class MoveCapacity {
  /** How many moves that ended the key keeps. */
  static final int MAX_ENDED_MOVES = 16;

  /** How many outcomes of orders the key keeps. */
  static final int MAX_ORDER_OUTCOMES = 16;

  private static final int ENDED_MOVE_BYTES = 110;
  private static final int ORDER_OUTCOME_BYTES = 200;
  private static final int OTHER_BYTES = 200;

  /** What the value holds beside moves that are under way. */
  private static final int RESERVED_BYTES =
      MAX_ENDED_MOVES * ENDED_MOVE_BYTES + MAX_ORDER_OUTCOMES * ORDER_OUTCOME_BYTES + OTHER_BYTES;

  private static final int ACTIVE_MOVE_BYTES = 90;
  private static final double USABLE_FRACTION = 0.9;

  private final LeaderEnvironment environment;

  MoveCapacity(LeaderEnvironment environment) {
    this.environment = environment;
  }

  /** How many moves may be under way at the same time. */
  int maxActive() {
    double left = environment.maxValueBytes() * USABLE_FRACTION - RESERVED_BYTES;
    return (int) Math.max(1, left / ACTIVE_MOVE_BYTES);
  }

  /** How many further moves may begin. */
  int remaining(SharesState state) {
    return Math.max(0, maxActive() - state.active().size());
  }
}
