package shorecrank.coordination.step;

import shorecrank.config.NodeConfig;

/**
 * The limit on how stale a shard owner's knowledge of confirmed cancellations may be while it
 * renews workers' leases. A task whose cancellation the owner has missed runs until the worker's
 * lease expires; the limit makes that happen within {@code cancel_s} of the confirmation.
 */
final class CancellationStalenessLimit {
  /**
   * The allowed drift between the clocks of two machines, as a fraction. Monotonic clocks drift
   * apart by up to 0.05%; four times as much is allowed for.
   */
  private static final double DRIFT = 0.002;

  /** Allowance for timers that fire late, at the controller and at the worker. */
  private static final int MARGIN_MS = 500;

  private static final int MS_PER_S = 1000;

  /** Lower bound of the limit, in intervals of workers' heartbeats. */
  private static final int MIN_HEARTBEATS = 2;

  /** Added to {@link #MIN_HEARTBEATS} intervals for the lower bound of the limit. */
  private static final int MIN_MARGIN_MS = 1000;

  private final long safeMs;
  private final long minMs;

  /** Computes the limit from the platform's timings for workers. */
  CancellationStalenessLimit(NodeConfig config) {
    double spareS = config.workers().cancellationDeadlineS() - config.workers().leaseS();
    this.safeMs = (long) (spareS * MS_PER_S * (1 - DRIFT) - MARGIN_MS);
    this.minMs =
        (long) (MIN_HEARTBEATS * MS_PER_S * config.workers().heartbeatIntervalS() + MIN_MARGIN_MS);
  }

  /**
   * Returns the maximum staleness, in milliseconds. It is at least two intervals of workers'
   * heartbeats plus {@link #MIN_MARGIN_MS}, since with a lower limit no owner could renew any
   * lease. If the platform's timings require a lower limit, {@link #isSafe} is false.
   */
  long maxStalenessMs() {
    return Math.max(minMs, safeMs);
  }

  /**
   * Reports whether {@code cancel_s} exceeds the duration of workers' leases by enough that, with
   * this limit, cancelled tasks end in time.
   */
  boolean isSafe() {
    return safeMs >= minMs;
  }
}
