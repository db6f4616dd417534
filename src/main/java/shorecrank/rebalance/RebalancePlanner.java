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
 * Computes how many processors each shard should have, and which moves begin: machines that run
 * another shard's tasks go back to that shard; if there are none, machines move by need.
 */
final class RebalancePlanner {
  /** What a machine counts beside its processors where a new machine's shard is chosen. */
  private static final double TIE_BREAK_CPUS = 1e-6;

  private static final double MS_PER_S = 1000;

  private final LeaderEnvironment environment;
  private final FleetAssignments fleet;
  private final ShareSettings settings;
  private final TeamShares teams;
  private final OwnerReports reports;
  private final MoveTimes times;
  private final MoveCapacity capacity;

  /** Since when a shard has lacked machines. */
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

  /** The processors that each shard should have, as last computed. */
  Map<ShardId, Double> targets() {
    return targets;
  }

  /** The shard that lacks the largest processors; of equals, that with the fewest machines. */
  ShardId shardForNewMachine(SharesState state) {
    Map<ShardId, Double> currentCpus = currentCpus(state);
    // While machine types are not known, machines have no processors, but still count.
    fleet
        .machines()
        .forEach(machine -> currentCpus.merge(machine.shard(), TIE_BREAK_CPUS, Double::sum));
    ShardId best = new ShardId(0);
    double limit = Double.NEGATIVE_INFINITY;
    for (int i = 0; i < fleet.shardCount(); i++) {
      ShardId shard = new ShardId(i);
      double deficit = targets.getOrDefault(shard, 0.0) - currentCpus.getOrDefault(shard, 0.0);
      if (deficit > limit) {
        limit = deficit;
        best = shard;
      }
    }
    return best;
  }

  /**
   * Computes the targets anew, and the moves that begin now.
   *
   * @param reasonsAgainstMoves why no move by need may begin; asked only if one might
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
              demand.ifPresent(known -> demands.put(shard, known));
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

  /** Processors by shard, with moves under way counted at the shard that they lead to. */
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

  /** A move without an operator's order; {@code offset} counts those that begin before it. */
  private Move newMove(int offset, MachineName machine, ShardId to, SharesState state) {
    MoveId id = new MoveId(state.nextMove() + offset);
    return fleet.machine(machine).moveTo(to, id, "", environment.wallMs());
  }

  /** Moves of machines on which tasks of a shard may run, back to that shard. */
  private List<Move> planReclaims(SharesState state) {
    List<Move> moves = new ArrayList<>();
    reports
        .pollMisplaced()
        .forEach(
            (name, shard) -> {
              FleetMachine machine = fleet.machine(name);
              boolean isElsewhere = machine != null && !machine.shard().equals(shard);
              boolean isFree = isElsewhere && state.activeMoveOf(name) == null;
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

  /** Shards that have lacked machines for long enough, and have tasks waiting. */
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
