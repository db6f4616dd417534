package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.MachineConstraints;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.HeartbeatMessages.CapacityRequest;
import shorecrank.protocol.Ids.MonotonicTime;

/** Plans the scale-out of a shard: the cheapest machines that clear its queue in time. */
final class CapacityPlanner {
  /**
   * A machine that has been booting for this many times its type's usual boot time no longer counts
   * as capacity. Most machines are up within 1.5 times the usual boot time.
   */
  private static final double MAX_BOOT_FACTOR = 2;

  /** Maximum number of machines that are requested of one scarce offer. */
  private static final int MAX_SCARCE_MACHINES = 10;

  /** The deficit, as a fraction of a machine's processors, for which no machine is rented. */
  private static final double TOLERATED_DEFICIT = 0.25;

  /** Prices per processor that differ by at most this are treated as equal. */
  private static final double PRICE_EPSILON = 1e-9;

  private static final double MS_PER_S = 1000;

  /** The processors that would clear the queued tasks of one job in time. */
  private record JobNeed(Job job, double cpus) {}

  /** The requests made so far, and the processors that queued jobs still lack. */
  private static final class Plan {
    final List<CapacityRequest> requests = new ArrayList<>();
    double deficitCpus;

    Plan(double deficitCpus) {
      this.deficitCpus = deficitCpus;
    }
  }

  private final StepContext context;
  private final ShardView shard;
  private final DemandEstimator estimator;
  private final OfferAvailability availability;

  CapacityPlanner(
      StepContext context,
      ShardView shard,
      DemandEstimator estimator,
      OfferAvailability availability) {
    this.context = context;
    this.shard = shard;
    this.estimator = estimator;
    this.availability = availability;
  }

  /** Returns the machines that queued jobs need beyond those that are running or booting. */
  List<CapacityRequest> capacityRequests() {
    if (!shard.isReady() || !shard.isLeaseValid()) {
      return List.of();
    }
    List<QueuedDemand> demands = QueuedDemand.of(shard);
    if (demands.isEmpty()) {
      return List.of();
    }
    double freeCpus = usableCpus(demands);
    double neededCpus = 0;
    List<JobNeed> needs = new ArrayList<>(demands.size());
    for (QueuedDemand demand : demands) {
      double cpus = estimator.cpusToClear(demand);
      needs.add(new JobNeed(demand.job(), cpus));
      neededCpus += cpus;
    }
    Plan plan = new Plan(neededCpus - freeCpus);
    if (plan.deficitCpus > 0) {
      addRequests(plan, offersByPrice(), needs, toleratedDeficit(demands));
    }
    return plan.requests;
  }

  /** Returns the processors of running and booting machines that queued jobs can use. */
  private double usableCpus(List<QueuedDemand> demands) {
    double cpus = 0;
    for (Machine machine : shard.machines().values()) {
      if (machine.type() == null
          || !machine.assignment().isAssigned()
          || machine.isReleasing()
          || machine.isPreemptionNoticed()) {
        continue;
      }
      boolean isUsableSoon =
          machine.session().hasConfirmedHeartbeat()
              ? shard.isUsable(machine)
              : mayStillBoot(machine);
      if (isUsableSoon) {
        cpus += estimator.usableCpus(demands, machine);
      }
    }
    return cpus;
  }

  /**
   * Returns the available offers, by price per processor; at one price, offers in zones with fewer
   * machines come first.
   */
  private List<Offer> offersByPrice() {
    Map<String, MachineType> catalog = shard.catalog();
    MonotonicTime now = context.now();
    List<Offer> offers = new ArrayList<>();
    for (MachineType type : catalog.values()) {
      for (String zone : type.zones()) {
        offers.add(new Offer(type.name(), zone, true));
        offers.add(new Offer(type.name(), zone, false));
      }
    }
    Map<String, Integer> machinesByZone = machinesByZone();
    offers.sort(
        Comparator.<Offer>comparingDouble(offer -> Prices.perCpu(offer, catalog))
            .thenComparing(offer -> machinesByZone.getOrDefault(offer.zone(), 0))
            .thenComparing(Offer::toString));
    offers.removeIf(offer -> !availability.isAvailable(offer, now));
    return offers;
  }

