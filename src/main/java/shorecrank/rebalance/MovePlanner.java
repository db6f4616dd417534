package shorecrank.rebalance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShardDemandMessages.DrainCandidate;
import shorecrank.protocol.ShardDemandMessages.ShardDemand;
import shorecrank.rebalance.FleetAssignments.FleetMachine;

/**
 * Chooses machines to move so that shards approach their targets. Each move goes from the shard
 * with the largest surplus of processors to the shard with the largest deficit, and takes the
 * machine whose tasks are expected to end first.
 */
final class MovePlanner {
  /**
   * The smallest surplus of the source shard and deficit of the target shard for a move, as a
   * fraction of the machine's processors. If either is less than half the machine, the move would
   * take that shard further from its target.
   */
  private static final double MIN_GAIN = 0.5;

  /** A machine to move from one shard to another. */
  record PlannedMove(MachineName machine, ShardId from, ShardId to) {}

  /**
   * The state of the fleet from which moves are planned.
   *
   * @param targets the processors that each shard should have
   * @param currentCpus the processors that each shard has; a machine that is moving counts at the
   *     shard that it moves to
   * @param demands the recently reported demand of each shard; a shard without one gives up no
   *     machines
   * @param receivers the shards that may receive machines; each has an entry in {@code demands}
   * @param movable reports whether a machine may move now
   */
  record PlanningInput(
      Map<ShardId, Double> targets,
      Map<ShardId, Double> currentCpus,
      Map<ShardId, ShardDemand> demands,
      Set<ShardId> receivers,
      Predicate<MachineName> movable) {}

  private final PlanningInput input;
  private final double tolerance;
  private final Map<MachineName, FleetMachine> machines = new HashMap<>();
  private final Map<ShardId, Double> currentCpus;
  private final Set<MachineName> chosen = new HashSet<>();

  MovePlanner(PlanningInput input, Collection<FleetMachine> machines, double tolerance) {
    this.input = input;
    this.tolerance = tolerance;
    this.currentCpus = new TreeMap<>(input.currentCpus());
    machines.forEach(machine -> this.machines.put(machine.name(), machine));
  }

  /** Returns at most {@code limit} moves, each planned as if the ones before it were done. */
  List<PlannedMove> plan(int limit) {
    List<PlannedMove> plan = new ArrayList<>();
    while (plan.size() < limit) {
      PlannedMove next = planNext();
      if (next == null) {
        break;
      }
      chosen.add(next.machine());
      double cpus = machines.get(next.machine()).cpus();
      currentCpus.merge(next.from(), -cpus, Double::sum);
      currentCpus.merge(next.to(), cpus, Double::sum);
      plan.add(next);
    }
    return plan;
  }

  /** Returns by how many processors a shard exceeds its target; negative if it is below. */
  private double surplus(ShardId shard) {
    return currentCpus.getOrDefault(shard, 0.0) - input.targets().getOrDefault(shard, 0.0);
  }

  private boolean isBeyondTolerance(ShardId shard) {
    double target = input.targets().getOrDefault(shard, 0.0);
    return Math.abs(surplus(shard)) > tolerance * target;
  }

  private PlannedMove planNext() {
    List<ShardId> receivers = new ArrayList<>(input.receivers());
    receivers.removeIf(shard -> surplus(shard) >= 0 || !isBeyondTolerance(shard));
    receivers.sort((left, right) -> Double.compare(surplus(left), surplus(right)));
    List<ShardId> donors = new ArrayList<>(currentCpus.keySet());
    donors.removeIf(shard -> surplus(shard) <= 0 || !input.demands().containsKey(shard));
    donors.sort((left, right) -> Double.compare(surplus(right), surplus(left)));
    for (ShardId to : receivers) {
      for (ShardId from : donors) {
        PlannedMove planned = from.equals(to) ? null : chooseMachine(from, to);
        if (planned != null) {
          return planned;
        }
      }
    }
    return null;
  }

  private PlannedMove chooseMachine(ShardId from, ShardId to) {
    for (DrainCandidate candidate : input.demands().get(from).candidates()) {
      FleetMachine machine = machines.get(candidate.machine());
      boolean isEligible =
          machine != null
              && machine.shard().equals(from)
              && !chosen.contains(machine.name())
              && input.movable().test(machine.name())
              && input.demands().get(to).usableOffers().contains(machine.offer());
      if (isEligible && isWorthMoving(from, to, machine.cpus())) {
        return new PlannedMove(machine.name(), from, to);
      }
    }
    return null;
  }

  private boolean isWorthMoving(ShardId from, ShardId to, double cpus) {
    return surplus(from) >= cpus * MIN_GAIN && -surplus(to) >= cpus * MIN_GAIN;
  }
}
