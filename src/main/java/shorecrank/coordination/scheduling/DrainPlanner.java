package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.step.StepContext;

/**
 * Scale in: keeps what lately was needed at the most and drains the dearest of the other machines;
 * takes draining machines back into use before any are rented.
 */
final class DrainPlanner {
  /** Arrivals come in bursts: somewhat more than the last peak stays. */
  private static final double SPARE = 1.05;

  private static final long MS_PER_S = 1000;

  private static final Comparator<Machine> BY_PRICE =
      Comparator.comparingDouble(machine -> Prices.perCpu(machine));

  private static final Comparator<Machine> CHEAPEST_FIRST = BY_PRICE.thenComparing(Machine::name);

  /** Of equally dear machines, those that run empty the soonest come first. */
  private static final Comparator<Machine> DEAREST_FIRST =
      BY_PRICE
          .reversed()
          .thenComparing(Comparator.comparingDouble(Machine::usedCpus))
          .thenComparing(Machine::name);

  /** The machines that run tasks for this shard, and what they have. */
  private static final class Fleet {
    final List<Machine> active = new ArrayList<>();
    final List<Machine> draining = new ArrayList<>();
    double usedCpus;
    double activeCpus;
  }

  private final StepContext context;
  private final ShardView shard;
  private final DemandEstimator estimator;
  private final CheckpointMigration migration;
  private final DemandPeaks peaks = new DemandPeaks();

  DrainPlanner(StepContext context, ShardView shard, DemandEstimator estimator) {
    this.context = context;
    this.shard = shard;
    this.estimator = estimator;
    this.migration = new CheckpointMigration(context, shard);
  }

  /** Drains machines, or takes them back into use, by the highest demand of late. */
  void update() {
    Fleet fleet = survey();
    List<QueuedDemand> demands = QueuedDemand.of(shard);
    double unservedCpus = 0;
    double queuedCpus = 0;
    for (QueuedDemand demand : demands) {
      unservedCpus += estimator.cpusToClear(demand);
      queuedCpus += demand.cpus();
    }
    context.gauge("cpus.waited_for.in_limit", queuedCpus);
    long windowMs = context.settings().idleReturnS() * MS_PER_S;
    double peakCpus = peaks.record(fleet.usedCpus + unservedCpus, context.now(), windowMs);
    double keptCpus = peakCpus * SPARE;
    for (Machine machine : fleet.active) {
      unservedCpus -= shard.isUsable(machine) ? estimator.usableCpus(demands, machine) : 0;
    }
    unservedCpus = cancelDrains(fleet, demands, keptCpus, unservedCpus);
    // Until a whole window has been seen, the peak may have been before it.
    if (context.now().since(shard.readySince()) < windowMs) {
      return;
    }
    migration.moveOff(fleet.draining);
    if (unservedCpus <= 0) {
      drainSpare(fleet, keptCpus);
    }
  }

  private Fleet survey() {
    Fleet fleet = new Fleet();
    for (Machine machine : shard.machines().values()) {
      if (machine.type() == null) {
        continue;
      }
      // What runs on a silent machine, or on one that goes, needs room elsewhere before long.
      fleet.usedCpus += machine.usedShare() * machine.type().cpus();
      if (!machine.session().hasConfirmedHeartbeat()
          || !shard.liveness().isFresh(machine)
          || machine.isReleasing()
          || machine.isPreemptionNoticed()
          || machine.assignment().isHandoverRequested()) {
        continue;
      }
      if (machine.isDraining()) {
        fleet.draining.add(machine);
      } else {
        fleet.activeCpus += machine.type().cpus();
        fleet.active.add(machine);
      }
    }
    return fleet;
  }

  /**
   * Takes draining machines back into use as far as they are needed, the cheapest first.
   *
   * @return the processors that queued work still lacks
   */
  private double cancelDrains(
      Fleet fleet, List<QueuedDemand> demands, double keptCpus, double unservedCpus) {
    double unserved = unservedCpus;
    fleet.draining.sort(CHEAPEST_FIRST);
    for (Machine machine : fleet.draining) {
      if (fleet.activeCpus >= keptCpus && unserved <= 0) {
        break;
      }
      machine.cancelDrain();
      fleet.activeCpus += machine.type().cpus();
      unserved -= estimator.usableCpus(demands, machine);
    }
    return unserved;
  }

  private void drainSpare(Fleet fleet, double keptCpus) {
    fleet.active.sort(DEAREST_FIRST);
    for (Machine machine : fleet.active) {
      if (fleet.activeCpus - machine.type().cpus() < keptCpus) {
        break;
      }
      machine.drain();
      fleet.activeCpus -= machine.type().cpus();
    }
  }
}
