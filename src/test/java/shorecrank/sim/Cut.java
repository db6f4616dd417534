package shorecrank.sim;

import java.util.ArrayList;
import java.util.List;

/** An interruption of some links, which ends by itself. */
final class Cut {
  private final long untilMs;
  private final CutMode mode;
  private final List<Runnable> held = new ArrayList<>();

  Cut(long untilMs, CutMode mode) {
    this.untilMs = untilMs;
    this.mode = mode;
  }

  /** Whether it is not over at a time. */
  boolean isActive(long nowMs) {
    return untilMs > nowMs;
  }

  /** Whether senders are refused. */
  boolean refuses() {
    return mode == CutMode.REFUSE;
  }

  /** Takes a message: it is kept until the cut is over, or lost. */
  void intercept(Runnable delivery) {
    if (mode == CutMode.HOLD) {
      held.add(delivery);
    }
  }

  /** Delivers what was kept, in order. */
  void deliverHeld() {
    held.forEach(Runnable::run);
  }
}
