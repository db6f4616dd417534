package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.List;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;

/** Picks the machines to be returned to the cloud now: broken, silent or drained ones. */
final class ReleasePlanner {
  private static final double MS_PER_S = 1000;

  /** Heartbeat intervals, and beside them milliseconds, after which silence is no mere delay. */
  private static final int SILENT_HEARTBEATS = 3;

  private static final double SILENT_MARGIN_MS = 4000;

  /** A lease longer than the silence by this is worth to be cut short by a release. */
  private static final double LONG_LEASE_MS = 10_000;

  /** So long after the lease a silent machine is released that has nothing to be cut short. */
  private static final double AFTER_LEASE_MS = 30_000;

  /** So long after the lease one is released that fell silent with many others. */
  private static final double AFTER_LEASE_CORRELATED_MS = 60_000;

  /** The least silence of a machine with tasks that this owner has never heard. */
  private static final double NEVER_HEARD_MS = 15_000;

  /** A machine is given up that has not come up after so many usual boot times and seconds. */
  private static final double LATEST_BOOT = 5;

  private static final double LATEST_BOOT_MARGIN_S = 120;

  /** The boot time, in seconds, of a machine whose type is not known. */
  private static final double DEFAULT_BOOT_S = 60;

  /** An empty machine may be unresponsive for so many leases and milliseconds. */
  private static final double UNRESPONSIVE_LEASES = 3;

  private static final double UNRESPONSIVE_MARGIN_MS = 30_000;

  /** A drained machine has to be idle for so long, in milliseconds. */
  private static final long IDLE_MS = 2000;

  private final StepContext context;
  private final ShardView shard;
  private final CorrelatedSilence correlatedSilence;

  ReleasePlanner(StepContext context, ShardView shard, CorrelatedSilence correlatedSilence) {
    this.context = context;
    this.shard = shard;
    this.correlatedSilence = correlatedSilence;
  }

  /** The machines to be returned now; those that are empty are marked as being released. */
  List<MachineName> machinesToReturn() {
    List<MachineName> names = new ArrayList<>();
    for (Machine machine : shard.machines().values()) {
      if (!machine.session().hasConfirmedHeartbeat()) {
        if (isLostBeforeHeard(machine)) {
          names.add(machine.name());
        }
      } else if (isSilent(machine) || isUnresponsive(machine)) {
        names.add(machine.name());
      } else if (isBroken(machine) || isDrained(machine)) {
        machine.release();
        names.add(machine.name());
      } else if (machine.isReleasing() && isVacant(machine)) {
        names.add(machine.name());
      }
    }
    return names;
  }

  /** A machine that this owner has not heard and that will hardly be heard any more. */
  private boolean isLostBeforeHeard(Machine machine) {
    if (!machine.isEmpty()) {
      boolean waits = correlatedSilence.mayExplain(machine);
      double patienceMs =
          waits ? patienceMs(machine) : Math.max(NEVER_HEARD_MS, earliestReleaseMs());
      return shard.liveness().silentMs(machine) > patienceMs;
    }
    if (!machine.assignment().isAssigned()) {
      return false;
    }
    double patienceMs =
        machine.assignment().hasArrivedFromOtherShard()
            ? patienceMs(machine)
            : latestBootMs(machine);
    return context.now().since(machine.assignment().since()) > patienceMs;
  }

  private static double latestBootMs(Machine machine) {
    double bootS = machine.type() == null ? DEFAULT_BOOT_S : machine.type().bootS();
    return MS_PER_S * (LATEST_BOOT * bootS + LATEST_BOOT_MARGIN_S);
  }

  private boolean isSilent(Machine machine) {
    return shard.liveness().silentMs(machine) > patienceMs(machine);
  }

  /** How long a machine may be silent before it is returned, in milliseconds. */
  private double patienceMs(Machine machine) {
    double leaseMs = leaseMs();
    if (correlatedSilence.mayExplain(machine)) {
      return leaseMs + AFTER_LEASE_CORRELATED_MS;
    }
    // Releasing a silent machine is the quick way to be sure of its tasks, where its lease is long.
    double earlyMs = earliestReleaseMs();
    return leaseMs - earlyMs > LONG_LEASE_MS ? earlyMs : leaseMs + AFTER_LEASE_MS;
  }

  private double earliestReleaseMs() {
    double heartbeatMs = context.config().workers().reportS() * MS_PER_S;
    return SILENT_HEARTBEATS * heartbeatMs + SILENT_MARGIN_MS;
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

  /** One that failed again after a quarantine. */
  private boolean isBroken(Machine machine) {
    return machine.health().quarantines() > 1
        && machine.isEmpty()
        && shard.liveness().isFresh(machine);
  }

  private boolean isDrained(Machine machine) {
    return machine.isDraining()
        && !machine.assignment().isHandoverRequested()
        && isVacant(machine)
        && shard.liveness().isFresh(machine)
        && context.now().since(machine.idleSince()) > IDLE_MS;
  }

  /** Whether neither the owner nor the worker knows of a task there. */
  private static boolean isVacant(Machine machine) {
    return machine.isEmpty() && machine.session().listedTasks() == 0;
  }
}
