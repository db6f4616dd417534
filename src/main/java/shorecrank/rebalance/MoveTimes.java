package shorecrank.rebalance;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.MovePhase;

/**
 * Records how long moves take, and tracks the cooldown of moved machines, during which they are not
 * moved automatically again.
 */
final class MoveTimes {
  private static final long MAX_RECORDED_MS = 3_600_000;
  private static final int HISTOGRAM_DIGITS = 2;
  private static final double MS_PER_S = 1000;

  private final LeaderEnvironment environment;
  private final long cooldownMs;
  private final Map<MachineName, MonotonicTime> cooldownUntil = new HashMap<>();
  private final Histogram durationsMs = new Histogram(MAX_RECORDED_MS, HISTOGRAM_DIGITS);

  /**
   * Creates an instance for one leader, without any durations or cooldowns.
   *
   * @param cooldownS the seconds after a move during which its machine is not moved automatically
   */
  MoveTimes(LeaderEnvironment environment, double cooldownS) {
    this.environment = environment;
    this.cooldownMs = (long) (cooldownS * MS_PER_S);
  }

  /** Returns the seconds since a move began, by the wall clock; never negative. */
  double ageS(Move move) {
    return Math.max(0, environment.wallMs() - move.beganMs()) / MS_PER_S;
  }

  /** Starts the cooldown of an ended move's machine; records the duration if the move is done. */
  void recordEnd(Move move) {
    cooldownUntil.put(move.machine(), environment.now().plus(cooldownMs));
    if (move.phase() == MovePhase.DONE) {
      long durationMs = (long) (ageS(move) * MS_PER_S);
      durationsMs.recordValue(Math.min(MAX_RECORDED_MS, durationMs));
      environment.count("shares.moves.done", 1);
      environment.count("shares.moves.done.ms", durationMs);
      environment.info("move.done id=%s machine=%s ms=%d", move.id(), move.machine(), durationMs);
    }
  }

  /** Reports whether a machine's last move ended too recently for an automatic move. */
  boolean isCoolingDown(MachineName machine) {
    MonotonicTime until = cooldownUntil.get(machine);
    if (until != null && until.isBefore(environment.now())) {
      cooldownUntil.remove(machine);
      until = null;
    }
    return until != null;
  }

  /** Returns the median duration of completed moves, in milliseconds. */
  long medianMs() {
    return durationsMs.getValueAtPercentile(50);
  }

  /** Returns the 99th percentile of the durations of completed moves, in milliseconds. */
  long p99Ms() {
    return durationsMs.getValueAtPercentile(99);
  }
}
