package shorecrank.coordination.scheduling;

import java.util.HashMap;
import java.util.Map;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.MonotonicTime;

/**
 * Detects when many machines of the shard, or most machines of one zone, are silent: their
 * heartbeats are missing.
 *
 * <p>If many machines are silent at once, this shard owner is probably disconnected, or the workers
 * have not found it yet. If most machines of a zone are silent, the zone is probably disconnected;
 * its machines return all at once, and no replacements could be rented there until then. In both
 * cases silent machines are kept for longer.
 */
final class CorrelatedSilenceDetector {
  /**
   * Silence is correlated if more machines are silent than the shard's machines divided by this.
   */
  private static final int FLEET_DIVISOR = 3;

  /** Silence is correlated if more machines are silent than the zone's machines divided by this. */
  private static final int ZONE_DIVISOR = 2;

  /** Up to this many silent machines are never taken as correlated. */
  private static final int MAX_UNCORRELATED = 2;

  private static final double MS_PER_S = 1000;

  /** Counts the machines of a shard or zone that should send heartbeats, and the silent ones. */
  private static final class SilenceCount {
    private int expected;
    private int silent;

    void add(boolean isSilent) {
      expected++;
      silent += isSilent ? 1 : 0;
    }

    boolean exceeds(int divisor) {
      return silent > Math.max(MAX_UNCORRELATED, expected / divisor);
    }
  }

  private final StepContext context;
  private final ShardView shard;
  private MonotonicTime fleetSilentAt = MonotonicTime.NEVER;
  private final Map<String, MonotonicTime> zoneSilentAt = new HashMap<>();

  CorrelatedSilenceDetector(StepContext context, ShardView shard) {
    this.context = context;
    this.shard = shard;
  }

  /** Counts the silent machines and records the time if their silence is correlated. */
  void observe() {
    SilenceCount fleet = new SilenceCount();
    Map<String, SilenceCount> zones = new HashMap<>();
    for (Machine machine : shard.machines().values()) {
      // A machine with tasks has been up before, even if this owner has received no heartbeat of
      // it.
      if (machine.info() != null
          && (machine.session().hasConfirmedHeartbeat() || !machine.isEmpty())) {
        boolean isSilent = !shard.liveness().isFresh(machine);
        fleet.add(isSilent);
        zones.computeIfAbsent(machine.info().zone(), zone -> new SilenceCount()).add(isSilent);
      }
    }
    if (fleet.exceeds(FLEET_DIVISOR)) {
      fleetSilentAt = context.now();
    }
    zones.forEach(
        (zone, count) -> {
          if (count.exceeds(ZONE_DIVISOR)) {
            zoneSilentAt.put(zone, context.now());
          }
        });
  }

  /**
   * Reports whether the machine's silence may be part of a correlated silence, now or at most one
   * worker lease ago: the last machines need that long to reconnect.
   */
  boolean mayAffect(Machine machine) {
    double leaseMs = context.config().workers().leaseS() * MS_PER_S;
    MonotonicTime zoneSilence =
        machine.info() == null
            ? MonotonicTime.NEVER
            : zoneSilentAt.getOrDefault(machine.info().zone(), MonotonicTime.NEVER);
    MonotonicTime now = context.now();
    return now.since(fleetSilentAt) <= leaseMs || now.since(zoneSilence) <= leaseMs;
  }
}
