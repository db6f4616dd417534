package shorecrank.coordination.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.JobBuilder;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.MachineBuilder;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TaskListSpace;
import shorecrank.coordination.model.TeamQuotas;
import shorecrank.coordination.scheduling.AttemptRoom;
import shorecrank.coordination.step.StepContext;
import shorecrank.coordination.step.StepDriver;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.MonotonicTime;

/** Tests the room for a job whose tasks are small on some machines only. */
class AttemptRoomTest {
  private static final int TASKS_PER_MACHINE = 100;

  private final StepContext context = new StepDriver().context();
  private final Job job = JobBuilder.job(1).tasks(100_000, 0.05, 0).memoryGb(0.05).build();
  private final Machine eightCpus = MachineBuilder.machine(1).with(8, 0).build();
  private final Machine manyCpus = MachineBuilder.machine(2).with(800, 0).build();
  private final List<Machine> machines = List.of(eightCpus, manyCpus);

  private int fittingOnManyCpus() {
    AttemptRoom room = AttemptRoom.of(context.config().limits(), 1, List.of(job), machines);
    double bytes = TaskListSpace.smallTaskBytes(job.spec(), manyCpus.type());
    assertTrue(bytes > 0, "not small");
    return room.fittingTasks(job, bytes);
  }

  private void attach(Machine machine) {
    ShardJobs jobs = new ShardJobs(context, new TeamQuotas(context.config().teams(), machines));
    for (int task = 0; task < TASKS_PER_MACHINE; task++) {
      int index = job.tasks().nextFree(0);
      AttemptNumber number = new AttemptNumber(1);
      jobs.attach(TaskAttempt.place(job, index, machine, number, new MonotonicTime(0)));
    }
  }

  /**
   * Guards against tasks that wait beside machines with room, as others of the job run elsewhere.
   */
  @Test
  void onlyAttemptsOnMachinesWhereTheyAreSmallUseTheJobsHalf() {
    int fitting = fittingOnManyCpus();
    attach(eightCpus);
    assertEquals(fitting, fittingOnManyCpus(), "after attempts that are not small");
    attach(manyCpus);
    assertEquals(fitting - TASKS_PER_MACHINE, fittingOnManyCpus(), 1, "after small attempts");
  }
}
