package shorecrank.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.TaskAttemptId;
import shorecrank.storage.JobRecord.AttemptRange;

/** Tests when a task is free to be placed, and which attempt ranges go into the record. */
class JobTasksTest {
  private static final int TASKS = 4;
  private static final Incarnation INCARNATION = new Incarnation(1);

  private final Job job = JobBuilder.job(1).tasks(TASKS, 1, 0).build();
  private final JobTasks tasks = job.tasks();
  private final Machine machine = MachineBuilder.machine(1).build();

  private TaskAttempt place(int index, Machine on, long number) {
    TaskAttempt attempt =
        new TaskAttempt(
            job, index, on, INCARNATION, new AttemptNumber(number), 0, new MonotonicTime(0));
    job.add(attempt);
    return attempt;
  }

  @Test
  void taskIsNotFreeUntilItsAttemptIsRemoved() {
    TaskAttempt attempt = place(0, machine, 1);
    assertEquals(1, tasks.nextFree(0));
    assertEquals(TASKS - 1, job.queuedTaskCount());
    job.remove(attempt);
    assertEquals(0, tasks.nextFree(0));
    assertTrue(machine.isEmpty());
  }

  @Test
  void doneTaskIsNeverFreeAgain() {
    TaskAttempt attempt = place(0, machine, 1);
    tasks.markDone(0);
    job.remove(attempt);
    assertEquals(1, tasks.nextFree(0));
    assertEquals(1, tasks.doneCount());
  }

  @Test
  void taskIsNotFreeWhileAnUnrecordedAttemptRuns() {
    machine.addUnrecordedTask(job, 0);
    Machine other = MachineBuilder.machine(2).build();
    other.addUnrecordedTask(job, 0);
    machine.clearUnrecordedTasks();
    assertEquals(1, tasks.nextFree(0), "the other machine still runs one");
    other.clearUnrecordedTasks();
    assertEquals(0, tasks.nextFree(0));
    assertFalse(tasks.hasUnrecorded());
  }

  @Test
  void removingAnEarlierAttemptLeavesTheCurrentOne() {
    TaskAttempt earlier = place(0, machine, 1);
    TaskAttempt current = place(0, MachineBuilder.machine(2).build(), 2);
    job.remove(earlier);
    assertTrue(tasks.isCurrent(current));
    assertEquals(1, tasks.nextFree(0));
  }

  @Test
  void attemptNumbersIncrease() {
    assertFalse(tasks.wasPlaced());
    AttemptNumber first = tasks.nextAttemptNumber();
    tasks.useAttemptNumber();
    assertTrue(tasks.wasPlaced());
    assertEquals(first.value() + 1, tasks.nextAttemptNumber().value());
  }

  @Test
  void exitIsRecordedOnceTheWriteThatContainsItIsCommitted() {
    TaskAttemptId attempt = place(0, machine, 1).id();
    assertTrue(tasks.isExitRecorded(attempt, 0), "the attempt has not exited");
    tasks.recordExit(attempt, 7);
    assertFalse(tasks.isExitRecorded(attempt, 6));
    assertTrue(tasks.isExitRecorded(attempt, 7));
    tasks.removeRecordedExits(6);
    assertTrue(tasks.hasPendingExit(attempt));
    tasks.removeRecordedExits(7);
    assertFalse(tasks.hasPendingExit(attempt));
  }

  @Test
  void adjacentTasksOfOneAttemptNumberFormARangeThatMayIncludeDoneTasks() {
    place(0, machine, 1);
    tasks.markDone(1);
    place(2, machine, 1);
    place(3, machine, 2);
    assertEquals(
        List.of(
            new AttemptRange(0, 3, machine.name(), INCARNATION, new AttemptNumber(1)),
            new AttemptRange(3, 1, machine.name(), INCARNATION, new AttemptNumber(2))),
        tasks.ranges());
  }
}
