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

/** Scale out: which machines would clear the queue in good time, the cheapest first. */
final class CapacityPlanner {
  /** Machines usually boot within one and a half times the usual time; later ones may never. */
  private static final double LATEST_BOOT = 2;

  /** The most machines of a scarce offer that are asked for at once. */
  private static final int PROBE_MACHINES = 10;

  /** Share of a machine that queued work may lack before a machine is rented for it. */
  private static final double TOLERATED_OVERHANG = 0.25;

  /** Prices that differ by no more than this are the same. */
  private static final double PRICE_EPSILON = 1e-9;

  private static final double MS_PER_S = 1000;

  /** Processors that would clear one job's queue. */
  private record JobNeed(Job job, double cpus) {}

  /** Requests put together so far, and the processors that they leave uncovered. */
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

  /** The machines that queued work needs beyond those that are there or on their way. */
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
      request(plan, offersByPrice(), needs, toleratedOverhang(demands));
    }
    return plan.requests;
  }

  /** Processors that queued work can use, of machines that are there or booting. */
  private double usableCpus(List<QueuedDemand> demands) {
    double cpus = 0;
    for (Machine machine : shard.machines().values()) {
      if (machine.type() == null
          || !machine.assignment().isAssigned()
          || machine.isReleasing()
          || machine.isPreemptionNoticed()) {
        continue;
      }
      boolean counts =
          machine.session().hasConfirmedHeartbeat()
              ? shard.isUsable(machine)
              : mayStillBoot(machine);
      if (counts) {
        cpus += estimator.usableCpus(demands, machine);
      }
    }
    return cpus;
  }

  /** The offers that may be asked for: cheapest first, then in zones with the fewest machines. */
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
   * A small overhang waits for room, but not for ever: a job that no machine can serve gets one.
   */
  private double toleratedOverhang(List<QueuedDemand> demands) {
    for (QueuedDemand demand : demands) {
      if (!hasMachineFor(demand.job())) {
        return 0;
      }
    }
    return TOLERATED_OVERHANG;
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

  /** One that takes far longer than usual to boot may never come up, or was gone when it came. */
  private boolean mayStillBoot(Machine machine) {
    return !machine.assignment().hasArrivedFromOtherShard()
        && machine.type() != null
        && context.now().since(machine.assignment().since())
            < LATEST_BOOT * MS_PER_S * machine.type().bootS();
  }

  /** Zones at one price share alike: less is lost when one of them fails or is used up. */
  private void request(Plan plan, List<Offer> offers, List<JobNeed> needs, double overhang) {
    int next = 0;
    while (next < offers.size() && plan.deficitCpus > 0) {
      int end = endOfPrice(offers, next);
      for (; next < end; next++) {
        request(plan, offers.get(next), end - next, needs, overhang);
      }
    }
  }

  /** The index after the last offer that costs no more than the one at {@code start}. */
  private int endOfPrice(List<Offer> offers, int start) {
    Map<String, MachineType> catalog = shard.catalog();
    double price = Prices.perCpu(offers.get(start), catalog);
    int end = start + 1;
    while (end < offers.size()
        && Prices.perCpu(offers.get(end), catalog) <= price + PRICE_EPSILON) {
      end++;
    }
    return end;
  }

  private void request(
      Plan plan, Offer offer, int offersToShare, List<JobNeed> needs, double overhang) {
    MachineType type = shard.catalog().get(offer.type());
    double eligibleCpus = 0;
    for (JobNeed need : needs) {
      if (MachineConstraints.allows(need.job().spec(), offer, type)) {
        eligibleCpus += need.cpus();
      }
    }
    double coveredCpus = Math.min(eligibleCpus, plan.deficitCpus / offersToShare);
    int machines = (int) Math.ceil(coveredCpus / type.cpus() - overhang);
    if (machines <= 0) {
      return;
    }
    if (availability.isScarce(offer, context.now())) {
      // Most likely still used up: asked for again, but others are not put off for it.
      plan.requests.add(new CapacityRequest(offer, Math.min(machines, PROBE_MACHINES)));
    } else {
      plan.requests.add(new CapacityRequest(offer, machines));
      plan.deficitCpus -= machines * type.cpus();
    }
  }
}
