package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.step.StepContext;

/**
 * Plans the scale-in of a shard: keeps the processors of the recent peak demand and drains the most
 * expensive of the other machines. Cancels drains when demand returns, before machines are rented.
 */
final class DrainPlanner {
  /** Keeps 5% more than the recent peak demand, since jobs arrive in bursts. */
  private static final double PEAK_MARGIN_FACTOR = 1.05;

  private static final long MS_PER_S = 1000;

  private static final Comparator<Machine> BY_PRICE =
      Comparator.comparingDouble(machine -> Prices.perCpu(machine));

  private static final Comparator<Machine> CHEAPEST_FIRST = BY_PRICE.thenComparing(Machine::name);

  /** At equal prices, machines with fewer used processors come first: they are empty sooner. */
  private static final Comparator<Machine> MOST_EXPENSIVE_FIRST =
      BY_PRICE
          .reversed()
          .thenComparing(Comparator.comparingDouble(Machine::usedCpus))
          .thenComparing(Machine::name);

  /** The machines whose drain may be begun or cancelled, and totals of processors. */
  private static final class Fleet {
    final List<Machine> active = new ArrayList<>();
    final List<Machine> draining = new ArrayList<>();

    /** Processors in use on all machines of the shard. */
    double usedCpus;

    /** Processors of the active machines. */
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

  /** Drains machines or cancels drains, according to the recent peak demand. */
  void update() {
    Fleet fleet = surveyFleet();
    List<QueuedDemand> demands = QueuedDemand.of(shard);
    double unservedCpus = 0;
    double queuedCpus = 0;
    for (QueuedDemand demand : demands) {
      unservedCpus += estimator.cpusToClear(demand);
      queuedCpus += demand.cpus();
    }
    context.gauge("cpus.waited_for.in_limit", queuedCpus);
    long windowMs = context.settings().peakDemandWindowS() * MS_PER_S;
    double peakCpus = peaks.record(fleet.usedCpus + unservedCpus, context.now(), windowMs);
    double cpusToKeep = peakCpus * PEAK_MARGIN_FACTOR;
    for (Machine machine : fleet.active) {
      unservedCpus -= shard.isUsable(machine) ? estimator.usableCpus(demands, machine) : 0;
    }
    unservedCpus = cancelDrains(fleet, demands, cpusToKeep, unservedCpus);
    // Until the owner has observed the demand for a whole window, it may have missed the peak.
    if (context.now().since(shard.readySince()) < windowMs) {
      return;
    }
    migration.migrate(fleet.draining);
    if (unservedCpus <= 0) {
      drainSurplus(fleet, cpusToKeep);
    }
  }

  private Fleet surveyFleet() {
    Fleet fleet = new Fleet();
    for (Machine machine : shard.machines().values()) {
      if (machine.type() == null) {
        continue;
      }
      // Tasks on silent or leaving machines count, since they soon need processors elsewhere.
      fleet.usedCpus += machine.usedFraction() * machine.type().cpus();
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
   * Cancels the drain of machines that are needed, the cheapest first.
   *
   * @param cpusToKeep the processors to keep in use
   * @param unservedCpus the processors that queued jobs lack
   * @return the processors that queued jobs still lack; 0 or less if none
   */
  private double cancelDrains(
      Fleet fleet, List<QueuedDemand> demands, double cpusToKeep, double unservedCpus) {
    double unserved = unservedCpus;
    fleet.draining.sort(CHEAPEST_FIRST);
    for (Machine machine : fleet.draining) {
      if (fleet.activeCpus >= cpusToKeep && unserved <= 0) {
        break;
      }
      machine.cancelDrain();
      fleet.activeCpus += machine.type().cpus();
      unserved -= estimator.usableCpus(demands, machine);
    }
    return unserved;
  }

  private void drainSurplus(Fleet fleet, double cpusToKeep) {
    fleet.active.sort(MOST_EXPENSIVE_FIRST);
    for (Machine machine : fleet.active) {
      if (fleet.activeCpus - machine.type().cpus() < cpusToKeep) {
        break;
      }
      machine.drain();
      fleet.activeCpus -= machine.type().cpus();
    }
  }
}
