package shorecrank.rebalance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShareMessages.Move;
import shorecrank.protocol.ShareMessages.MoveStatus;
import shorecrank.protocol.ShareMessages.ShardDemand;
import shorecrank.protocol.ShareMessages.ShardStatus;
import shorecrank.protocol.ShareMessages.SharesState;
import shorecrank.protocol.ShareMessages.SharesStatus;
import shorecrank.rebalance.ShareFleet.FleetMachine;

/** Puts together what operators are shown. */
record StatusView(
    ShareFleet fleet, TeamShares teams, SharesState state, Map<ShardId, Double> targets) {

  /**
   * The status.
   *
   * @param against why no move may begin now
   * @param demandOf what a shard's owner said last; null if nothing
   */
  SharesStatus of(
      List<String> against,
      Function<ShardId, ShardDemand> demandOf,
      ToDoubleFunction<Move> ageS,
      Function<Move, String> waitsFor,
      Histogram moveTimes) {
    List<ShardStatus> shards = new ArrayList<>();
    for (int i = 0; i < fleet.shards(); i++) {
      ShardId shard = new ShardId(i);
      shards.add(shard(shard, demandOf.apply(shard)));
    }
    List<MoveStatus> active = new ArrayList<>();
    for (Move move : state.active()) {
      active.add(new MoveStatus(move, ageS.applyAsDouble(move), waitsFor.apply(move)));
    }
    return new SharesStatus(
        against.isEmpty(),
        against.isEmpty() ? "" : against.get(0),
        shards,
        active,
        state.ended(),
        teams.all(state.teams()),
        moveTimes.getValueAtPercentile(50),
        moveTimes.getValueAtPercentile(99));
  }

  private ShardStatus shard(ShardId shard, ShardDemand demand) {
    int machines = 0;
    double cpus = 0;
    for (FleetMachine machine : fleet.machines()) {
      if (machine.shard().equals(shard)) {
        machines++;
        cpus += machine.cpus();
      }
    }
    return new ShardStatus(
        shard,
        fleet.owner(shard),
        machines,
        cpus,
        targets.getOrDefault(shard, 0.0),
        demand == null ? 0 : demand.running(),
        demand == null ? 0 : demand.allWaiting(),
        teams.teamsOf(shard));
  }
}
