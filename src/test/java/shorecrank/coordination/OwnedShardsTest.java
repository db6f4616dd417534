package shorecrank.coordination;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.model.JobBuilder;
import shorecrank.coordination.step.StepDriver;
import shorecrank.protocol.HeartbeatMessages.HeartbeatAnswer;
import shorecrank.protocol.HeartbeatMessages.Lease;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Json;
import shorecrank.rollout.FeatureGate;
import shorecrank.storage.JobRecord;

/** Tests what a process keeps for the shards that it is granted later. */
class OwnedShardsTest {
  private static final ShardId SHARD = new ShardId(0);
  private static final MachineName GONE = new MachineName("m-1");
  private static final MachineName UP = new MachineName("m-2");

  private final StepDriver driver = new StepDriver();
  private final OwnedShards shards =
      new OwnedShards(
          driver.context(),
          new CancellationLog(driver.context(), id -> {}, other -> {}),
          new FeatureGate(),
          new MachineAssignments(),
          false);

  private static HeartbeatAnswer answerWithReleased(List<MachineName> released) {
    return new HeartbeatAnswer(
        1, true, List.of(), List.of(), 1, false, List.of(), List.of(), released, List.of(), null);
  }

  private static ObjectNode pageWithTasksOn(MachineName... machines) {
    ObjectNode page = Json.object().put("ledgerRev", 10).put("truncated", false);
    for (int number = 1; number <= machines.length; number++) {
      JobRecord record = JobBuilder.job(number).recordOn(machines[number - 1], 1);
      page.withArray("entries")
          .addObject()
          .put("k", JobRecord.liveKey(record.spec().id()))
          .put("stamp", 3)
          .set("data", record.write());
    }
    return page;
  }

  /** Guards against jobs that wait for the lease of a worker whose machine is gone. */
  @Test
  void aMachineReleasedBeforeTheGrantHoldsNoTasksAfterIt() {
    driver.now(() -> shards.updateMachines(answerWithReleased(List.of(GONE))));
    driver.now(() -> shards.accept(new Lease(SHARD, new Epoch(5), 8000), driver.context().now()));
    driver.answer(200, pageWithTasksOn(GONE, UP));
    driver.now(() -> shards.tick(() -> false));
    String written = driver.openCalls().stream().map(call -> "" + call.body()).toList().toString();
    assertTrue(written.contains(UP.value()), "tasks on the machine that is up: " + written);
    assertFalse(written.contains(GONE.value()), "tasks on the released machine: " + written);
  }
}
