package shorecrank.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import shorecrank.coordination.step.StepDriver;
import shorecrank.protocol.HeartbeatMessages.HeartbeatAnswer;
import shorecrank.protocol.HeartbeatMessages.MachineAssignment;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;

/**
 * Tests what is reported to the leader about workers whose machines this controller does not own.
 */
class ForeignWorkersTest {
  private final StepDriver driver = new StepDriver();
  private final ForeignWorkers foreignWorkers = new ForeignWorkers(driver.context());

  private static MachineInfo machine(int number) {
    return new MachineInfo(new MachineName("h" + number), "c8", "a", false);
  }

  private static MachineAssignments assigned(int number, ShardId shard) {
    MachineAssignments assignments = new MachineAssignments();
    MachineAssignment assignment =
        new MachineAssignment(machine(number), shard, 0, Epoch.NONE, false, MoveId.NONE);
    assignments.update(
        new HeartbeatAnswer(
            1,
            true,
            List.of(),
            List.of(),
            1,
            true,
            List.of(assignment),
            List.of(),
            List.of(),
            List.of(),
            null));
    return assignments;
  }

  @Test
  void machinesThatExceedTheMessageLimitAreLeftForTheNextMessage() {
    for (int number = 0; number < 501; number++) {
      foreignWorkers.addUnassigned(machine(number));
    }
    foreignWorkers.addUnassigned(machine(500));
    assertEquals(500, foreignWorkers.pollUnassigned().size());
    assertTrue(foreignWorkers.hasUnassigned());
    assertEquals(List.of(machine(500)), foreignWorkers.pollUnassigned());
    assertFalse(foreignWorkers.hasUnassigned());
  }

  @Test
  void aMisroutedWorkerCountsForEightSecondsIfItsMachineIsAssigned() {
    ShardId shard = new ShardId(0);
    driver.now(
        () -> {
          foreignWorkers.addMisrouted(machine(1).name());
          foreignWorkers.addMisrouted(machine(2).name());
        });
    MachineAssignments assignments = assigned(1, shard);
    driver.after(
        8000, () -> assertEquals(Map.of(shard, 1), foreignWorkers.countMisrouted(assignments)));
    driver.after(1, () -> assertEquals(Map.of(), foreignWorkers.countMisrouted(assignments)));
  }
}
