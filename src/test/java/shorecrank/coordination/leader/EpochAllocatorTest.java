package shorecrank.coordination.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static shorecrank.coordination.leader.LeaderSteps.N2;
import static shorecrank.coordination.leader.LeaderSteps.N3;
import static shorecrank.coordination.leader.LeaderSteps.TERM;
import static shorecrank.coordination.leader.LeaderSteps.writer;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Json;

/**
 * Tests that epochs rise, that one is allocated at a time, and that the last owner of a shard gets
 * no lease while a transaction without an answer may still store the shard's next owner.
 */
class EpochAllocatorTest {
  private static final ShardId SHARD = new ShardId(0);
  private static final Revision COUNTER_REVISION = new Revision(40);

  private final LeaderSteps steps = new LeaderSteps();
  private final List<ShardId> allocated = new ArrayList<>();
  private final Election election = new Election(steps.context, null);
  private final EpochAllocator epochs =
      new EpochAllocator(steps.context, election, steps.loadedTerm, steps.shards, allocated::add);

  private ShardState shard() {
    return steps.shards.get(SHARD);
  }

  private void allocate(ControllerName owner, long lowerBound) {
    steps.step(() -> epochs.allocate(SHARD, shard(), owner, writer(owner), new Epoch(lowerBound)));
  }

  private JsonNode answerCommitted(long revision) {
    return steps.answerState(200, Json.object().put("ledgerRev", revision));
  }

  /** Elects this process as leader, because epochs are allocated only within a term. */
  @BeforeEach
  void winElection() {
    steps.step(election::tick);
    steps.answerState(404, Json.object().put("ledgerRev", TERM.value() - 1));
    steps.step(election::tick);
    steps.answerState(200, Json.object().put("hold", 5));
    answerCommitted(TERM.value());
    assertEquals(TERM, election.term());
    epochs.restore(COUNTER_REVISION, 17);
  }

  @Test
  void committedAllocationAssignsOwner() {
    allocate(N2, 0);
    assertTrue(shard().isAllocating());
    JsonNode sent = answerCommitted(50);

    assertEquals(
        "[{\"k\":\"leader\",\"stamp\":9},{\"k\":\"epoch\",\"stamp\":40}]",
        sent.path("guards").toString());
    assertEquals(new Epoch(18), shard().epoch());
    assertTrue(shard().isOwnedBy(N2));
    assertFalse(shard().isAllocating());
    assertEquals(List.of(SHARD), allocated);
    assertEquals(18, epochs.highest());
  }

  @Test
  void newEpochIsAboveLowerBound() {
    allocate(N2, 30);
    answerCommitted(50);
    assertEquals(new Epoch(31), shard().epoch());
  }

  @Test
  void ignoresAllocationWhileAnotherIsPending() {
    allocate(N2, 0);
    allocate(N3, 0);
    assertEquals(1, steps.pendingStateCalls());
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 500, 504})
  void ownerIsInDoubtAfterUnansweredAllocationUntilNextCommit(int status) {
    allocate(N2, 0);
    answerCommitted(50);
    allocate(N3, 0);
    steps.answerState(status, Json.object());
    assertEquals(Revision.ABSENT, steps.loadedTerm.current());

    reloadWithOwnerN2();
    assertTrue(shard().isVacant());

    allocate(N3, 0);
    answerCommitted(60);
    reloadWithOwnerN2();
    assertFalse(shard().isVacant());
  }

  @ParameterizedTest
  @ValueSource(ints = {400, 409, 429, 503})
  void refusedAllocationLeavesOwnerCertain(int status) {
    allocate(N2, 0);
    answerCommitted(50);
    allocate(N3, 0);
    steps.answerState(status, Json.object());
    assertEquals(Revision.ABSENT, steps.loadedTerm.current());

    reloadWithOwnerN2();
    assertFalse(shard().isVacant());
  }

  private void reloadWithOwnerN2() {
    steps.step(
        () -> {
          steps.shards.reset();
          shard().assignOwner(N2, writer(N2), new Epoch(18), steps.shards.latestLeaseEnd());
          epochs.vacateShardsInDoubt(TERM);
          steps.loadedTerm.markLoaded(TERM);
          epochs.beginTerm();
        });
  }
}
