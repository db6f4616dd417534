package shorecrank.rebalance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShardDemandMessages.ShardDemand;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.SharesState;
import shorecrank.rebalance.FleetAssignments.FleetMachine;
import shorecrank.rebalance.MovePlanner.PlannedMove;
import shorecrank.rebalance.MovePlanner.PlanningInput;
import shorecrank.rebalance.ShareTargets.ShardInput;

/**
 * Computes how many processors each shard should have, and plans the moves to begin without an
 * operator's order. A machine on which another shard's tasks may run is moved back to that shard.
 * If there is no such machine, automatic moves are planned, which bring shards closer to their
 * targets.
 */
final class RebalancePlanner {
  /**
   * Processors added per machine when the shard of a new machine is chosen, so that among shards of
   * equal deficit the one with the fewest machines is chosen.
   */
  private static final double TIE_BREAK_CPUS = 1e-6;

  private static final double MS_PER_S = 1000;

  private final LeaderEnvironment environment;
  private final FleetAssignments fleet;
  private final ShareSettings settings;
  private final TeamShares teams;
  private final OwnerReports reports;
  private final MoveTimes times;
  private final MoveCapacity capacity;

  /** The time since which a shard has had a deficit; shards without a deficit have no entry. */
  private final Map<ShardId, MonotonicTime> deficitSince = new HashMap<>();

  private Map<ShardId, Double> targets = new TreeMap<>();

  RebalancePlanner(
      LeaderEnvironment environment,
      FleetAssignments fleet,
      ShareSettings settings,
      TeamShares teams,
      OwnerReports reports,
      MoveTimes times,
      MoveCapacity capacity) {
    this.environment = environment;
    this.fleet = fleet;
    this.settings = settings;
    this.teams = teams;
    this.reports = reports;
    this.times = times;
    this.capacity = capacity;
  }

  /** Returns the processors that each shard should have, as computed by the last planning. */
  Map<ShardId, Double> targets() {
    return targets;
  }

  /**
   * Returns the shard with the largest deficit of processors, among equals the one with the fewest
   * machines.
   */
  ShardId shardForNewMachine(SharesState state) {
    Map<ShardId, Double> currentCpus = currentCpus(state);
    // Machines count as 0 processors while their types are unknown, so their number decides.
    fleet
        .machines()
        .forEach(machine -> currentCpus.merge(machine.shard(), TIE_BREAK_CPUS, Double::sum));
    ShardId best = new ShardId(0);
    double largestDeficit = Double.NEGATIVE_INFINITY;
    for (int i = 0; i < fleet.shardCount(); i++) {
      ShardId shard = new ShardId(i);
      double deficit = targets.getOrDefault(shard, 0.0) - currentCpus.getOrDefault(shard, 0.0);
      if (deficit > largestDeficit) {
        largestDeficit = deficit;
        best = shard;
      }
    }
    return best;
  }

  /**
   * Computes the targets again and returns the moves to begin now; empty if there are none.
   *
   * @param reasonsAgainstMoves supplies the reasons why no automatic move may begin, empty if one
   *     may; called only when automatic moves would be planned
   */
  List<Move> plan(SharesState state, Supplier<List<String>> reasonsAgainstMoves) {
    Map<ShardId, Double> currentCpus = currentCpus(state);
    Map<ShardId, ShardInput> inputs = new TreeMap<>();
    Map<ShardId, ShardDemand> demands = new TreeMap<>();
    teams
        .sharesByShard(state.teams())
        .forEach(
            (shard, share) -> {
              Optional<ShardDemand> demand = reports.freshDemand(shard);
              inputs.put(shard, new ShardInput(share, demand.orElse(null), currentCpus.get(shard)));
              demand.ifPresent(present -> demands.put(shard, present));
            });
    double cpus = currentCpus.values().stream().mapToDouble(Double::doubleValue).sum();
    targets = ShareTargets.compute(cpus, inputs);
    updateGauges(currentCpus, state);
    List<Move> moves = planReclaims(state);
    boolean canPlanAutomaticMoves = moves.isEmpty() && settings.automatic();
    if (canPlanAutomaticMoves && reasonsAgainstMoves.get().isEmpty()) {
      return planAutomaticMoves(currentCpus, demands, state);
    }
    return moves;
  }