  private Map<String, Integer> machinesByZone() {
    Map<String, Integer> machinesByZone = new HashMap<>();
    for (Machine machine : shard.machines().values()) {
      if (machine.info() != null) {
        machinesByZone.merge(machine.info().zone(), 1, Integer::sum);
      }
    }
    return machinesByZone;
  }

  /**
   * Returns the deficit, as a fraction of a machine, for which no machine is rented because other
   * machines free up soon. It is 0 if a queued job can't run on any machine of the shard, since
   * that job would wait forever.
   */
  private double toleratedDeficit(List<QueuedDemand> demands) {
    for (QueuedDemand demand : demands) {
      if (!hasMachineFor(demand.job())) {
        return 0;
      }
    }
    return TOLERATED_DEFICIT;
  }

  private boolean hasMachineFor(Job job) {
    for (Machine machine : shard.machines().values()) {
      if (machine.assignment().isAssigned()
          && !machine.isReleasing()
          && !machine.isPreemptionNoticed()
          && !machine.assignment().isHandoverRequested()
          && (machine.session().hasConfirmedHeartbeat() || mayStillBoot(machine))
          && machine.isAllowedFor(job.spec())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Reports whether a machine that has sent no heartbeat yet may still be booting. One that takes
   * far longer than usual may never come up, and one from another shard had booted before it was
   * handed over.
   */
  private boolean mayStillBoot(Machine machine) {
    return !machine.assignment().hasArrivedFromOtherShard()
        && machine.type() != null
        && context.now().since(machine.assignment().since())
            < MAX_BOOT_FACTOR * MS_PER_S * machine.type().bootS();
  }

  /**
   * Requests machines, the cheapest offers first. Divides the deficit evenly among offers of equal
   * price, most of which differ in the zone, so that an outage or a shortage in one zone affects
   * fewer machines.
   */
  private void addRequests(
      Plan plan, List<Offer> offers, List<JobNeed> needs, double toleratedDeficit) {
    int next = 0;
    while (next < offers.size() && plan.deficitCpus > 0) {
      int end = endOfSamePrice(offers, next);
      for (; next < end; next++) {
        addRequest(plan, offers.get(next), end - next, needs, toleratedDeficit);
      }
    }
  }

  /** Returns the index after the last offer that costs no more than the one at {@code start}. */
  private int endOfSamePrice(List<Offer> offers, int start) {
    Map<String, MachineType> catalog = shard.catalog();
    double price = Prices.perCpu(offers.get(start), catalog);
    int end = start + 1;
    while (end < offers.size()
        && Prices.perCpu(offers.get(end), catalog) <= price + PRICE_EPSILON) {
      end++;
    }
    return end;
  }

  private void addRequest(
      Plan plan,
      Offer offer,
      int offersSharingDeficit,
      List<JobNeed> needs,
      double toleratedDeficit) {
    MachineType type = shard.catalog().get(offer.type());
    double eligibleCpus = 0;
    for (JobNeed need : needs) {
      if (MachineConstraints.allows(need.job().spec(), offer, type)) {
        eligibleCpus += need.cpus();
      }
    }
    double coveredCpus = Math.min(eligibleCpus, plan.deficitCpus / offersSharingDeficit);
    int machines = (int) Math.ceil(coveredCpus / type.cpus() - toleratedDeficit);
    if (machines <= 0) {
      return;
    }
    if (availability.isScarce(offer, context.now())) {
      // The cloud most likely still refuses this offer, so the deficit is left to other offers.
      plan.requests.add(new CapacityRequest(offer, Math.min(machines, MAX_SCARCE_MACHINES)));
    } else {
      plan.requests.add(new CapacityRequest(offer, machines));
      plan.deficitCpus -= machines * type.cpus();
    }
  }
}
