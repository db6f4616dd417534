package shorecrank.coordination.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static shorecrank.coordination.leader.LeaderSteps.N1;
import static shorecrank.coordination.leader.LeaderSteps.N2;
import static shorecrank.coordination.leader.LeaderSteps.N3;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import shorecrank.protocol.HeartbeatMessages.WorkerReachability;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.ShardId;

/**
 * Tests that an owner is replaced for workers that it doesn't hear only if other controllers hear
 * them.
 */
class OwnerFailureDetectorTest {
  private static final ShardId SHARD = new ShardId(0);

  private final LeaderSteps steps = new LeaderSteps();
  private final OwnerFailureDetector failureDetector =
      new OwnerFailureDetector(steps.context, steps.controllers);

  private void assignOwnerN2() {
    steps.step(
        () ->
            steps
                .shards
                .get(SHARD)
                .assignOwner(
                    N2, LeaderSteps.writer(N2), new Epoch(1), steps.shards.latestLeaseEnd()));
  }

  private void assertUnreachableForWorkers(boolean expected, WorkerReachability workers) {
    steps.step(
        () ->
            assertEquals(
                expected,
                failureDetector.isUnreachableForWorkers(SHARD, steps.shards.get(SHARD), workers)));
  }

  @ParameterizedTest
  @CsvSource({
    // workers that owner n2 should hear, how many of them it does not hear, zones that are
    // unreachable for n2, how many of its workers n3 hears, whether n2 is taken as unreachable
    "10, 5, a, 3, true",
    "10, 5, a, 2, false",
    "10, 1, a, 9, false",
    "11, 2, a, 9, false",
    "10, 2, a, 9, true",
    "10, 5, b, 5, false",
    "10, 7, b, 7, true",
    "10, 5, a b, 5, false",
  })
  void detectsOwnerWhoseWorkersAreHeardByN3(
      int expected,
      int unheard,
      String zones,
      int heardElsewhere,
      boolean isUnreachableForWorkers) {
    assignOwnerN2();
    steps.receiveHeartbeat(N2, true, Map.of());
    steps.receiveHeartbeat(N3, true, Map.of(SHARD, heardElsewhere));

    List<String> unreachableZones = Arrays.asList(zones.split(" "));
    assertUnreachableForWorkers(
        isUnreachableForWorkers, new WorkerReachability(expected, unheard, unreachableZones));
  }

  @Test
  void ownerIsNotReplacedAgainWithinPause() {
    assignOwnerN2();
    steps.step(() -> steps.shards.get(SHARD).revokeUnreachable(List.of(), steps.context.now()));
    WorkerReachability workers = new WorkerReachability(10, 5, List.of("a"));

    steps.after(19_999, () -> {});
    steps.receiveHeartbeat(N3, true, Map.of(SHARD, 5));
    assertUnreachableForWorkers(false, workers);
    steps.after(1, () -> {});
    assertUnreachableForWorkers(true, workers);
  }

  @ParameterizedTest
  @CsvSource({
    // n1 reaches the state service, ms since n2 lost it, n2 has to be replaced
    "true, 2000, false",
    "true, 2001, true",
    "false, 2001, false",
  })
  void detectsOwnerWithoutStateServiceWhileLeaderReachesIt(
      boolean leaderReachesStore, long sinceMs, boolean isLacking) {
    steps.receiveHeartbeat(N1, leaderReachesStore, Map.of());
    steps.receiveHeartbeat(N2, false, Map.of());
    steps.after(
        sinceMs,
        () ->
            assertEquals(
                isLacking, failureDetector.lacksStateService(N2, steps.controllers.get(N2))));
  }
}
