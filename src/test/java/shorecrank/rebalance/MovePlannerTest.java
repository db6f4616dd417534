package shorecrank.rebalance;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShardDemandMessages.DrainCandidate;
import shorecrank.protocol.ShardDemandMessages.ShardDemand;
import shorecrank.rebalance.FleetAssignments.FleetMachine;
import shorecrank.rebalance.MovePlanner.PlannedMove;
import shorecrank.rebalance.MovePlanner.PlanningInput;

/** Tests which machines {@link MovePlanner} moves to bring shards closer to their targets. */
class MovePlannerTest {
  private static final ShardId A = new ShardId(0);
  private static final ShardId B = new ShardId(1);
  private static final Offer OFFER = new Offer("p8", "a", true);

  private static ShardDemand demand(
      double running, double urgent, List<DrainCandidate> candidates) {
    return new ShardDemand(
        running,
        running,
        List.of(0.0, urgent, 0.0, 0.0),
        0,
        0,
        List.of(OFFER),
        candidates,
        List.of(),
        List.of());
  }

  private static FleetMachine machine(String name) {
    return new FleetMachine(new MachineName(name), OFFER, 8, A, new Epoch(1), MoveId.NONE);
  }

  private static List<String> planned(
      double currentCpusA, double targetA, int limit, String coolingDown) {
    List<FleetMachine> machines = List.of(machine("n-1"), machine("n-2"), machine("n-3"));
    List<DrainCandidate> candidates =
        List.of(
            new DrainCandidate(new MachineName("n-3"), 8, 0),
            new DrainCandidate(new MachineName("n-1"), 8, 2),
            new DrainCandidate(new MachineName("n-2"), 8, 9));
    PlanningInput input =
        new PlanningInput(
            Map.of(A, targetA, B, 24 - targetA),
            Map.of(A, currentCpusA, B, 24 - currentCpusA),
            Map.of(A, demand(8, 0, candidates), B, demand(0, 24, List.of())),
            Set.of(B),
            name -> !name.value().equals(coolingDown));
    return new MovePlanner(input, machines, 0.1)
        .plan(limit).stream().map(PlannedMove::machine).map(MachineName::value).toList();
  }

  @Test
  void soonestEmptyMachinesMoveAndNoMoreThanNeeded() {
    assertEquals(List.of("n-3", "n-1"), planned(24, 8, 9, ""));
    assertEquals(List.of("n-3"), planned(24, 8, 1, ""));
    assertEquals(List.of("n-1", "n-2"), planned(24, 8, 9, "n-3"));
  }

  @Test
  void nothingMovesForLessThanHalfAMachineOrWithinTolerance() {
    assertEquals(List.of(), planned(24, 21, 9, ""));
    assertEquals(List.of("n-3"), planned(24, 20, 9, ""));
    assertEquals(List.of(), planned(8, 8, 9, ""));
  }
}
