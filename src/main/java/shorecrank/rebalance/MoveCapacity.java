package shorecrank.rebalance;

import shorecrank.leadership.LeaderEnvironment;
import shorecrank.protocol.ShareStateMessages.SharesState;

/** How much the shares' key may hold, so that it stays below the size of a value. */
final class MoveCapacity {
  /** How many moves that ended the key keeps. */
  static final int KEPT_ENDED = 16;

  /** How many outcomes of orders the key keeps. */
  static final int KEPT_ORDERS = 16;

  private static final int ENDED_BYTES = 110;
  private static final int ORDER_BYTES = 200;
  private static final int OTHER_BYTES = 200;

  /** What the value holds beside moves that are under way. */
  private static final int KEPT_BYTES =
      KEPT_ENDED * ENDED_BYTES + KEPT_ORDERS * ORDER_BYTES + OTHER_BYTES;

  private static final int MOVE_BYTES = 90;
  private static final double VALUE_FILL = 0.9;

  private final LeaderEnvironment environment;

  MoveCapacity(LeaderEnvironment environment) {
    this.environment = environment;
  }

  /** How many moves may be under way at the same time. */
  int mostActive() {
    double left = environment.maxValueBytes() * VALUE_FILL - KEPT_BYTES;
    return (int) Math.max(1, left / MOVE_BYTES);
  }

  /** How many further moves may begin. */
  int room(SharesState state) {
    return Math.max(0, mostActive() - state.active().size());
  }
}
