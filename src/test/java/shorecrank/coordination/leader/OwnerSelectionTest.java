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

  private void heard(ControllerName... controllers) {
    for (ControllerName controller : controllers) {
      steps.heard(controller, true, Map.of());
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
                    owner, LeaderSteps.writer(owner), new Epoch(1), steps.shards.leaseBound()));
  }

  @Test
  void ratherAnotherThanTheLeader() {
    heard(N1, N2);
    chosen(N2, FIRST);
  }

  @Test
  void ratherTheLeaderThanOneWithAShard() {
    heard(N1, N2);
    own(SECOND, N2);
    chosen(N1, FIRST);
  }

  @Test
  void ratherInAZoneWithoutAShard() {
    heard(N1, N2, N3);
    own(SECOND, N1);
    chosen(N3, FIRST);
  }

  @Test
  void noneWithoutTheStateService() {
    heard(N1, N3);
    steps.heard(N2, false, Map.of());
    steps.heard(N3, false, Map.of());
    chosen(N1, FIRST);
  }

  @Test
  void noneThatIsSilent() {
    heard(N1, N2);
    steps.after(4600, () -> {});
    heard(N1);
    chosen(N1, FIRST);
  }

  @Test
  void othersAreAwaitedForAMomentAtTheBeginningOfATerm() {
    heard(N1);
    chosen(null, FIRST);
    steps.after(1500, () -> {});
    chosen(null, FIRST);
    steps.after(1, () -> {});
    chosen(N1, FIRST);
  }

  @Test
  void notAgainTheOwnerThatWorkersDidNotReachNorItsZoneOrTheirs() {
    own(FIRST, N2);
    steps.step(() -> steps.shards.get(FIRST).revokeUnreached(List.of("b"), steps.context.now()));
    heard(N1, N2, N3, N4);
    own(SECOND, N4);
    chosen(N4, FIRST);
    steps.after(60_000, () -> {});
    heard(N1, N2, N3, N4);
    chosen(N2, FIRST);
  }
}
