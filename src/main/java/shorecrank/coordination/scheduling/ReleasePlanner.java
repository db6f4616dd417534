package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.List;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;

/** Selects the machines to return to the cloud now: faulty, silent and drained ones. */
final class ReleasePlanner {
  private static final double MS_PER_S = 1000;

  /**
   * A machine is silent, not just late, after this many heartbeat intervals plus {@link
   * #SILENT_MARGIN_MS} without a heartbeat.
   */
  private static final int SILENT_HEARTBEAT_INTERVALS = 3;

  private static final double SILENT_MARGIN_MS = 4000;

  /**
   * A silent machine is released before its worker's lease expires if that is sooner by more than
   * this time.
   */
  private static final double MIN_LEASE_CUT_MS = 10_000;

  /** How long after its worker's lease has expired a silent machine is released, if not earlier. */
  private static final double AFTER_LEASE_MS = 30_000;

  /**
   * How long after its worker's lease has expired a machine is released if many machines are silent
   * at once.
   */
  private static final double AFTER_LEASE_CORRELATED_MS = 60_000;

  /**
   * Minimum silence before a machine is released that has tasks but has sent no heartbeat to this
   * owner.
   */
  private static final double MIN_SILENCE_BEFORE_FIRST_HEARTBEAT_MS = 15_000;

  /**
   * A machine that has not come up is released after this many times its type's usual boot time
   * plus {@link #BOOT_MARGIN_S}.
   */
  private static final double MAX_BOOT_FACTOR = 5;

  private static final double BOOT_MARGIN_S = 120;

  /** The usual boot time assumed for a machine of unknown type, in seconds. */
  private static final double DEFAULT_BOOT_S = 60;

  /**
   * An empty machine is returned after it was unresponsive for this many lease durations plus
   * {@link #UNRESPONSIVE_MARGIN_MS}.
   */
  private static final double UNRESPONSIVE_LEASES = 3;

  private static final double UNRESPONSIVE_MARGIN_MS = 30_000;

  /** How long a drained machine has to be idle before it is returned, in milliseconds. */
  private static final long IDLE_MS = 2000;

  private final StepContext context;
  private final ShardView shard;
  private final CorrelatedSilenceDetector silenceDetector;

  ReleasePlanner(StepContext context, ShardView shard, CorrelatedSilenceDetector silenceDetector) {
    this.context = context;
    this.shard = shard;
    this.silenceDetector = silenceDetector;
  }

  /**
   * Returns the machines to return to the cloud now; marks faulty and drained ones as releasing.
   */
  List<MachineName> machinesToReturn() {
    List<MachineName> machinesToReturn = new ArrayList<>();
    for (Machine machine : shard.machines().values()) {
      if (!machine.session().hasConfirmedHeartbeat()) {
        if (isFirstHeartbeatOverdue(machine)) {
          machinesToReturn.add(machine.name());
        }
      } else if (isSilent(machine) || isUnresponsive(machine)) {
        machinesToReturn.add(machine.name());
      } else if (isFaulty(machine) || isDrained(machine)) {
        machine.release();
        machinesToReturn.add(machine.name());
      } else if (machine.isReleasing() && hasNoTasks(machine)) {
        machinesToReturn.add(machine.name());
      }
    }
    return machinesToReturn;
  }

  /** Reports whether a machine that has sent no heartbeat to this owner will probably send none. */
  private boolean isFirstHeartbeatOverdue(Machine machine) {
    if (!machine.isEmpty()) {
      boolean mayBeCorrelated = silenceDetector.mayAffect(machine);
      double maxSilenceMs =
          mayBeCorrelated
              ? maxSilenceMs(machine)
              : Math.max(MIN_SILENCE_BEFORE_FIRST_HEARTBEAT_MS, earliestReleaseMs());
      return shard.liveness().silentMs(machine) > maxSilenceMs;
    }
    if (!machine.assignment().isAssigned()) {
      return false;
    }
    double maxWaitMs =
        machine.assignment().hasArrivedFromOtherShard()
            ? maxSilenceMs(machine)
            : maxBootMs(machine);
    return context.now().since(machine.assignment().since()) > maxWaitMs;
  }

  private static double maxBootMs(Machine machine) {
    double bootS = machine.type() == null ? DEFAULT_BOOT_S : machine.type().bootS();
    return MS_PER_S * (MAX_BOOT_FACTOR * bootS + BOOT_MARGIN_S);
  }

  private boolean isSilent(Machine machine) {
    return shard.liveness().silentMs(machine) > maxSilenceMs(machine);
  }

  /** Returns how long a machine may be silent before it is returned, in milliseconds. */
  private double maxSilenceMs(Machine machine) {
    double leaseMs = leaseMs();
    if (silenceDetector.mayAffect(machine)) {
      return leaseMs + AFTER_LEASE_CORRELATED_MS;
    }
    // Returning a machine to the cloud surely ends its tasks. If the worker's lease is long, this
    // is sooner than waiting for the lease to expire.
    double earlyMs = earliestReleaseMs();
    return leaseMs - earlyMs > MIN_LEASE_CUT_MS ? earlyMs : leaseMs + AFTER_LEASE_MS;
  }

  private double earliestReleaseMs() {
    double heartbeatMs = context.config().workers().heartbeatIntervalS() * MS_PER_S;
    return SILENT_HEARTBEAT_INTERVALS * heartbeatMs + SILENT_MARGIN_MS;
  }

  private double leaseMs() {
    return context.config().workers().leaseS() * MS_PER_S;
  }

  private boolean isUnresponsive(Machine machine) {
    MonotonicTime since = machine.session().unresponsiveSince();
    return machine.session().isUnresponsive()
        && machine.session().missedAnswers() > 1
        && machine.isEmpty()
        && context.now().since(since) > UNRESPONSIVE_LEASES * leaseMs() + UNRESPONSIVE_MARGIN_MS;
  }

  /** Reports whether the machine failed again after a quarantine and is empty. */
  private boolean isFaulty(Machine machine) {
    return machine.health().quarantines() > 1
        && machine.isEmpty()
        && shard.liveness().isFresh(machine);
  }

  private boolean isDrained(Machine machine) {
    return machine.isDraining()
        && !machine.assignment().isHandoverRequested()
        && hasNoTasks(machine)
        && shard.liveness().isFresh(machine)
        && context.now().since(machine.idleSince()) > IDLE_MS;
  }

  /** Reports whether neither this owner nor the worker knows of a task on the machine. */
  private static boolean hasNoTasks(Machine machine) {
    return machine.isEmpty() && machine.session().listedTasks() == 0;
  }
}
