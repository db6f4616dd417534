package shorecrank.coordination.step;

/**
 * Repeats an action in a loop instead of by recursion. The action may ask for its own repetition at
 * any time: in a callback that runs later, or in one that runs before the call that takes it has
 * returned. In both cases the depth of the stack does not grow with the number of repetitions.
 */
public final class Trampoline {
  private final Runnable action;
  private boolean isRunning;
  private boolean isRequested;

  /** Creates a trampoline that has not run its action yet. */
  public Trampoline(Runnable action) {
    this.action = action;
  }

  /** Runs the action now, or once more after its current run if it is running. */
  public void run() {
    isRequested = true;
    if (isRunning) {
      return;
    }
    isRunning = true;
    while (isRequested) {
      isRequested = false;
      action.run();
    }
    isRunning = false;
  }
}
