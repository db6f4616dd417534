package shorecrank.coordination.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.JobBuilder;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.MachineBuilder;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TeamQuotas;
import shorecrank.coordination.step.Output;
import shorecrank.coordination.step.StepContext;
import shorecrank.coordination.step.StepDriver;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.TaskAttemptId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.Json;
import shorecrank.protocol.WorkerMessages.ExitReason;
import shorecrank.protocol.WorkerMessages.TaskState;
import shorecrank.protocol.WorkerMessages.TaskStatus;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;
import shorecrank.storage.JobRecord;

/**
 * Tests that a shard's owner bounds what grows with the number of small tasks, which users choose:
 * its memory and the messages of its workers. Jobs may have 100,000 tasks that take next to nothing
 * of a machine.
 */
class SmallTasksTest {
  /** Largest size, in bytes, of a body and of a line of an answer, by the workers' protocol. */
  private static final int MAX_MESSAGE_BYTES = 64 * 1024;

  /** Allowance for an attempt in the owner's heap, all indexes and messages included. */
  private static final double ATTEMPT_MB = 1.0 / 1024;

  private static final int JOBS = 4;

  private static JobBuilder smallTasks(int number) {
    return tasks(number, 0.0001);
  }

  private static JobBuilder tasks(int number, double memoryGb) {
    return JobBuilder.job(number).tasks(JobSpec.MAX_TASKS, 0.00001, 0).memoryGb(memoryGb);
  }

  private static ShardOwnerDriver ownerOfSmallTasks() {
    return ownerOfTasks(0.0001);
  }

  private static ShardOwnerDriver ownerOfTasks(double memoryGb) {
    List<JobRecord> records = new ArrayList<>();
    for (int number = 1; number <= JOBS; number++) {
      records.add(tasks(number, memoryGb).record());
    }
    return new ShardOwnerDriver(records);
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
    ShardOwnerDriver shard = ownerOfSmallTasks();
    shard.addMachines(machines);
    shard.runRounds();
    for (Machine machine : shard.owner().machines().machines().values()) {
      assertTrue(!machine.isEmpty(), machine.name() + " is empty");
      int bytes = reportedBytes(machine);
      assertTrue(bytes < MAX_MESSAGE_BYTES, machine.name() + ": " + bytes + " bytes");
    }
  }

  /**
   * Guards against owners that end for memory, one after the other, with the same records. Machines
   * have 1000 GB: tasks of 5 GB are not small, but there may be 200 of them on a machine. An
   * attempt takes less than 512 bytes of the heap, all indexes and messages included.
   *
   * @param attemptBytes the bytes that are allowed for each attempt
   * @param memoryFraction the part of a process's memory that these may take
   */
  @ParameterizedTest
  @CsvSource({"0.0001, 400, 0.25", "5, 1600, 0.66"})
  void attemptsInAShardFitIntoTheOwnersMemory(
      double taskMemoryGb, int machines, double memoryFraction) {
    ShardOwnerDriver shard = ownerOfTasks(taskMemoryGb);
    shard.addMachines(machines);
    shard.runRounds();
    int attempts = 0;
    for (Machine machine : shard.owner().machines().machines().values()) {
      attempts += machine.attempts().size();
    }
    double maxMb = StepDriver.CONFIG.limits().memoryMb() * memoryFraction;
    assertTrue(attempts > 0, "no attempts");
    assertTrue(attempts * ATTEMPT_MB < maxMb, attempts + " attempts");
  }

  /** Guards against jobs of small tasks that wait until the tasks of one such job have ended. */
  @ParameterizedTest
  @ValueSource(ints = {1, 14, 400})
  void noJobOfSmallTasksKeepsTheOthersWaiting(int machines) {
    ShardOwnerDriver shard = ownerOfSmallTasks();
    shard.addMachines(machines);
    shard.runRounds();
    Set<JobId> jobs = new HashSet<>();
    for (Machine machine : shard.owner().machines().machines().values()) {
      machine.attempts().forEach(attempt -> jobs.add(attempt.job().id()));
    }
    assertEquals(JOBS, jobs.size(), "jobs with tasks on machines");
  }

