package shorecrank.coordination.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import shorecrank.coordination.model.JobBuilder;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.AttemptRange;

/** Tests a takeover of records that name attempts on machines that were released before. */
class ReleasedMachineTest {
  private static final JobBuilder JOB = JobBuilder.job(7).tasks(2, 1, 0);

  private static JobRecord recordOnMachine(int number) {
    AttemptRange range =
        new AttemptRange(
            0, 2, ShardOwnerDriver.machineName(number), new Incarnation(1), new AttemptNumber(1));
    return new JobRecord(
        JOB.spec(), new Epoch(4), WriterId.NONE, 1, new BitSet(), List.of(range), 1, false, 0, 0);
  }

  /** Guards against jobs that wait for the lease of a worker whose machine is gone. */
  @Test
  void tasksOnAMachineThatWasReleasedBeforeTheRecordsWereReadStartElsewhere() {
    MachineName released = ShardOwnerDriver.machineName(2);
    ShardOwnerDriver shard = new ShardOwnerDriver(List.of(recordOnMachine(2)), List.of(released));
    shard.addMachines(1);
    shard.runRounds();
    assertEquals(2, shard.machine(1).attempts().size(), "attempts on the other machine");
  }
}
