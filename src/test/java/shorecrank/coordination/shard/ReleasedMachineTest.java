package shorecrank.coordination.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import shorecrank.coordination.model.JobBuilder;
import shorecrank.protocol.Ids.MachineName;

/** Tests a takeover of records that name attempts on machines that were released before. */
class ReleasedMachineTest {
  private static final JobBuilder JOB = JobBuilder.job(7).tasks(2, 1, 0);

  /** Guards against jobs that wait for the lease of a worker whose machine is gone. */
  @Test
  void tasksOnAMachineThatWasReleasedBeforeTheRecordsWereReadStartElsewhere() {
    MachineName released = ShardOwnerDriver.machineName(2);
    ShardOwnerDriver shard =
        new ShardOwnerDriver(List.of(JOB.recordOn(released, 2)), List.of(released));
    shard.addMachines(1);
    shard.runRounds();
    assertEquals(2, shard.machine(1).attempts().size(), "attempts on the other machine");
  }
}
