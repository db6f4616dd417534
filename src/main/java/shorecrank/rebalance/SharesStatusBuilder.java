package shorecrank.rebalance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShardDemandMessages.DrainProgress;
import shorecrank.protocol.ShardDemandMessages.ShardDemand;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.SharesState;
import shorecrank.protocol.ShareStatusMessages.MoveStatus;
import shorecrank.protocol.ShareStatusMessages.ShardStatus;
import shorecrank.protocol.ShareStatusMessages.SharesStatus;
import shorecrank.rebalance.FleetAssignments.FleetMachine;

/**
 * Builds the status of shares and moves that is shown to operators.
 *
 * @param targets the processors that each shard should have
 */
record SharesStatusBuilder(
    FleetAssignments fleet,
    TeamShares teams,
    SharesState state,
    Map<ShardId, Double> targets,
    OwnerReports reports,
    MoveTimes times) {

  /**
   * Returns the status of shares and moves.
   *
   * @param reasonsAgainstMoves the reasons why no move may begin now; empty if moves may begin
   */
  SharesStatus status(List<String> reasonsAgainstMoves) {
    List<ShardStatus> shards = new ArrayList<>();
    for (int i = 0; i < fleet.shardCount(); i++) {
      shards.add(statusOf(new ShardId(i)));
    }
    List<MoveStatus> active = new ArrayList<>();
    for (Move move : state.active()) {
      active.add(new MoveStatus(move, times.ageS(move), blocker(move)));
    }
    return new SharesStatus(
        reasonsAgainstMoves.isEmpty(),
        reasonsAgainstMoves.isEmpty() ? "" : reasonsAgainstMoves.get(0),
        shards,
        active,
        state.ended(),
        teams.allShares(state.teams()),
        times.medianMs(),
        times.p99Ms());
  }

  private ShardStatus statusOf(ShardId shard) {
    int machines = 0;
    double cpus = 0;
    for (FleetMachine machine : fleet.machines()) {
      if (machine.shard().equals(shard)) {
        machines++;
        cpus += machine.cpus();
      }
    }
    Optional<ShardDemand> demand = reports.lastDemand(shard);
    return new ShardStatus(
        shard,
        fleet.owner(shard),
        machines,
        cpus,
        targets.getOrDefault(shard, 0.0),
        demand.map(ShardDemand::running).orElse(0.0),
        demand.map(ShardDemand::totalWaiting).orElse(0.0),
        teams.teamsOf(shard));
  }

  private String blocker(Move move) {
    return switch (move.phase()) {
      case REQUESTED -> "its owner to be told";
      case DRAINING -> drainBlocker(reports.progress(move));
      case HANDED_OVER -> "its new owner to hear it";
      case DONE, ABORTED -> "";
    };
  }

  private static String drainBlocker(DrainProgress progress) {
    if (progress == null) {
      return "its owner's report";
    }
    if (progress.tasks() > 0) {
      return "%d tasks to end, in about %.0f s".formatted(progress.tasks(), progress.emptyInS());
    }
    return "records that may name it to be settled";
  }
}
