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
 * Tests the order of queued jobs. Jobs of class "web" should start within 10 s, "etl" end within
 * 100 s and "report" end within twice their own deadline; "plain" has no objective. Team "vision"
 * is guaranteed 20 processors, "maps" 2 and "speech" none. A start command takes 2 s, half a
 * heartbeat interval.
 */
class SchedulingQueueTest {
  private static final long NOW_MS = 1_000_000;
  private static final FleetCapacity PLENTY = new FleetCapacity(0.5, 1e6, 0, 0, 0);

  /** Enough for 1000 processor seconds in the 100 s of "etl", as 75% of processors are usable. */
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

  /** Returns a job of a team without a guarantee that was accepted {@code seconds} ago. */
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
  void starvingJobsGoFirstTheOldestFirst() {
    assertOrder(
        "3 2 1",
        PLENTY,
        waiting(1, "web", 9),
        waiting(2, "plain", 121).priority(Priority.LOW),
        waiting(3, "plain", 122).priority(Priority.LOW).tasks(1000, 1, 0));
  }

  @Test
  void jobsThatCanMeetAnObjectiveFollowByLatestStart() {
    assertOrder(
        "4 1 3 2 5",
        PLENTY,
        // Latest start in 7 s: 10 s less 2 s for the command and 1 s of waiting.
        waiting(1, "web", 1),
        // Latest start in 85 s: 100 s less 2 s for the command and 1.3 times the run of 10 s.
        waiting(2, "etl", 0),
        // Latest start in 55 s: 85 s less 20 s of waiting and 10 s to fetch the image of 5 GB.
        waiting(3, "etl", 20).imageGb(5),
        // Latest start in 1 s: 20 s less 2 s for the command, 13 s for the run, 4 s of waiting.
        waiting(4, "report", 4).deadlineS(10),
        waiting(5, "plain", 100).priority(Priority.PROD));
  }

  @ParameterizedTest
  @CsvSource({
    // class, seconds waited, whether the objective can still be met
    "web, 9.9, true",
    "web, 10, false",
    // Half the estimated run of 10 s and the 2 s of the command have to fit in.
    "etl, 93, true",
    "etl, 93.1, false",
    "report, 13, true",
    "report, 13.1, false",
  })
  void aJobThatCanNoLongerMeetItsObjectiveIsOrderedByPriority(
      String jobClass, double seconds, boolean canMeetObjective) {
    assertOrder(
        canMeetObjective ? "1 2" : "2 1",
        PLENTY,
        waiting(1, jobClass, seconds).deadlineS(10).priority(Priority.LOW),
        waiting(2, "plain", 0).priority(Priority.PROD));
  }

  @Test
  void remainingJobsFollowByPriorityThenLeastWorkThenId() {
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
  void theLargestJobIsDeferredIfNotAllCanEndInTime() {
    JobBuilder large = waiting(1, "etl", 5).tasks(18, 1, 0).estimateS(50);
    JobBuilder middle = waiting(2, "etl", 0).tasks(8, 1, 0).estimateS(50);
    assertOrder("1 2", PLENTY, large, middle);
    assertOrder("2 1", SCARCE, large, middle);
  }

  @Test
  void runningTasksReduceAndBootingMachinesIncreaseTheCapacity() {
    JobBuilder large = waiting(1, "etl", 5).tasks(14, 1, 0).estimateS(50);
    JobBuilder middle = waiting(2, "etl", 0).tasks(5, 1, 0).estimateS(50);
    assertOrder("1 2", SCARCE, large, middle);
    assertOrder("2 1", new FleetCapacity(0.5, 10 / 0.75, 0, 0, 100), large, middle);
    assertOrder("1 2", new FleetCapacity(0.5, 10 / 0.75, 10, 60, 100), large, middle);
  }

  @Test
  void aJobWithinItsTeamsGuaranteeShouldStartTwoSecondsAfterAcceptance() {
    assertOrder(
        "2 3 1 4",
        PLENTY,
        // Latest start in 7 s.
        waiting(1, "web", 1),
        // Takes the first of the two guaranteed processors; latest start 1 s ago.
        waiting(2, "plain", 3).ofTeam("maps"),
        // Takes the second guaranteed processor; latest start in 1 s.
        waiting(3, "plain", 1).ofTeam("maps"),
        // Needs a third processor, beyond the guarantee.
        waiting(4, "plain", 0.5).ofTeam("maps").priority(Priority.PROD));
  }

  @Test
  void aJobWithinItsTeamsGuaranteeIsNeverDeferred() {
    JobBuilder large = waiting(1, "etl", 5).ofTeam("vision").tasks(18, 1, 0).estimateS(50);
    JobBuilder middle = waiting(2, "etl", 0).tasks(8, 1, 0).estimateS(50);
    assertOrder("1 2", SCARCE, large, middle);
  }

  @Test
  void aJobInheritsThePriorityOfItsDependents() {
    assertOrder(
        "2 1",
        PLENTY,
        waiting(1, "plain", 0).priority(Priority.URGENT),
        waiting(2, "plain", 0).priority(Priority.LOW),
        waiting(3, "plain", 0).priority(Priority.NORMAL).dependsOn(2),
        waiting(4, "plain", 0).priority(Priority.PROD).dependsOn(3));
  }

  @Test
  void aJobInheritsTheDeadlinesOfItsDependents() {
    // Job 4 is due in 60 s and takes 15 s, and job 2 takes 15 s before it: latest start in 30 s.
    assertOrder(
        "1 2 3",
        PLENTY,
        waiting(1, "etl", 56),
        waiting(2, "plain", 0),
        waiting(3, "etl", 54),
        waiting(4, "report", 0).deadlineS(30).dependsOn(2));
  }
}
