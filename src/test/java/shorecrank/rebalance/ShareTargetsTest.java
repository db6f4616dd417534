package shorecrank.rebalance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShardDemandMessages.ShardDemand;
import shorecrank.rebalance.ShareTargets.ShardInput;
import shorecrank.rebalance.TeamShares.ShardShare;

/**
 * Tests the targets that {@link ShareTargets} computes from shares, demand and current processors.
 */
class ShareTargetsTest {
  private static final double NO_MAXIMUM = Double.POSITIVE_INFINITY;
  private static final ShardId A = new ShardId(0);
  private static final ShardId B = new ShardId(1);
  private static final Offer OFFER = new Offer("p8", "a", true);

  private static ShardDemand demand(
      double running, double urgent, double low, double guaranteed, double oldestS) {
    return new ShardDemand(
        running,
        running,
        List.of(0.0, urgent, 0.0, low),
        guaranteed,
        oldestS,
        List.of(OFFER),
        List.of(),
        List.of(),
        List.of());
  }

  private static ShardShare share(double weight, double min, double max) {
    return new ShardShare(weight, min, max);
  }

  private static void assertTargets(
      double capacity, ShardInput inputA, ShardInput inputB, double targetA, double targetB) {
    Map<ShardId, Double> targets = ShareTargets.compute(capacity, Map.of(A, inputA, B, inputB));
    assertEquals(targetA, targets.get(A), 0.01);
    assertEquals(targetB, targets.get(B), 0.01);
  }

  @Test
  void shardsWithUnlimitedDemandGetProcessorsByWeight() {
    ShardDemand unlimited = demand(0, 1000, 0, 0, 0);
    assertTargets(
        90,
        new ShardInput(share(2, 0, NO_MAXIMUM), unlimited, 45),
        new ShardInput(share(1, 0, NO_MAXIMUM), unlimited, 45),
        60,
        30);
  }

  @Test
  void lowPriorityBacklogYieldsToUrgentWork() {
    assertTargets(
        160,
        new ShardInput(share(1, 0, NO_MAXIMUM), demand(160, 0, 840, 0, 0), 160),
        new ShardInput(share(1, 0, NO_MAXIMUM), demand(0, 80, 0, 0, 0), 0),
        80,
        80);
  }

  @Test
  void minimumsComeBeforeGuaranteesAndGuaranteesBeforeWeights() {
    ShardDemand unlimited = demand(0, 1000, 0, 0, 0);
    ShardDemand guaranteed = demand(0, 0, 50, 50, 0);
    assertTargets(
        60,
        new ShardInput(share(100, 0, NO_MAXIMUM), unlimited, 60),
        new ShardInput(share(1, 0, NO_MAXIMUM), guaranteed, 0),
        10,
        50);
    assertTargets(
        60,
        new ShardInput(share(100, 20, NO_MAXIMUM), unlimited, 60),
        new ShardInput(share(1, 0, NO_MAXIMUM), guaranteed, 0),
        20,
        40);
  }

  @Test
  void minimumsAreCutByWeightWhenCapacityIsTooSmall() {
    ShardDemand none = demand(0, 0, 0, 0, 0);
    assertTargets(
        40,
        new ShardInput(share(1, 60, NO_MAXIMUM), none, 20),
        new ShardInput(share(1, 20, NO_MAXIMUM), none, 20),
        20,
        20);
  }

  @Test
  void noShardGetsMoreThanItsMaximum() {
    ShardDemand unlimited = demand(0, 1000, 0, 0, 0);
    assertTargets(
        80,
        new ShardInput(share(5, 0, 16), unlimited, 40),
        new ShardInput(share(1, 0, NO_MAXIMUM), unlimited, 40),
        16,
        64);
  }

  @Test
  void shardsKeepUnneededProcessorsAndShardsWithoutReportKeepAll() {
    ShardDemand none = demand(0, 0, 0, 0, 0);
    assertTargets(
        80,
        new ShardInput(share(1, 0, NO_MAXIMUM), none, 64),
        new ShardInput(share(1, 0, NO_MAXIMUM), none, 16),
        64,
        16);
    assertTargets(
        80,
        new ShardInput(share(1, 0, NO_MAXIMUM), null, 64),
        new ShardInput(share(1, 0, NO_MAXIMUM), demand(16, 16, 0, 0, 0), 16),
        64,
        16);
  }

  @Test
  void longWaitRaisesAShardsWeight() {
    ShardDemand recent = demand(0, 1000, 0, 0, 0);
    ShardDemand longWaiting = demand(0, 1000, 0, 0, 240);
    assertTargets(
        100,
        new ShardInput(share(1, 0, NO_MAXIMUM), recent, 50),
        new ShardInput(share(1, 0, NO_MAXIMUM), longWaiting, 50),
        20,
        80);
  }

  @Test
  void targetsAlwaysSumUpToTheCapacity() {
    Random random = new Random(7);
    for (int i = 0; i < 2000; i++) {
      Map<ShardId, ShardInput> inputs = new TreeMap<>();
      int shards = 1 + random.nextInt(8);
      for (int shard = 0; shard < shards; shard++) {
        double min = random.nextInt(3) * 10;
        double max = random.nextBoolean() ? NO_MAXIMUM : min + random.nextInt(50);
        ShardDemand demand =
            random.nextInt(5) == 0
                ? null
                : demand(
                    random.nextInt(90),
                    random.nextInt(200),
                    random.nextInt(200),
                    random.nextInt(60),
                    random.nextInt(300));
        inputs.put(
            new ShardId(shard),
            new ShardInput(share(random.nextInt(4), min, max), demand, random.nextInt(100)));
      }
      double capacity = random.nextInt(400);
      Map<ShardId, Double> targets = ShareTargets.compute(capacity, inputs);
      double sum = targets.values().stream().mapToDouble(Double::doubleValue).sum();
      assertEquals(capacity, sum, 0.01, inputs.toString());
      assertTrue(targets.values().stream().allMatch(target -> target >= -1e-9), targets.toString());
    }
  }
}
