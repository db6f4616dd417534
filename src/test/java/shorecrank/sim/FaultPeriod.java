package shorecrank.sim;

/** The time until which the faults injected so far last. */
final class FaultPeriod {
  /**
   * Longest time from the end of a fault until an election, the allocation of an epoch and a shard
   * recovery are complete.
   */
  private static final long FAILOVER_MS = 15_000;

  private final Simulation sim;
  private long overAtMs;

  FaultPeriod(Simulation sim) {
    this.sim = sim;
  }

  /** Records a fault that lasts from now for the given time. */
  void addFault(long durationMs) {
    overAtMs = Math.max(overAtMs, sim.now() + durationMs);
  }

  /** Reports whether all recorded faults were over at the given time. */
  boolean areOverAt(long ms) {
    return ms >= overAtMs;
  }

  /** Reports whether a fault lasts, or ended so recently that a failover may still be under way. */
  boolean mayStillHaveEffects() {
    return sim.now() < overAtMs + FAILOVER_MS;
  }
}
