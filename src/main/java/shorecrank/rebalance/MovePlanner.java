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
  private static final double GAIN = 0.5;

  /** A machine that should move. */
  record Planned(MachineName machine, ShardId from, ShardId to) {}

  /**
   * The state from which moves are planned.
   *
   * @param targets processors by shard that it should have
   * @param present processors by shard, with moves under way counted where they lead
   * @param demands by shard; those of which none is known give no machines
   * @param receiving shards that have lacked machines for long enough
   * @param movable whether a machine may move now
   */
  record Situation(
      Map<ShardId, Double> targets,
      Map<ShardId, Double> present,
      Map<ShardId, ShardDemand> demands,
      Set<ShardId> receiving,
      Predicate<MachineName> movable) {}

  private final Situation situation;
  private final double tolerance;
  private final Map<MachineName, FleetMachine> machines = new HashMap<>();
  private final Map<ShardId, Double> present;
  private final Set<MachineName> taken = new HashSet<>();

  MovePlanner(Situation situation, Collection<FleetMachine> machines, double tolerance) {
    this.situation = situation;
    this.tolerance = tolerance;
    this.present = new TreeMap<>(situation.present());
    machines.forEach(machine -> this.machines.put(machine.name(), machine));
  }

  /** Plans at most {@code most} moves, each as if those before it were done. */
  List<Planned> plan(int most) {
    List<Planned> plan = new ArrayList<>();
    while (plan.size() < most) {
      Planned next = next();
      if (next == null) {
        break;
      }
      taken.add(next.machine());
      double cpus = machines.get(next.machine()).cpus();
      present.merge(next.from(), -cpus, Double::sum);
      present.merge(next.to(), cpus, Double::sum);
      plan.add(next);
    }
    return plan;
  }

  /** How far a shard is above its target; negative if it is below. */
  private double surplus(ShardId shard) {
    return present.getOrDefault(shard, 0.0) - situation.targets().getOrDefault(shard, 0.0);
  }

  private boolean isBeyondTolerance(ShardId shard) {
    double target = situation.targets().getOrDefault(shard, 0.0);
    return Math.abs(surplus(shard)) > tolerance * target;
  }

  private Planned next() {
    List<ShardId> receivers = new ArrayList<>(situation.receiving());
    receivers.removeIf(shard -> surplus(shard) >= 0 || !isBeyondTolerance(shard));
    receivers.sort((left, right) -> Double.compare(surplus(left), surplus(right)));
    List<ShardId> donors = new ArrayList<>(present.keySet());
    donors.removeIf(shard -> surplus(shard) <= 0 || !situation.demands().containsKey(shard));
    donors.sort((left, right) -> Double.compare(surplus(right), surplus(left)));
    for (ShardId to : receivers) {
      for (ShardId from : donors) {
        Planned planned = from.equals(to) ? null : choose(from, to);
        if (planned != null) {
          return planned;
        }
      }
    }
    return null;
  }

  private Planned choose(ShardId from, ShardId to) {
    for (DrainCandidate candidate : situation.demands().get(from).candidates()) {
      FleetMachine machine = machines.get(candidate.machine());
      boolean isUsable =
          machine != null
              && machine.shard().equals(from)
              && !taken.contains(machine.name())
              && situation.movable().test(machine.name())
              && situation.demands().get(to).usableOffers().contains(machine.offer());
      if (isUsable && isGain(from, to, machine.cpus())) {
        return new Planned(machine.name(), from, to);
      }
    }
    return null;
  }

  private boolean isGain(ShardId from, ShardId to, double cpus) {
    return surplus(from) >= cpus * GAIN && -surplus(to) >= cpus * GAIN;
  }
}
