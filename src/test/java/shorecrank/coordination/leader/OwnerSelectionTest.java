package shorecrank.coordination.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static shorecrank.coordination.leader.LeaderSteps.N1;
import static shorecrank.coordination.leader.LeaderSteps.N2;
import static shorecrank.coordination.leader.LeaderSteps.N3;
import static shorecrank.coordination.leader.LeaderSteps.N4;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.rollout.FeatureGate;

/**
 * Tests that shards are spread over controllers, then over zones, and that only controllers which
 * can serve a shard are chosen.
 */
class OwnerSelectionTest {
  private static final ShardId FIRST = new ShardId(0);
  private static final ShardId SECOND = new ShardId(1);

  private final LeaderSteps steps = new LeaderSteps();
  private final OwnerSelection selection =
      new OwnerSelection(
          steps.context,
          steps.loadedTerm,
          steps.shards,
          steps.controllers,
          new RolloutView(steps.context, null, new FeatureGate()));

  private void receiveHeartbeats(ControllerName... controllers) {
    for (ControllerName controller : controllers) {
      steps.receiveHeartbeat(controller, true, Map.of());
    }
  }

  private void assertChosen(ControllerName expected, ShardId shard) {
    steps.step(
        () ->
            assertEquals(Optional.ofNullable(expected), selection.choose(steps.shards.get(shard))));
  }

  private void assignOwner(ShardId shard, ControllerName owner) {
    steps.step(
        () ->
            steps
                .shards
                .get(shard)
                .assignOwner(
                    owner, LeaderSteps.writer(owner), new Epoch(1), steps.shards.latestLeaseEnd()));
  }

  @Test
  void prefersOthersToLeader() {
    receiveHeartbeats(N1, N2);
    assertChosen(N2, FIRST);
  }

  @Test
  void prefersLeaderToControllerWithShard() {
    receiveHeartbeats(N1, N2);
    assignOwner(SECOND, N2);
    assertChosen(N1, FIRST);
  }

  @Test
  void prefersZoneWithoutShard() {
    receiveHeartbeats(N1, N2, N3);
    assignOwner(SECOND, N1);
    assertChosen(N3, FIRST);
  }

  @Test
  void skipsControllersWithoutStateService() {
    receiveHeartbeats(N1, N3);
    steps.receiveHeartbeat(N2, false, Map.of());
    steps.receiveHeartbeat(N3, false, Map.of());
    assertChosen(N1, FIRST);
  }

  @Test
  void skipsControllersWithoutRecentHeartbeat() {
    receiveHeartbeats(N1, N2);
    steps.after(4600, () -> {});
    receiveHeartbeats(N1);
    assertChosen(N1, FIRST);
  }

  @Test
  void awaitsOtherControllersAtStartOfTerm() {
    receiveHeartbeats(N1);
    assertChosen(null, FIRST);
    steps.after(1500, () -> {});
    assertChosen(null, FIRST);
    steps.after(1, () -> {});
    assertChosen(N1, FIRST);
  }

  @Test
  void avoidsUnreachableOwnerAndUnreachableZones() {
    assignOwner(FIRST, N2);
    steps.step(() -> steps.shards.get(FIRST).revokeUnreachable(List.of("b"), steps.context.now()));
    receiveHeartbeats(N1, N2, N3, N4);
    assignOwner(SECOND, N4);
    assertChosen(N4, FIRST);
    steps.after(60_000, () -> {});
    receiveHeartbeats(N1, N2, N3, N4);
    assertChosen(N2, FIRST);
  }
}
