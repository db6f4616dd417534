package shorecrank.coordination.shard;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.model.JobBuilder;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.MachineBuilder;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.Output;
import shorecrank.coordination.step.StepDriver;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.HeartbeatMessages.MachineAssignment;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.Json;
import shorecrank.protocol.WorkerMessages.TaskStatus;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;
import shorecrank.rollout.FeatureGate;
import shorecrank.storage.JobRecord;

/**
 * Tests that a shard's owner bounds what grows with the number of small tasks, which users choose:
 * its memory and the messages of its workers. Jobs may have 100,000 tasks that take next to nothing
 * of a machine.
 */
class SmallTasksTest {
  /** Largest size, in bytes, of a body and of a line of an answer, by the workers' protocol. */
  private static final int MAX_MESSAGE_BYTES = 64 * 1024;

  /** An attempt takes less than this of the owner's heap, all indexes and messages included. */
  private static final double ATTEMPT_MB = 1.0 / 1024;

  /** The part of a process's memory that attempts of small tasks may take. */
  private static final double ATTEMPTS_MEMORY_FRACTION = 0.25;

  private static final int JOBS = 4;
  private static final int ROUNDS = 20;
  private static final int ROUND_MS = 50;
  private static final Epoch EPOCH = new Epoch(5);
  private static final MachineType TYPE = MachineBuilder.type(8, 0);

  private final StepDriver driver = new StepDriver();
  private ShardOwner owner;

  @BeforeEach
  void acquire() {
    CancellationLog cancellations = new CancellationLog(driver.context(), id -> {}, other -> {});
    driver.after(
        1000,
        () -> {
          owner =
              new ShardOwner(
                  driver.context(),
                  cancellations,
                  new FeatureGate(),
                  ShardId.of("vision", 1),
                  EPOCH,
                  driver.context().now(),
                  false);
          owner.updateCatalog(Map.of(TYPE.name(), TYPE));
          owner.renewLease(EPOCH, new MonotonicTime(10_000_000));
          owner.recover();
        });
  }

  private static JobBuilder smallTasks(int number) {
    return JobBuilder.job(number).tasks(JobSpec.MAX_TASKS, 0.0001, 0).memoryGb(0.0001);
  }

  private void list(List<JobBuilder> jobs) {
    ObjectNode page = Json.object().put("ledgerRev", 10).put("truncated", false);
    ArrayNode entries = page.putArray("entries");
    for (JobBuilder job : jobs) {
      JobRecord record = job.record();
      ObjectNode entry = entries.addObject().put("k", JobRecord.liveKey(record.spec().id()));
      entry.put("stamp", 3).set("data", record.write());
    }
    driver.answer(200, page);
  }

  private void listJobsOfSmallTasks() {
    List<JobBuilder> jobs = new ArrayList<>();
    for (int number = 1; number <= JOBS; number++) {
      jobs.add(smallTasks(number));
    }
    list(jobs);
  }

  private void addMachines(int count) {
    for (int number = 1; number <= count; number++) {
      MachineInfo info = new MachineInfo(machineName(number), TYPE.name(), "a", false);
      MachineAssignment assignment =
          new MachineAssignment(info, new ShardId(0), 0, Epoch.NONE, false, MoveId.NONE);
      driver.now(() -> owner.machines().updateAssignment(assignment));
      driver.now(() -> owner.handleHeartbeat(1, heartbeat(info, 1, List.of()), true));
      driver.now(() -> owner.handleHeartbeat(2, heartbeat(info, 2, List.of()), true));
    }
  }

  private static WorkerHeartbeat heartbeat(
      MachineInfo info, long sequence, List<TaskStatus> tasks) {
    return new WorkerHeartbeat(
        info.name(),
        info.type(),
        info.zone(),
        info.spot(),
        new Incarnation(1),
        sequence,
        FencingToken.of(EPOCH),
        "",
        -1,
        tasks);
  }

  private static MachineName machineName(int number) {
    return new MachineName("m-" + number);
  }

  /** Runs rounds and commits all records that they write. */
  private void runRounds() {
    for (int round = 0; round < ROUNDS; round++) {
      driver.after(ROUND_MS, () -> owner.runRound(() -> false));
      for (Output.Call call : List.copyOf(driver.openCalls())) {
        if (call.body() != null) {
          driver.openCalls().remove(call);
          ObjectNode committed = Json.object().put("ledgerRev", 20 + round);
          driver.now(
              () -> driver.context().handleAnswer(new Input.Answer(call.call(), 200, committed)));
        }
      }
    }
  }

  /** Returns the size of the longest task list with which the worker reports the attempts. */
  private static int reportedBytes(Machine machine) {
    ArrayNode tasks = Json.array();
    for (TaskAttempt attempt : machine.attempts()) {
      tasks
          .addObject()
          .put("piece", attempt.job().id() + "/" + attempt.index())
          .put("try", attempt.number().value())
          .put("phase", "exited")
          .put("cause", "unknown");
    }
    return Json.bytes(tasks).length;
  }

  /** Guards against heartbeats above 64 KiB and heaps full of attempts on one machine. */
  @ParameterizedTest
  @ValueSource(ints = {1, 14})
  void attemptsOfSmallTasksOnAMachineFitIntoItsHeartbeat(int machines) {
    listJobsOfSmallTasks();
    addMachines(machines);
    runRounds();
    for (Machine machine : owner.machines().machines().values()) {
      assertTrue(!machine.isEmpty(), machine.name() + " is empty");
      int bytes = reportedBytes(machine);
      assertTrue(bytes < MAX_MESSAGE_BYTES, machine.name() + ": " + bytes + " bytes");
    }
  }

  /** Guards against owners that end for memory, one after the other, with the same records. */
  @Test
  void attemptsOfSmallTasksInAShardFitIntoTheOwnersMemory() {
    listJobsOfSmallTasks();
    addMachines(400);
    runRounds();
    int attempts = 0;
    for (Machine machine : owner.machines().machines().values()) {
      attempts += machine.attempts().size();
    }
    double memoryMb = StepDriver.CONFIG.limits().memoryMb() * ATTEMPTS_MEMORY_FRACTION;
    assertTrue(attempts * ATTEMPT_MB < memoryMb, attempts + " attempts");
  }

  /** Guards against small tasks that keep the tasks of other jobs off machines with room. */
  @Test
  void aMachineFullOfSmallTasksHasRoomForOtherTasks() {
    listJobsOfSmallTasks();
    addMachines(1);
    runRounds();
    Machine machine = owner.machines().machine(machineName(1));
    assertTrue(machine.fittingTasks(smallTasks(9).spec()) == 0, "room for small tasks");
    int fitting = machine.fittingTasks(JobBuilder.job(9).tasks(100, 1, 0).memoryGb(1).spec());
    assertTrue(fitting == (int) machine.freeCpus(), fitting + " fit");
  }
}
