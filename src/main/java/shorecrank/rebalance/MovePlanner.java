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
 * Chooses the machines that should move for shards to come nearer to their targets: from the shard
 * with the largest surplus the machine that is empty soonest, to the shard that lacks the most.
 */
final class MovePlanner {
  /**
   * A donor's surplus and a receiver's lack must be at least this fraction of the machine, so that
   * the move brings both nearer to their targets.
   */
  private static final double MIN_GAIN = 0.5;

  /** A machine that should move. */
  record PlannedMove(MachineName machine, ShardId from, ShardId to) {}

  /**
   * The state from which moves are planned.
   *
   * @param targets processors by shard that it should have
   * @param currentCpus processors by shard, with moves under way counted where they lead
   * @param demands by shard; those of which none is known give no machines
   * @param receivers shards that have lacked machines for long enough
   * @param movable whether a machine may move now
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

  /** Plans at most {@code most} moves, each as if those before it were done. */
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

  /** How far a shard is above its target; negative if it is below. */
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
