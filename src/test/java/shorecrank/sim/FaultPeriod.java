package shorecrank.sim;

/** Until when the faults known so far last. */
final class FaultPeriod {
  /** An election, an allocation of an epoch and a recovery take no longer. */
  private static final long FAILOVER_MS = 15_000;

  private final Simulation sim;
  private long overAtMs;

  FaultPeriod(Simulation sim) {
    this.sim = sim;
  }

  /** A fault begins that lasts so long from now. */
  void addFault(long durationMs) {
    overAtMs = Math.max(overAtMs, sim.now() + durationMs);
  }

  /** Whether all were over at a time. */
  boolean areOverAt(long ms) {
    return ms >= overAtMs;
  }

  /** Whether one is not over, or has just been: a failover may still be under way. */
  boolean mayStillHaveEffects() {
    return sim.now() < overAtMs + FAILOVER_MS;
  }
}
