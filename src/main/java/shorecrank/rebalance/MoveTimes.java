package shorecrank.rebalance;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.MovePhase;

/** How long moves take, and for how long their machines stay where they are afterwards. */
final class MoveTimes {
  private static final long MAX_RECORDED_MS = 3_600_000;
  private static final int HISTOGRAM_DIGITS = 2;
  private static final double MS_PER_S = 1000;

  private final LeaderEnvironment environment;
  private final long cooldownMs;
  private final Map<MachineName, MonotonicTime> cooldownUntil = new HashMap<>();
  private final Histogram durationsMs = new Histogram(MAX_RECORDED_MS, HISTOGRAM_DIGITS);

  /**
   * @param cooldownS for how long a machine that has moved stays where it is, in seconds
   */
  MoveTimes(LeaderEnvironment environment, double cooldownS) {
    this.environment = environment;
    this.cooldownMs = (long) (cooldownS * MS_PER_S);
  }

  /** The seconds since a move began, by the time of day; never negative. */
  double ageS(Move move) {
    return Math.max(0, environment.wallMs() - move.beganMs()) / MS_PER_S;
  }

  /** Takes note of the end of a move, and counts it if it was carried out. */
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

  /** Whether a machine moved so lately that it may not move by need again. */
  boolean isCoolingDown(MachineName machine) {
    MonotonicTime until = cooldownUntil.get(machine);
    if (until != null && until.isBefore(environment.now())) {
      cooldownUntil.remove(machine);
      until = null;
    }
    return until != null;
  }

  /** The median duration of moves that were carried out, in milliseconds. */
  long medianMs() {
    return durationsMs.getValueAtPercentile(50);
  }

  /** The 99th percentile of the duration of moves that were carried out, in milliseconds. */
  long p99Ms() {
    return durationsMs.getValueAtPercentile(99);
  }
}
