package shorecrank.coordination.scheduling;

import java.util.HashMap;
import java.util.Map;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.MonotonicTime;

/**
 * Notices when many machines, or most of one zone, fall silent together.
 *
 * <p>Many silent at once: more likely this owner is cut off, or the workers have not found it yet.
 * Most of a zone silent: the zone is cut off, its machines come back all at once, and until then
 * none could be rented in their place. In both cases the machines are waited for.
 */
final class CorrelatedSilence {
  /** More than one machine in so many is many. */
  private static final int FLEET_FRACTION = 3;

  /** More than one machine in so many is most of a zone. */
  private static final int ZONE_FRACTION = 2;

  /** So few silent machines are never a correlated silence. */
  private static final int FEW_MACHINES = 2;

  private static final double MS_PER_S = 1000;

  /** Of the machines that should be heard, how many are not. */
  private static final class SilenceCount {
    private int expected;
    private int silent;

    void add(boolean isSilent) {
      expected++;
      silent += isSilent ? 1 : 0;
    }

    boolean exceeds(int fraction) {
      return silent > Math.max(FEW_MACHINES, expected / fraction);
    }
  }

  private final StepContext context;
  private final ShardView shard;
  private MonotonicTime fleetSilentAt = MonotonicTime.NEVER;
  private final Map<String, MonotonicTime> zoneSilentAt = new HashMap<>();

  CorrelatedSilence(StepContext context, ShardView shard) {
    this.context = context;
    this.shard = shard;
  }

  /** Counts the machines that are silent now. */
  void observe() {
    SilenceCount fleet = new SilenceCount();
    Map<String, SilenceCount> zones = new HashMap<>();
    for (Machine machine : shard.machines().values()) {
      // One that holds tasks has run before, whether or not this owner has heard it.
      if (machine.info() != null
          && (machine.session().hasConfirmedHeartbeat() || !machine.isEmpty())) {
        boolean silent = !shard.liveness().isFresh(machine);
        fleet.add(silent);
        zones.computeIfAbsent(machine.info().zone(), zone -> new SilenceCount()).add(silent);
      }
    }
    if (fleet.exceeds(FLEET_FRACTION)) {
      fleetSilentAt = context.now();
    }
    zones.forEach(
        (zone, count) -> {
          if (count.exceeds(ZONE_FRACTION)) {
            zoneSilentAt.put(zone, context.now());
          }
        });
  }

  /**
   * Whether the machine's silence may be one of many: when they end, the last machines have a
   * lease's time to find their way back.
   */
  boolean mayExplain(Machine machine) {
    double leaseMs = context.config().workers().leaseS() * MS_PER_S;
    MonotonicTime zoneSilence =
        machine.info() == null
            ? MonotonicTime.NEVER
            : zoneSilentAt.getOrDefault(machine.info().zone(), MonotonicTime.NEVER);
    MonotonicTime now = context.now();
    return now.since(fleetSilentAt) <= leaseMs || now.since(zoneSilence) <= leaseMs;
  }
}