  /** Returns the processors of each shard; a moving machine counts at the shard it moves to. */
  private Map<ShardId, Double> currentCpus(SharesState state) {
    Map<ShardId, Double> currentCpus = new TreeMap<>();
    for (int i = 0; i < fleet.shardCount(); i++) {
      currentCpus.put(new ShardId(i), 0.0);
    }
    for (FleetMachine machine : fleet.machines()) {
      Move move = state.activeMoveOf(machine.name());
      ShardId shard = move == null ? machine.shard() : move.to();
      currentCpus.merge(shard, machine.cpus(), Double::sum);
    }
    return currentCpus;
  }

  private void updateGauges(Map<ShardId, Double> currentCpus, SharesState state) {
    targets.forEach((shard, cpus) -> environment.gauge("shares.target." + shard, cpus));
    currentCpus.forEach((shard, cpus) -> environment.gauge("shares.present." + shard, cpus));
    environment.gauge("shares.moves.active", state.active().size());
    environment.gauge("shares.move.ms.p50", times.medianMs());
    environment.gauge("shares.move.ms.p99", times.p99Ms());
  }

  /**
   * Creates a move that no operator has ordered.
   *
   * @param offset the number of moves before it in the same plan, added to the next move number
   */
  private Move newMove(int offset, MachineName machine, ShardId to, SharesState state) {
    MoveId id = new MoveId(state.nextMove() + offset);
    return fleet.machine(machine).moveTo(to, id, "", environment.wallMs());
  }

  /** Plans to move machines that were reported as misplaced back to the shards that report them. */
  private List<Move> planReclaims(SharesState state) {
    List<Move> moves = new ArrayList<>();
    reports
        .pollMisplaced()
        .forEach(
            (name, shard) -> {
              FleetMachine machine = fleet.machine(name);
              boolean isMisplaced = machine != null && !machine.shard().equals(shard);
              boolean isFree = isMisplaced && state.activeMoveOf(name) == null;
              if (isFree && moves.size() < capacity.remaining(state)) {
                environment.info(
                    "machine.reclaimed machine=%s shard=%s assigned_to=%s",
                    name, shard, machine.shard());
                moves.add(newMove(moves.size(), name, shard, state));
              }
            });
    return moves;
  }

  private List<Move> planAutomaticMoves(
      Map<ShardId, Double> currentCpus, Map<ShardId, ShardDemand> demands, SharesState state) {
    int limit = Math.min(settings.movesAtOnce() - state.active().size(), capacity.remaining(state));
    if (limit <= 0) {
      return List.of();
    }
    PlanningInput input =
        new PlanningInput(
            targets,
            currentCpus,
            demands,
            receivers(currentCpus, demands),
            machine -> !times.isCoolingDown(machine) && state.activeMoveOf(machine) == null);
    MovePlanner planner = new MovePlanner(input, fleet.machines(), settings.tolerance());
    List<Move> moves = new ArrayList<>();
    for (PlannedMove planned : planner.plan(limit)) {
      moves.add(newMove(moves.size(), planned.machine(), planned.to(), state));
    }
    return moves;
  }

  /**
   * Returns the shards that may receive machines: those with waiting tasks that have been below
   * their targets for the settle time of the settings. The settle time keeps machines from moving
   * because of a short peak.
   */
  private Set<ShardId> receivers(
      Map<ShardId, Double> currentCpus, Map<ShardId, ShardDemand> demands) {
    MonotonicTime now = environment.now();
    Set<ShardId> receivers = new HashSet<>();
    targets.forEach(
        (shard, target) -> {
          ShardDemand demand = demands.get(shard);
          boolean hasDeficit =
              demand != null && demand.totalWaiting() > 0 && target > currentCpus.get(shard);
          if (!hasDeficit) {
            deficitSince.remove(shard);
            return;
          }
          MonotonicTime since = deficitSince.computeIfAbsent(shard, absent -> now);
          if (now.since(since) >= settings.settleS() * MS_PER_S) {
            receivers.add(shard);
          }
        });
    return receivers;
  }
}
