package shorecrank.coordination.step;

/** Runs code on a thread with the stack that the deployed controller's threads have. */
public final class DeployedStack {
  private static final int STACK_BYTES = 256 * 1024;

  private DeployedStack() {}

  /**
   * Runs code to its end.
   *
   * @throws AssertionError if the code throws anything, with that as its cause
   */
  public static void run(Runnable code) {
    Throwable[] failure = new Throwable[1];
    Thread thread =
        new Thread(null, code, "deployed-stack", STACK_BYTES) {
          @Override
          public void run() {
            try {
              code.run();
            } catch (Throwable thrown) {
              failure[0] = thrown;
            }
          }
        };
    thread.start();
    try {
      thread.join();
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
    if (failure[0] != null) {
      throw new AssertionError("on a stack of " + STACK_BYTES + " bytes", failure[0]);
    }
  }
}
