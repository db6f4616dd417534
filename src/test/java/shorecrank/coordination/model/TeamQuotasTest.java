package shorecrank.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static shorecrank.coordination.model.JobBuilder.job;
import static shorecrank.coordination.model.MachineBuilder.machine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import shorecrank.config.NodeConfig.Team;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.JobSpec;

/** Tests how many more tasks may be placed within a team's limits. */
class TeamQuotasTest {
  private static final Map<String, Team> TEAMS =
      Map.of(
          "limited", new Team("limited", 4, 10, 0, 2),
          "unlimited", new Team("unlimited", 4, 0, 4, 0));

  private final List<Machine> machines = new ArrayList<>();
  private final TeamQuotas quotas = new TeamQuotas(TEAMS, machines);

  private int fitting(String team, int tasks, double cpus, double gpus) {
    Job job = job(1).ofTeam(team).tasks(tasks, cpus, gpus).build();
    return quotas.headroom(team).queuedTasksThatFit(job);
  }

  @ParameterizedTest
  @CsvSource({
    // team, number of tasks, processors of each, accelerators of each, how many tasks fit
    "limited, 5, 2, 0, 5",
    "limited, 6, 2, 0, 5",
    "limited, 6, 2, 1, 2",
    "limited, 9, 0, 1, 2",
    "limited, 1, 11, 0, 0",
    "limited, 200, 0.1, 0, 100",
    "unlimited, 5000, 64, 8, 5000",
    "unknown, 1, 1, 0, 0",
  })
  void tasksFitUpToTheMoreRestrictiveLimit(
      String team, int tasks, double cpus, double gpus, int expected) {
    assertEquals(expected, fitting(team, tasks, cpus, gpus));
  }

  @Test
  void onlyTeamWithAMaximumIsLimited() {
    assertTrue(quotas.isLimited("limited"));
    assertFalse(quotas.isLimited("unlimited"));
    assertFalse(quotas.isLimited("unknown"));
  }

  @Test
  void attemptsCountUntilReleased() {
    JobSpec spec = job(2).ofTeam("limited").tasks(1, 6, 0).spec();
    quotas.allocate(spec);
    assertEquals(2, fitting("limited", 5, 2, 0));
    quotas.release(spec);
    assertEquals(5, fitting("limited", 5, 2, 0));
  }

  @Test
  void unrecordedTasksCountForTheirOwnTeam() {
    Machine machine = machine(1).build();
    machines.add(machine);
    machine.addUnrecordedTask(job(2).ofTeam("limited").tasks(1, 6, 0).build(), 0);
    machine.addUnrecordedTask(job(3).ofTeam("unlimited").tasks(1, 2, 0).build(), 0);
    assertEquals(2, fitting("limited", 5, 2, 0));
    machine.clearUnrecordedTasks();
    assertEquals(5, fitting("limited", 5, 2, 0));
  }

  @Test
  void withdrawnAttemptsCountUntilReleased() {
    JobSpec spec = job(2).ofTeam("limited").tasks(2, 4, 1).spec();
    quotas.allocate(spec);
    quotas.allocate(spec);
    quotas.withdraw(spec);
    assertEquals(1, fitting("limited", 5, 2, 0));
    assertEquals(List.of(new TeamUsage(TEAMS.get("limited"), 4, 1, 4, 1)), quotas.usages());
    quotas.releaseWithdrawn(spec, 1);
    assertEquals(3, fitting("limited", 5, 2, 0));
  }

  @Test
  void queuedTasksMayReplaceWithdrawnAttemptsOfTheSameJob() {
    Job job = job(2).ofTeam("limited").tasks(3, 4, 0).build();
    TaskAttempt attempt = placedAttempt(job);
    assertEquals(1, quotas.headroom("limited").queuedTasksThatFit(job));
    job.withdraw(attempt);
    quotas.withdraw(job.spec());
    assertEquals(2, quotas.headroom("limited").queuedTasksThatFit(job));
    assertEquals(1, fitting("limited", 3, 4, 0), "tasks of another job");
  }

  private TaskAttempt placedAttempt(Job job) {
    Machine machine = machine(1).build();
    AttemptNumber number = job.tasks().nextAttemptNumber();
    TaskAttempt attempt = TaskAttempt.place(job, 0, machine, number, new MonotonicTime(0));
    job.add(attempt);
    quotas.allocate(job.spec());
    return attempt;
  }

  @Test
  void onlyPlacedAttemptsPutATeamAboveItsLimit() {
    JobSpec spec = job(2).ofTeam("limited").tasks(2, 6, 0).spec();
    quotas.allocate(spec);
    assertFalse(quotas.isAboveLimit("limited"));
    quotas.allocate(spec);
    assertTrue(quotas.isAboveLimit("limited"));
    quotas.withdraw(spec);
    assertFalse(quotas.isAboveLimit("limited"), "withdrawn attempts are not started");
    assertFalse(quotas.isAboveLimit("unlimited"));
    assertFalse(quotas.isAboveLimit("unknown"));
  }

  @Test
  void takingTasksReducesTheHeadroom() {
    Job first = job(2).ofTeam("limited").tasks(3, 2, 0).build();
    Job second = job(3).ofTeam("limited").tasks(9, 1, 0).build();
    TeamQuotas.Headroom headroom = quotas.headroom("limited");
    headroom.subtract(first.spec(), headroom.queuedTasksThatFit(first));
    assertEquals(4, headroom.queuedTasksThatFit(second));
  }
}
