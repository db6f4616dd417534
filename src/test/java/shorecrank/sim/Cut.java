package shorecrank.sim;

import java.util.ArrayList;
import java.util.List;

/** A temporary interruption of some network links. */
final class Cut {
  private final long untilMs;
  private final CutMode mode;
  private final List<Runnable> held = new ArrayList<>();

  Cut(long untilMs, CutMode mode) {
    this.untilMs = untilMs;
    this.mode = mode;
  }

  /** Reports whether the cut is still in effect at the given time. */
  boolean isActive(long nowMs) {
    return untilMs > nowMs;
  }

  /** Reports whether senders are refused at once. */
  boolean refuses() {
    return mode == CutMode.REFUSE;
  }

  /** Intercepts a message: keeps it until the cut ends, or drops it. */
  void intercept(Runnable delivery) {
    if (mode == CutMode.HOLD) {
      held.add(delivery);
    }
  }

  /** Delivers the kept messages, in the order in which they were sent. */
  void deliverHeld() {
    held.forEach(Runnable::run);
  }
}
