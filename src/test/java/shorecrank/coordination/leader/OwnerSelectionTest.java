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

/** Shards are spread over controllers, then zones, and go to those that can serve them. */
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

  private void chosen(ControllerName expected, ShardId shard) {
    steps.step(
        () ->
            assertEquals(Optional.ofNullable(expected), selection.choose(steps.shards.get(shard))));
  }

  private void own(ShardId shard, ControllerName owner) {
    steps.step(
        () ->
            steps
                .shards
                .get(shard)
                .assignOwner(
                    owner, LeaderSteps.writer(owner), new Epoch(1), steps.shards.latestLeaseEnd()));
  }

  @Test
  void ratherAnotherThanTheLeader() {
    receiveHeartbeats(N1, N2);
    chosen(N2, FIRST);
  }

  @Test
  void ratherTheLeaderThanOneWithAShard() {
    receiveHeartbeats(N1, N2);
    own(SECOND, N2);
    chosen(N1, FIRST);
  }

  @Test
  void ratherInAZoneWithoutAShard() {
    receiveHeartbeats(N1, N2, N3);
    own(SECOND, N1);
    chosen(N3, FIRST);
  }

  @Test
  void noneWithoutTheStateService() {
    receiveHeartbeats(N1, N3);
    steps.receiveHeartbeat(N2, false, Map.of());
    steps.receiveHeartbeat(N3, false, Map.of());
    chosen(N1, FIRST);
  }

  @Test
  void noneThatIsSilent() {
    receiveHeartbeats(N1, N2);
    steps.after(4600, () -> {});
    receiveHeartbeats(N1);
    chosen(N1, FIRST);
  }

  @Test
  void othersAreAwaitedForAMomentAtTheBeginningOfATerm() {
    receiveHeartbeats(N1);
    chosen(null, FIRST);
    steps.after(1500, () -> {});
    chosen(null, FIRST);
    steps.after(1, () -> {});
    chosen(N1, FIRST);
  }

  @Test
  void notAgainTheOwnerThatWorkersDidNotReachNorItsZoneOrTheirs() {
    own(FIRST, N2);
    steps.step(() -> steps.shards.get(FIRST).revokeUnreachable(List.of("b"), steps.context.now()));
    receiveHeartbeats(N1, N2, N3, N4);
    own(SECOND, N4);
    chosen(N4, FIRST);
    steps.after(60_000, () -> {});
    receiveHeartbeats(N1, N2, N3, N4);
    chosen(N2, FIRST);
  }
}
