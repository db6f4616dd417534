package shorecrank.coordination.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import shorecrank.coordination.model.JobBuilder;
import shorecrank.storage.JobRecord;

/** Tests placements of a job with tasks on a machine whose zone the owner does not know yet. */
class UnknownZoneTest {
  private static final int TASKS = 6;
  private static final JobBuilder JOB = JobBuilder.job(7).tasks(TASKS, 1, 0).spreadOverZones();

  private static ShardOwnerDriver takeOver(int tasksOnUnknownMachine) {
    JobRecord record = JOB.recordOn(ShardOwnerDriver.machineName(2), tasksOnUnknownMachine);
    ShardOwnerDriver shard = new ShardOwnerDriver(List.of(record));
    shard.addMachines(1);
    shard.runRounds();
    return shard;
  }

  /** Guards against more than half of a spread job's tasks in one zone after a takeover. */
  @Test
  void tasksInAnUnknownZoneCountForEachZone() {
    assertEquals(0, takeOver(3).machine(1).attempts().size(), "may all be in the machine's zone");
    assertEquals(2, takeOver(1).machine(1).attempts().size(), "three of six in one zone");
  }

  /** The tasks that wait for the zone start once it is known. */
  @Test
  void theOtherTasksStartOnceTheZoneIsKnown() {
    ShardOwnerDriver shard = takeOver(3);
    shard.assign(2, "b");
    shard.runRounds();
    assertEquals(3, shard.machine(1).attempts().size(), "half of the tasks in the other zone");
  }
}
