package shorecrank.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static shorecrank.coordination.model.JobBuilder.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.JobBuilder;
import shorecrank.coordination.model.StepContextBuilder;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.JobSpec.Priority;

/**
 * Which queued job gets room first. Classes: "web" should start within 10 s, "etl" end within 100
 * s, "report" end within twice its own deadline, "plain" has no objective. Team "vision" has a
 * guarantee of 20 processors, "maps" of 2. A command takes 2 s, half a heartbeat interval.
 */
class SchedulingQueueTest {
  private static final long NOW_MS = 1_000_000;
  private static final FleetCapacity PLENTY = new FleetCapacity(0.5, 1e6, 0, 0, 0);

  /** Enough for 1000 processor seconds in the 100 s of "etl", as a quarter is never used. */
  private static final FleetCapacity SCARCE = new FleetCapacity(0.5, 10 / 0.75, 0, 0, 0);

  private final StepContext context =
      new StepContextBuilder()
          .objective("wait", "web", 10, 0)
          .objective("finished", "etl", 100, 0)
          .objective("deadline", "report", 0, 2)
          .team("vision", 20, 0)
          .team("maps", 2, 0)
          .team("speech", 0, 0)
          .build();

  private final Map<JobId, Job> jobs = new TreeMap<>();
  private final DependencyGraph dependencies =
      new DependencyGraph(
          context, jobs, new CancellationLog(context, id -> {}, owner -> {}), job -> {});
  private final SchedulingQueue queue = new SchedulingQueue(context, dependencies);

  /** A job of a team without a guarantee, accepted so many seconds ago. */
  private static JobBuilder waiting(int number, String jobClass, double seconds) {
    return job(number)
        .ofClass(jobClass)
        .ofTeam("speech")
        .acceptedAtMs(NOW_MS - (long) (seconds * 1000));
  }

  private void assertOrder(String expected, FleetCapacity capacity, JobBuilder... builders) {
    context.begin(new MonotonicTime(0), NOW_MS, 1);
    List<Job> queued = new ArrayList<>();
    for (JobBuilder builder : builders) {
      Job job = builder.build();
      jobs.put(job.id(), job);
      dependencies.add(job);
      if (job.queuedTaskCount() > 0) {
        queued.add(job);
      }
    }
    queue.updateUrgency(jobs.values());
    List<String> order = new ArrayList<>();
    queue.sort(queued, capacity).forEach(job -> order.add(job.id().value().substring(3)));
    assertEquals(expected, String.join(" ", order));
  }

  @Test
  void overdueJobsGoFirstTheOldestFirst() {
    assertOrder(
        "3 2 1",
        PLENTY,
        waiting(1, "web", 9),
        waiting(2, "plain", 121).priority(Priority.LOW),
        waiting(3, "plain", 122).priority(Priority.LOW).tasks(1000, 1, 0));
  }

  @Test
  void jobsThatCanReachAnObjectiveFollowByTheLatestStartThatReachesIt() {
    assertOrder(
        "4 1 3 2 5",
        PLENTY,
        // 10 s less 2 s for the command and 1 s of waiting: 7 s from now.
        waiting(1, "web", 1),
        // 100 s less 2 s and 1.3 times the 10 s that a task runs: 85 s.
        waiting(2, "etl", 0),
        // The same less 20 s of waiting and 10 s for its image of 5 GB: 55 s.
        waiting(3, "etl", 20).imageGb(5),
        // Twice 10 s less 2 s, 13 s and 4 s of waiting: 1 s.
        waiting(4, "report", 4).deadlineS(10),
        waiting(5, "plain", 100).priority(Priority.PROD));
  }

  @ParameterizedTest
  @CsvSource({
    // class, seconds waited, whether the objective can still be reached
    "web, 9.9, true",
    "web, 10, false",
    // Half the run of 10 s and the command have to fit in: estimates are often wrong by half.
    "etl, 93, true",
    "etl, 93.1, false",
    "report, 13, true",
    "report, 13.1, false",
  })
  void aJobThatCanNoLongerReachItsObjectiveGoesBackToTheRest(
      String jobClass, double seconds, boolean reachable) {
    assertOrder(
        reachable ? "1 2" : "2 1",
        PLENTY,
        waiting(1, jobClass, seconds).deadlineS(10).priority(Priority.LOW),
        waiting(2, "plain", 0).priority(Priority.PROD));
  }

