package shorecrank.coordination.shard;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
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
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.TaskAttemptId;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.Json;
import shorecrank.protocol.WorkerMessages.ExitReason;
import shorecrank.protocol.WorkerMessages.TaskState;
import shorecrank.protocol.WorkerMessages.TaskStatus;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;
import shorecrank.rollout.FeatureGate;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.AttemptRange;

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

  private void list(List<JobRecord> records) {
    ObjectNode page = Json.object().put("ledgerRev", 10).put("truncated", false);
    ArrayNode entries = page.putArray("entries");
    for (JobRecord record : records) {
      ObjectNode entry = entries.addObject().put("k", JobRecord.liveKey(record.spec().id()));
      entry.put("stamp", 3).set("data", record.write());
    }
    driver.answer(200, page);
  }

  private void listJobsOfSmallTasks() {
    List<JobRecord> records = new ArrayList<>();
    for (int number = 1; number <= JOBS; number++) {
      records.add(smallTasks(number).record());
    }
    list(records);
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

  // ---- messages --------------------------------------------------------------------------------

  private static List<TaskStatus> statuses(JobBuilder job, int tasks, TaskState state) {
    ExitReason reason = state == TaskState.EXITED ? ExitReason.DONE : null;
    List<TaskStatus> statuses = new ArrayList<>();
    for (int index = 0; index < tasks; index++) {
      TaskAttemptId id = new TaskAttemptId(job.spec().id(), index, new AttemptNumber(1));
      statuses.add(new TaskStatus(id, state, reason));
    }
    return statuses;
  }

  /** Sends a heartbeat and returns the answer's commands, after a check of the answer's size. */
  private JsonNode answerTo(long sequence, List<TaskStatus> tasks) {
    driver.takeReplies();
    MachineInfo info = new MachineInfo(machineName(1), TYPE.name(), "a", false);
    driver.after(
        1000, () -> owner.handleHeartbeat(sequence, heartbeat(info, sequence, tasks), true));
    runRounds();
    Output.Reply reply = driver.takeReplies().get(0);
    int bytes = Json.bytes(reply.body()).length;
    assertTrue(bytes <= MAX_MESSAGE_BYTES, "answer of " + bytes + " bytes");
    return reply.body().path("orders");
  }

  /**
   * Guards against answers above 64 KiB, which workers drop, so that a machine keeps what it should
   * stop or reap.
   */
  @ParameterizedTest
  @EnumSource(
      value = TaskState.class,
      names = {"RUNNING", "EXITED"})
  void commandsForManyUnexpectedTasksAreDividedAmongAnswers(TaskState state) {
    list(List.of());
    addMachines(1);
    List<TaskStatus> left = statuses(JobBuilder.job(7), 1400, state);
    for (long sequence = 3; !left.isEmpty(); sequence++) {
      JsonNode commands = answerTo(sequence, left);
      assertTrue(!commands.isEmpty(), "no commands in an answer");
      left = left.subList(commands.size(), left.size());
    }
  }

  /** Guards against answers above 64 KiB while only the stops of cancelled tasks may be sent. */
  @Test
  void stopsOfManyCancelledTasksFitIntoAnAnswer() {
    JobBuilder job = JobBuilder.job(7).tasks(2000, 0.0001, 0);
    list(List.of(job.record()));
    addMachines(1);
    driver.now(() -> owner.recordConfirmedCancellation(job.spec().id()));
    MachineInfo info = new MachineInfo(machineName(1), TYPE.name(), "a", false);
    WorkerHeartbeat heartbeat = heartbeat(info, 3, statuses(job, 1400, TaskState.RUNNING));
    driver.takeReplies();
    driver.now(() -> owner.handleHeartbeat(3, heartbeat, false));
    int bytes = Json.bytes(driver.takeReplies().get(0).body()).length;
    assertTrue(bytes <= MAX_MESSAGE_BYTES, "answer of " + bytes + " bytes");
  }

  /**
   * Guards against answers and heartbeats above 64 KiB after a takeover from a version that placed
   * any number of tasks on a machine: the job still runs whole.
   */
  @Test
  void adoptedAttemptsOfAnEarlierVersionStartInPartsThatFitIntoMessages() {
    int tasks = 5000;
    JobBuilder job = JobBuilder.job(7).tasks(tasks, 0.0001, 0).memoryGb(0.0001);
    AttemptRange range =
        new AttemptRange(0, tasks, machineName(1), new Incarnation(1), new AttemptNumber(1));
    JobRecord record =
        new JobRecord(
            job.spec(),
            new Epoch(4),
            WriterId.NONE,
            1,
            new BitSet(),
            List.of(range),
            1,
            false,
            0,
            0);
    list(List.of(record));
    addMachines(1);
    Set<String> started = new HashSet<>();
    List<TaskStatus> listed = List.of();
    for (long sequence = 3; started.size() < tasks && sequence < 100; sequence++) {
      Set<String> reaped = new HashSet<>();
      List<TaskStatus> next = new ArrayList<>();
      for (JsonNode command : answerTo(sequence, listed)) {
        String task = command.path("piece").asText();
        if (command.path("verb").asText().equals("start")) {
          started.add(task);
          int index = Integer.parseInt(task.substring(task.indexOf('/') + 1));
          TaskAttemptId id = new TaskAttemptId(job.spec().id(), index, new AttemptNumber(1));
          next.add(new TaskStatus(id, TaskState.EXITED, ExitReason.DONE));
        } else {
          reaped.add(task);
        }
      }
      for (TaskStatus status : listed) {
        if (!reaped.contains(status.attemptId().job() + "/" + status.attemptId().index())) {
          next.add(status);
        }
      }
      listed = next;
      // A task takes less than 100 bytes of a heartbeat here.
      assertTrue(listed.size() * 100 < MAX_MESSAGE_BYTES, listed.size() + " tasks listed");
    }
    assertTrue(started.size() == tasks, started.size() + " tasks started");
  }
}
