package shorecrank.coordination.model;

import shorecrank.protocol.Ids.MonotonicTime;

/**
 * Whether a machine is healthy enough for new tasks. It is quarantined after several failures in a
 * row, and paused for a while when it has reported that it has no room.
 */
public final class MachineHealth {
  /** Failures in a row after which a machine is quarantined. */
  private static final int FAILURES_TO_QUARANTINE = 2;

  private static final long FIRST_QUARANTINE_MS = 30_000;

  /** Limits a quarantine to 16 times the first one. */
  private static final int MAX_DOUBLINGS = 4;

  private MonotonicTime quarantinedUntil = MonotonicTime.NEVER;
  private MonotonicTime pausedUntil = MonotonicTime.NEVER;
  private int failuresInRow;
  private int quarantines;

  /** Reports whether the machine is neither quarantined nor paused. */
  public boolean acceptsTasks(MonotonicTime now) {
    return quarantinedUntil.isBefore(now) && pausedUntil.isBefore(now);
  }

  /** Returns how often the machine has been quarantined. */
  public int quarantines() {
    return quarantines;
  }

  /** Records that a task on the machine has succeeded. */
  public void recordSuccess() {
    failuresInRow = 0;
  }

  /** Keeps new tasks off the machine until a time, because it has reported that it has no room. */
  public void pauseUntil(MonotonicTime until) {
    pausedUntil = until;
  }

  /**
   * Records that a task has failed, possibly through the machine's fault. Each quarantine lasts
   * twice as long as the one before, up to a limit.
   *
   * @return whether this failure puts the machine into quarantine
   */
  public boolean recordFailure(MonotonicTime now) {
    failuresInRow++;
    if (failuresInRow < FAILURES_TO_QUARANTINE || !quarantinedUntil.isBefore(now)) {
      return false;
    }
    quarantines++;
    int doublings = Math.min(quarantines - 1, MAX_DOUBLINGS);
    quarantinedUntil = now.plus(FIRST_QUARANTINE_MS << doublings);
    return true;
  }
}
