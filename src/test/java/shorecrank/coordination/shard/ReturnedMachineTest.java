package shorecrank.coordination.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shorecrank.coordination.model.JobBuilder;
import shorecrank.coordination.step.Output;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.TaskAttemptId;
import shorecrank.protocol.WorkerMessages.ExitReason;
import shorecrank.protocol.WorkerMessages.TaskState;
import shorecrank.protocol.WorkerMessages.TaskStatus;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;
import shorecrank.storage.JobRecord;

/**
 * Tests the tokens for a machine that is removed from its shard and assigned to it again under the
 * same epoch, as when the next leader does not know the machine yet.
 */
class ReturnedMachineTest {
  private static final String ADDRESS = "127.0.0.1:9000";
  private static final JobBuilder JOB = JobBuilder.job(7);

  private ShardOwnerDriver shard;
  private long sequence;

  private void acquire(List<JobRecord> records) {
    shard = new ShardOwnerDriver(records);
    shard.assign(1);
  }

  private WorkerHeartbeat heartbeat(long token, List<TaskStatus> tasks) {
    sequence++;
    return ShardOwnerDriver.heartbeat(1, sequence, new FencingToken(token), ADDRESS, tasks);
  }

  private JsonNode answerTo(long token, List<TaskStatus> tasks) {
    return shard.answerTo(heartbeat(token, tasks)).body();
  }

  private void removeAndAssign(MonotonicTime removedFor) {
    shard.driver().now(() -> shard.owner().machines().removeAssignment(shard.machine(1).name()));
    assertFalse(
        shard.owner().machines().machines().containsKey(ShardOwnerDriver.machineName(1)),
        "the machine is still known");
    shard.driver().after(removedFor.ms(), shard::runRounds);
    shard.assign(1);
  }

  /**
   * Guards against a late copy of a start that was carried out before: under the token of the
   * answer that reaps the attempt, the worker would start the task again.
   */
  @Test
  void aReapAfterTheReturnHasATokenAboveTheStart() {
    acquire(List.of(JOB.record()));
    long lowest = FencingToken.of(ShardOwnerDriver.EPOCH).value();
    answerTo(lowest, List.of());
    answerTo(lowest, List.of());
    shard.runRounds();
    assertEquals(1, shard.directCommands().size(), "direct commands");
    Output.Call start = shard.directCommands().get(0);
    long startToken = start.body().path("epoch").asLong();
    JsonNode command = start.body().path("orders").path(0);
    TaskAttemptId attempt =
        new TaskAttemptId(JOB.spec().id(), 0, new AttemptNumber(command.path("try").asLong()));
    List<TaskStatus> exited = List.of(new TaskStatus(attempt, TaskState.EXITED, ExitReason.ERROR));
    WorkerHeartbeat heartbeat = heartbeat(startToken, exited);
    shard.driver().now(() -> shard.owner().handleHeartbeat(0, heartbeat, true));
    removeAndAssign(new MonotonicTime(0));
    long token = startToken;
    for (int i = 0; i < 4; i++) {
      JsonNode answer = answerTo(token, exited);
      token = Math.max(token, answer.path("epoch").asLong());
      if (answer.toString().contains("reap")) {
        assertTrue(token > startToken, "reaped under the token of the start");
        return;
      }
    }
    assertTrue(false, "never reaped");
  }

  /** Guards against answers that the worker drops, so that its machine stays idle. */
  @ParameterizedTest
  @ValueSource(longs = {0, 500_000})
  void answersAfterTheReturnHaveTokensThatTheWorkerAccepts(long removedForMs) {
    acquire(List.of());
    long seen = FencingToken.of(ShardOwnerDriver.EPOCH).value();
    answerTo(seen, List.of());
    seen += 3;
    answerTo(seen, List.of());
    removeAndAssign(new MonotonicTime(removedForMs));
    long token = answerTo(seen, List.of()).path("epoch").asLong();
    assertTrue(token >= seen, token - seen + " above the token seen");
  }
}
