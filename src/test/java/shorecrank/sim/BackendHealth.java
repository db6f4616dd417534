package shorecrank.sim;

import java.util.ArrayDeque;
import java.util.Deque;

/** What a load balancer knows of one controller from its probes and connections. */
final class BackendHealth {
  static final long PROBE_TIMEOUT_MS = 1000;

  private static final int RECENT_PROBES = 6;
  private static final int FAILURES_IN_A_ROW = 2;
  private static final int FAILURES_AMONG_RECENT = 3;
  private static final int SUCCESSES_IN_A_ROW = 2;
  private static final long FIRST_PAUSE_MS = 3000;
  private static final long MAX_PAUSE_MS = 60_000;
  private static final long REMOVAL_MEMORY_MS = 120_000;
  private static final long RAMP_UP_MS = 10_000;
  private static final double SMALLEST_SHARE = 0.05;
  private static final int REFUSALS_IN_A_ROW = 3;
  private static final long SKIP_MS = 3000;

  private final Simulation sim;
  private final Deque<Boolean> recent = new ArrayDeque<>();
  private boolean healthy;
  private boolean wasHealthy;
  private int failures;
  private int successes;
  private int refusals;
  private long skippedUntilMs;
  private long pauseMs;
  private long removedAtMs = -REMOVAL_MEMORY_MS;
  private long healthySinceMs;

  BackendHealth(Simulation sim) {
    this.sim = sim;
  }

  /** A probe that has not ended; only its first result counts. */
  final class Probe {
    private boolean ended;

    /** Records a refused connection or a timeout. */
    void fail() {
      finish(false);
    }

    /** Records the result. */
    void finish(boolean success) {
      if (!ended) {
        ended = true;
        record(success);
      }
    }
  }

  /** Begins a probe. */
  Probe beginProbe() {
    return new Probe();
  }

  /** Reports whether the controller gets new connections. */
  boolean isUsable() {
    return healthy && sim.now() >= skippedUntilMs;
  }

  /** Returns the controller's share of connections, which rises to 1 once it is healthy again. */
  double share() {
    double risen = (double) (sim.now() - healthySinceMs) / RAMP_UP_MS;
    return Math.min(1, Math.max(SMALLEST_SHARE, risen));
  }

  /** Records whether the controller accepted a connection. */
  void recordConnection(boolean accepted) {
    refusals = accepted ? 0 : refusals + 1;
    if (refusals >= REFUSALS_IN_A_ROW) {
      refusals = 0;
      skippedUntilMs = sim.now() + SKIP_MS;
    }
  }

  private void record(boolean success) {
    failures = success ? 0 : failures + 1;
    successes = success ? successes + 1 : 0;
    recent.addLast(success);
    if (recent.size() > RECENT_PROBES) {
      recent.removeFirst();
    }
    if (healthy && isFailing()) {
      remove();
    } else if (!healthy && mayReturn()) {
      healthy = true;
      wasHealthy = true;
      healthySinceMs = sim.now();
      recent.clear();
    }
  }

  private boolean isFailing() {
    long failed = recent.stream().filter(success -> !success).count();
    return failures >= FAILURES_IN_A_ROW || failed >= FAILURES_AMONG_RECENT;
  }

  private void remove() {
    boolean isRepeated = sim.now() - removedAtMs < REMOVAL_MEMORY_MS;
    pauseMs = isRepeated ? Math.min(MAX_PAUSE_MS, 2 * pauseMs) : FIRST_PAUSE_MS;
    removedAtMs = sim.now();
    healthy = false;
  }

  private boolean mayReturn() {
    if (!wasHealthy) {
      return successes >= 1;
    }
    return successes >= SUCCESSES_IN_A_ROW && sim.now() - removedAtMs >= pauseMs;
  }
}
