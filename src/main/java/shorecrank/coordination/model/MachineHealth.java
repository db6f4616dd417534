package shorecrank.coordination.model;

import shorecrank.protocol.Ids.MonotonicTime;

/** Whether a machine runs what is started on it: quarantine after failures, pauses when full. */
public final class MachineHealth {
  /** Failures in a row after which a machine is quarantined. */
  private static final int FAILURES_TO_QUARANTINE = 2;

  private static final long FIRST_QUARANTINE_MS = 30_000;
  private static final int MOST_DOUBLINGS = 4;

  private MonotonicTime quarantinedUntil = MonotonicTime.NEVER;
  private MonotonicTime pausedUntil = MonotonicTime.NEVER;
  private int failuresInRow;
  private int quarantines;

  /** Whether new tasks may be placed, as far as its health goes. */
  public boolean acceptsTasks(MonotonicTime now) {
    return quarantinedUntil.isBefore(now) && pausedUntil.isBefore(now);
  }

  /** How often it has been quarantined. */
  public int quarantines() {
    return quarantines;
  }

  /** A task has succeeded. */
  public void taskSucceeded() {
    failuresInRow = 0;
  }

  /** Nothing is placed until then: the machine says that it has no room. */
  public void pauseUntil(MonotonicTime until) {
    pausedUntil = until;
  }

  /**
   * A task has failed for a reason that may be the machine's. Each quarantine is twice as long as
   * the one before.
   *
   * @return whether the machine is now quarantined and was not before
   */
  public boolean taskFailed(MonotonicTime now) {
    failuresInRow++;
    if (failuresInRow < FAILURES_TO_QUARANTINE || !quarantinedUntil.isBefore(now)) {
      return false;
    }
    quarantines++;
    int doublings = Math.min(quarantines - 1, MOST_DOUBLINGS);
    quarantinedUntil = now.plus(FIRST_QUARANTINE_MS << doublings);
    return true;
  }
}
