package shorecrank.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import shorecrank.coordination.step.StepDriver;
import shorecrank.protocol.HeartbeatMessages.OwnerInfo;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.ShardId;

/**
 * Tests which controller the table returns as a shard's owner, and when it reads the state service.
 */
class OwnerTableTest {
  private static final ShardId SHARD = new ShardId(0);

  private final StepDriver driver = new StepDriver();
  private final List<OwnerInfo> observed = new ArrayList<>();
  private final OwnerTable owners = new OwnerTable(driver.context(), observed::add);

  private static OwnerInfo owner(String label, long epoch) {
    return new OwnerInfo(SHARD, new ControllerName(label), new Epoch(epoch));
  }

  @Test
  void anOwnerAtALowerOrTheSameEpochChangesNothing() {
    owners.observe(owner("n2", 5));
    owners.observe(owner("n3", 5));
    owners.observe(owner("n3", 4));
    assertEquals(owner("n2", 5), owners.find(SHARD));
    owners.observe(owner("n3", 6));
    assertEquals(owner("n3", 6), owners.find(SHARD));
    assertEquals(4, observed.size());
  }

  @Test
  void theLeadersAnswerReplacesAllKnownOwners() {
    owners.observe(owner("n2", 5));
    owners.replaceAll(List.of(owner("n3", 4)));
    assertEquals(owner("n3", 4), owners.find(SHARD));
    owners.replaceAll(List.of());
    assertNull(owners.find(SHARD));
  }

  @Test
  void thisControllerIsNotFoundAsAnotherOwner() {
    assertEquals(Optional.empty(), owners.findOther(SHARD));
    owners.observe(owner("n1", 5));
    assertEquals(Optional.empty(), owners.findOther(SHARD));
    owners.observe(owner("n2", 6));
    assertEquals(Optional.of(new ControllerName("n2")), owners.findOther(SHARD));
  }

  @Test
  void theOwnersAreReadFromTheStoreOnlyWhileTheLeaderDoesNotAnswer() {
    driver.now(owners::recordLeaderContact);
    driver.after(2499, owners::tick);
    assertEquals(List.of(), driver.openPaths());
    driver.after(1, owners::tick);
    driver.after(100, owners::tick);
    assertEquals(List.of("/store?prefix=part/&page=200"), driver.openPaths());
  }

  @Test
  void theNextReadIsDelayedByAPause() {
    driver.now(owners::tick);
    assertFalse(owners.hasLeaderContact());
    driver.answer(0);
    driver.after(799, owners::tick);
    assertEquals(List.of(), driver.openPaths());
    driver.after(401, owners::tick);
    assertEquals(1, driver.openCalls().size());
  }
}