  @Test
  void theRestFollowsByPriorityThenLeastWorkThenId() {
    assertOrder(
        "2 4 3 5 1",
        PLENTY,
        waiting(1, "plain", 9).priority(Priority.LOW),
        waiting(2, "plain", 0).priority(Priority.PROD).tasks(9, 1, 0),
        waiting(3, "plain", 0).tasks(3, 1, 0),
        waiting(4, "plain", 0).tasks(2, 1, 0),
        waiting(5, "plain", 1).tasks(3, 1, 0));
  }

  @Test
  void aSmallJobGoesBeforeLargeOnesThatItHardlyDelays() {
    JobBuilder small = waiting(2, "report", 0).deadlineS(100);
    assertOrder("2 1", PLENTY, waiting(1, "etl", 9).tasks(9, 1, 0), small);
    assertOrder("1 2", PLENTY, waiting(1, "etl", 9).tasks(8, 1, 0), small);
  }

  @Test
  void ofJobsThatCantAllBeInTimeTheLargestIsDeferred() {
    JobBuilder large = waiting(1, "etl", 5).tasks(18, 1, 0).estimateS(50);
    JobBuilder middle = waiting(2, "etl", 0).tasks(8, 1, 0).estimateS(50);
    assertOrder("1 2", PLENTY, large, middle);
    assertOrder("2 1", SCARCE, large, middle);
  }

  @Test
  void whatRunsDelaysTheQueueAndMachinesThatBootHelpIt() {
    JobBuilder large = waiting(1, "etl", 5).tasks(14, 1, 0).estimateS(50);
    JobBuilder middle = waiting(2, "etl", 0).tasks(5, 1, 0).estimateS(50);
    assertOrder("1 2", SCARCE, large, middle);
    assertOrder("2 1", new FleetCapacity(0.5, 10 / 0.75, 0, 0, 100), large, middle);
    assertOrder("1 2", new FleetCapacity(0.5, 10 / 0.75, 10, 60, 100), large, middle);
  }

  @Test
  void workWithinItsTeamsGuaranteeIsDueTwoSecondsAfterAcceptance() {
    assertOrder(
        "2 3 1 4",
        PLENTY,
        // 7 s from now.
        waiting(1, "web", 1),
        // One of two processors: 1 s ago.
        waiting(2, "plain", 3).ofTeam("maps"),
        // The second: 1 s from now.
        waiting(3, "plain", 1).ofTeam("maps"),
        // The third is beyond the guarantee.
        waiting(4, "plain", 0.5).ofTeam("maps").priority(Priority.PROD));
  }

  @Test
  void workWithinItsTeamsGuaranteeIsNeverDeferred() {
    JobBuilder large = waiting(1, "etl", 5).ofTeam("vision").tasks(18, 1, 0).estimateS(50);
    JobBuilder middle = waiting(2, "etl", 0).tasks(8, 1, 0).estimateS(50);
    assertOrder("1 2", SCARCE, large, middle);
  }

  @Test
  void aJobInheritsThePriorityOfThoseThatDependOnIt() {
    assertOrder(
        "2 1",
        PLENTY,
        waiting(1, "plain", 0).priority(Priority.URGENT),
        waiting(2, "plain", 0).priority(Priority.LOW),
        waiting(3, "plain", 0).priority(Priority.NORMAL).dependsOn(2),
        waiting(4, "plain", 0).priority(Priority.PROD).dependsOn(3));
  }

  @Test
  void aJobInheritsTheDeadlinesOfThoseThatDependOnIt() {
    // The report is due in 60 s and takes 15 s, so the job before it has to begin in 30 s.
    assertOrder(
        "1 2 3",
        PLENTY,
        waiting(1, "etl", 56),
        waiting(2, "plain", 0),
        waiting(3, "etl", 54),
        waiting(4, "report", 0).deadlineS(30).dependsOn(2));
  }
}
