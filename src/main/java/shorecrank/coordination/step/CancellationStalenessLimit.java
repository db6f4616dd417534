package shorecrank.coordination.step;

import shorecrank.config.NodeConfig;

/**
 * How old a shard owner's knowledge of confirmed cancellations may be while it renews workers'
 * leases: what it missed ends with the lease, and no later than {@code cancel_s} after the
 * confirmation.
 */
final class CancellationStalenessLimit {
  /** Steady clocks of two machines drift apart by up to 0.05%; four times that is allowed for. */
  private static final double DRIFT = 0.002;

  /** For timers that fire late, here and at the worker. */
  private static final int MARGIN_MS = 500;

  private static final int MS_PER_S = 1000;
  private static final int MIN_HEARTBEATS = 2;
  private static final int MIN_MARGIN_MS = 1000;

  private final long safeMs;
  private final long minMs;

  /** Computes the age from what the platform sets for workers. */
  CancellationStalenessLimit(NodeConfig config) {
    double spareS = config.workers().cancelS() - config.workers().leaseS();
    this.safeMs = (long) (spareS * MS_PER_S * (1 - DRIFT) - MARGIN_MS);
    this.minMs = (long) (MIN_HEARTBEATS * MS_PER_S * config.workers().reportS() + MIN_MARGIN_MS);
  }

  /**
   * The age that is allowed, in milliseconds. Where the platform leaves less than a least age,
   * nobody could renew a lease at all; then it is the least, and {@link #isSafe} is false.
   */
  long maxStalenessMs() {
    return Math.max(minMs, safeMs);
  }

  /** Whether the platform leaves enough time between the lease and the end of cancelled tasks. */
  boolean isSafe() {
    return safeMs >= minMs;
  }
}
