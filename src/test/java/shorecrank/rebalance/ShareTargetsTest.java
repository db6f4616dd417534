package shorecrank.rebalance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShareMessages.Candidate;
import shorecrank.protocol.ShareMessages.ShardDemand;
import shorecrank.rebalance.MovePlanner.Planned;
import shorecrank.rebalance.MovePlanner.Situation;
import shorecrank.rebalance.ShareFleet.FleetMachine;
import shorecrank.rebalance.ShareTargets.Claim;
import shorecrank.rebalance.TeamShares.ShardShare;

/** The targets of shards follow from shares and demand, and moves from targets. */
class ShareTargetsTest {
  private static final double NO_BOUND = Double.POSITIVE_INFINITY;
  private static final ShardId A = new ShardId(0);
  private static final ShardId B = new ShardId(1);
  private static final Offer KIND = new Offer("p8", "a", true);

  private static ShardDemand demand(
      double running, double urgent, double low, double guaranteed, double oldestS) {
    return demand(running, urgent, low, guaranteed, oldestS, List.of());
  }

  private static ShardDemand demand(
      double running,
      double urgent,
      double low,
      double guaranteed,
      double oldestS,
      List<Candidate> candidates) {
    return new ShardDemand(
        running,
        running,
        List.of(0.0, urgent, 0.0, low),
        guaranteed,
        oldestS,
        List.of(KIND),
        candidates,
        List.of(),
        List.of());
  }

  private static ShardShare share(double weight, double min, double max) {
    return new ShardShare(weight, min, max);
  }

  private static void assertTargets(
      double capacity, Claim claimA, Claim claimB, double targetA, double targetB) {
    Map<ShardId, Double> targets = ShareTargets.compute(capacity, Map.of(A, claimA, B, claimB));
    assertEquals(targetA, targets.get(A), 0.01);
    assertEquals(targetB, targets.get(B), 0.01);
  }

  @Test
  void shardsThatWantAllGetProcessorsByWeight() {
    ShardDemand all = demand(0, 1000, 0, 0, 0);
    assertTargets(
        90,
        new Claim(share(2, 0, NO_BOUND), all, 45),
        new Claim(share(1, 0, NO_BOUND), all, 45),
        60,
        30);
  }

  @Test
  void lowPriorityBacklogLeavesWhatUrgentWorkNeeds() {
    assertTargets(
        160,
        new Claim(share(1, 0, NO_BOUND), demand(160, 0, 840, 0, 0), 160),
        new Claim(share(1, 0, NO_BOUND), demand(0, 80, 0, 0, 0), 0),
        80,
        80);
  }

  @Test
  void minimumsComeBeforeGuaranteesAndGuaranteesBeforeWeights() {
    ShardDemand all = demand(0, 1000, 0, 0, 0);
    ShardDemand owed = demand(0, 0, 50, 50, 0);
    assertTargets(
        60,
        new Claim(share(100, 0, NO_BOUND), all, 60),
        new Claim(share(1, 0, NO_BOUND), owed, 0),
        10,
        50);
    assertTargets(
        60,
        new Claim(share(100, 20, NO_BOUND), all, 60),
        new Claim(share(1, 0, NO_BOUND), owed, 0),
        20,
        40);
  }

  @Test
  void minimumsShrinkTogetherWhereMachinesAreLost() {
    ShardDemand none = demand(0, 0, 0, 0, 0);
    assertTargets(
        40,
        new Claim(share(1, 60, NO_BOUND), none, 20),
        new Claim(share(1, 20, NO_BOUND), none, 20),
        20,
        20);
  }

  @Test
  void noShardGetsMoreThanItsMaximum() {
    ShardDemand all = demand(0, 1000, 0, 0, 0);
    assertTargets(
        80, new Claim(share(5, 0, 16), all, 40), new Claim(share(1, 0, NO_BOUND), all, 40), 16, 64);
  }

  @Test
  void unneededProcessorsAndThoseOfUnheardOwnersStay() {
    ShardDemand none = demand(0, 0, 0, 0, 0);
    assertTargets(
        80,
        new Claim(share(1, 0, NO_BOUND), none, 64),
        new Claim(share(1, 0, NO_BOUND), none, 16),
        64,
        16);
    assertTargets(
        80,
        new Claim(share(1, 0, NO_BOUND), null, 64),
        new Claim(share(1, 0, NO_BOUND), demand(16, 16, 0, 0, 0), 16),
        64,
        16);
  }

  @Test
  void shardThatHasWaitedLongCountsMore() {
    ShardDemand recent = demand(0, 1000, 0, 0, 0);
    ShardDemand longWaiting = demand(0, 1000, 0, 0, 240);
    assertTargets(
        100,
        new Claim(share(1, 0, NO_BOUND), recent, 50),
        new Claim(share(1, 0, NO_BOUND), longWaiting, 50),
        20,
        80);
  }

  @Test
  void targetsAlwaysSumUpToTheCapacity() {
    Random random = new Random(7);
    for (int i = 0; i < 2000; i++) {
      Map<ShardId, Claim> claims = new TreeMap<>();
      int shards = 1 + random.nextInt(8);
      for (int shard = 0; shard < shards; shard++) {
        double min = random.nextInt(3) * 10;
        double max = random.nextBoolean() ? NO_BOUND : min + random.nextInt(50);
        ShardDemand demand =
            random.nextInt(5) == 0
                ? null
                : demand(
                    random.nextInt(90),
                    random.nextInt(200),
                    random.nextInt(200),
                    random.nextInt(60),
                    random.nextInt(300));
        claims.put(
            new ShardId(shard),
            new Claim(share(random.nextInt(4), min, max), demand, random.nextInt(100)));
      }
      double capacity = random.nextInt(400);
      Map<ShardId, Double> targets = ShareTargets.compute(capacity, claims);
      double sum = targets.values().stream().mapToDouble(Double::doubleValue).sum();
      assertEquals(capacity, sum, 0.01, claims.toString());
      assertTrue(targets.values().stream().allMatch(target -> target >= -1e-9), targets.toString());
    }
  }

  // ---- moves -----------------------------------------------------------------------------------

  private static FleetMachine machine(String name) {
    return new FleetMachine(new MachineName(name), KIND, 8, A, new Epoch(1), MoveId.NONE);
  }

  private static List<String> planned(double presentA, double targetA, int most, String resting) {
    List<FleetMachine> machines = List.of(machine("n-1"), machine("n-2"), machine("n-3"));
    List<Candidate> candidates =
        List.of(
            new Candidate(new MachineName("n-3"), 8, 0),
            new Candidate(new MachineName("n-1"), 8, 2),
            new Candidate(new MachineName("n-2"), 8, 9));
    Situation situation =
        new Situation(
            Map.of(A, targetA, B, 24 - targetA),
            Map.of(A, presentA, B, 24 - presentA),
            Map.of(A, demand(8, 0, 0, 0, 0, candidates), B, demand(0, 24, 0, 0, 0)),
            Set.of(B),
            name -> !name.value().equals(resting));
    return new MovePlanner(situation, machines, 0.1)
        .plan(most).stream().map(Planned::machine).map(MachineName::value).toList();
  }

  @Test
  void machinesThatAreEmptySoonestMoveAndNoMoreThanNeeded() {
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
