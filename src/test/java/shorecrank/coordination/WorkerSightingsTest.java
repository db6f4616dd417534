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

/** What the leader is told of workers that came to the wrong controller. */
class WorkerSightingsTest {
  private final StepDriver driver = new StepDriver();
  private final WorkerSightings sightings = new WorkerSightings(driver.context());

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
  void machinesThatDoNotFitIntoAMessageGoWithTheNext() {
    for (int number = 0; number < 501; number++) {
      sightings.addUnassigned(machine(number));
    }
    sightings.addUnassigned(machine(500));
    assertEquals(500, sightings.takeUnassigned().size());
    assertTrue(sightings.hasUnassigned());
    assertEquals(List.of(machine(500)), sightings.takeUnassigned());
    assertFalse(sightings.hasUnassigned());
  }

  @Test
  void aMisroutedWorkerCountsForEightSecondsIfItsMachineIsAssigned() {
    ShardId shard = new ShardId(0);
    driver.now(
        () -> {
          sightings.addMisrouted(machine(1).name());
          sightings.addMisrouted(machine(2).name());
        });
    MachineAssignments assignments = assigned(1, shard);
    driver.after(8000, () -> assertEquals(Map.of(shard, 1), sightings.countMisrouted(assignments)));
    driver.after(1, () -> assertEquals(Map.of(), sightings.countMisrouted(assignments)));
  }
}