  /** Guards against small tasks that keep the tasks of other jobs off machines with room. */
  @Test
  void aMachineFullOfSmallTasksHasRoomForOtherTasks() {
    StepContext context = new StepDriver().context();
    Machine machine = MachineBuilder.machine(1).build();
    ShardJobs jobs =
        new ShardJobs(context, new TeamQuotas(context.config().teams(), List.of(machine)));
    Job job = smallTasks(1).build();
    for (int index = 0; machine.fittingTasks(job.spec()) > 0; index++) {
      AttemptNumber number = new AttemptNumber(1);
      jobs.attach(TaskAttempt.place(job, index, machine, number, new MonotonicTime(0)));
    }
    int fitting = machine.fittingTasks(JobBuilder.job(9).tasks(100, 1, 0).memoryGb(1).spec());
    assertEquals((int) machine.freeCpus(), fitting, "tasks of a processor each");
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

  private static WorkerHeartbeat heartbeat(long sequence, List<TaskStatus> tasks) {
    FencingToken token = FencingToken.of(ShardOwnerDriver.EPOCH);
    return ShardOwnerDriver.heartbeat(1, sequence, token, "", tasks);
  }

  private static void assertFits(Output.Reply answer) {
    int bytes = Json.bytes(answer.body()).length;
    assertTrue(bytes <= MAX_MESSAGE_BYTES, "answer of " + bytes + " bytes");
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
    ShardOwnerDriver shard = new ShardOwnerDriver(List.of());
    shard.addMachines(1);
    List<TaskStatus> left = statuses(JobBuilder.job(7), 1400, state);
    for (long sequence = 3; !left.isEmpty(); sequence++) {
      Output.Reply answer = shard.answerTo(heartbeat(sequence, left));
      assertFits(answer);
      JsonNode commands = answer.body().path("orders");
      assertTrue(!commands.isEmpty(), "no commands in an answer");
      left = left.subList(commands.size(), left.size());
    }
  }

  /** Guards against answers above 64 KiB while only the stops of cancelled tasks may be sent. */
  @Test
  void stopsOfManyCancelledTasksFitIntoAnAnswer() {
    JobBuilder job = JobBuilder.job(7).tasks(2000, 0.0001, 0);
    ShardOwnerDriver shard = new ShardOwnerDriver(List.of(job.record()));
    shard.addMachines(1);
    StepDriver driver = shard.driver();
    driver.now(() -> shard.owner().recordConfirmedCancellation(job.spec().id()));
    driver.takeReplies();
    WorkerHeartbeat heartbeat = heartbeat(3, statuses(job, 1400, TaskState.RUNNING));
    driver.now(() -> shard.owner().handleHeartbeat(0, heartbeat, false));
    assertFits(driver.takeReplies().get(0));
  }

  /**
   * Guards against answers and heartbeats above 64 KiB after a takeover from a version that placed
   * any number of tasks on a machine: the job still runs whole.
   */
  @Test
  void adoptedAttemptsOfAnEarlierVersionStartInPartsThatFitIntoMessages() {
    int tasks = 5000;
    JobBuilder job = JobBuilder.job(7).tasks(tasks, 0.0001, 0).memoryGb(0.0001);
    JobRecord record = job.recordOn(ShardOwnerDriver.machineName(1), tasks);
    ShardOwnerDriver shard = new ShardOwnerDriver(List.of(record));
    shard.addMachines(1);
    Set<String> started = new HashSet<>();
    List<TaskStatus> listed = List.of();
    for (long sequence = 3; started.size() < tasks && sequence < 100; sequence++) {
      Set<String> reaped = new HashSet<>();
      List<TaskStatus> next = new ArrayList<>();
      Output.Reply answer = shard.answerTo(heartbeat(sequence, listed));
      assertFits(answer);
      for (JsonNode command : answer.body().path("orders")) {
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
