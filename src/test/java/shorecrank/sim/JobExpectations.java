package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import shorecrank.protocol.Json;
import shorecrank.storage.JobRecord;

/**
 * Expectations about what users were told about jobs, about final job records, and about starts of
 * tasks.
 */
final class JobExpectations {
  static final Map<String, Expectation.Reader> EXPECTATIONS =
      Map.of(
          "done", line -> all(line, (world, job) -> world.checker.answers().isDone(job)),
          "cancelled", line -> all(line, JobExpectations::isCancelled),
          "ended", line -> all(line, (world, job) -> world.checker.answers().isOver(job)),
          "ended-or-refused", line -> all(line, JobExpectations::isEndedOrRefused),
          "accepted", line -> all(line, (world, job) -> !world.checker.answers().isUnknown(job)),
          "status", JobExpectations::status,
          "final", JobExpectations::finalRecord,
          "begun-before", JobExpectations::begunBefore,
          "starts-of", JobExpectations::startsOf);

  private JobExpectations() {}

  private static Expectation all(ScenarioLine line, BiPredicate<World, String> condition) {
    List<String> jobs = line.list(1);
    return Expectation.of(
        world -> jobs.stream().allMatch(job -> condition.test(world, job)),
        world -> describeJobs(world, jobs));
  }

  private static boolean isCancelled(World world, String job) {
    return world.checker.answers().phase(job).equals(AnswerHistory.CANCELLED);
  }

  /**
   * Reports whether a user was told the end of the job, or the job was never accepted because
   * faults lasted for as long as its user retried the submission.
   */
  private static boolean isEndedOrRefused(World world, String job) {
    AnswerHistory answers = world.checker.answers();
    return answers.isOver(job) || (answers.isUnknown(job) && world.users.gaveUpDuringFaults(job));
  }

  /** Parses {@code status JOB STATUS}: the HTTP status of the latest answer to the job's user. */
  private static Expectation status(ScenarioLine line) {
    String job = line.word(1);
    int status = line.integer(2);
    return Expectation.of(
        world -> world.users.latestStatus(job) == status,
        world -> describeJobs(world, List.of(job)));
  }

  /**
   * Parses {@code final JOB,JOB PHASE}: the phase in the final records of the jobs in the state
   * service.
   */
  private static Expectation finalRecord(ScenarioLine line) {
    String phase = line.word(2);
    return all(
        line,
        (world, job) ->
            world.store.peek(JobRecord.FINAL_PREFIX + job).path("p").asText().equals(phase));
  }

  /**
   * Parses {@code begun-before JOB JOB}: the first task of the first job started before that of the
   * second.
   */
  private static Expectation begunBefore(ScenarioLine line) {
    String first = line.word(1);
    String second = line.word(2);
    return Expectation.of(
        world -> world.checker.tasks().isStartedBefore(first, second),
        world -> describeJobs(world, List.of(first)));
  }

  /** Parses {@code starts-of JOB LEAST MOST}: bounds of the number of task starts of the job. */
  private static Expectation startsOf(ScenarioLine line) {
    String job = line.word(1);
    int minimum = line.integer(2);
    int maximum = line.integer(3);
    return Expectation.of(
        world ->
            world.checker.tasks().startsOf(job) >= minimum
                && world.checker.tasks().startsOf(job) <= maximum,
        world -> " [" + world.checker.tasks().startsOf(job) + "]");
  }

  private static String describeJobs(World world, List<String> jobs) {
    StringBuilder text = new StringBuilder();
    for (String job : jobs) {
      if (world.jobs.isSubmitted(job)) {
        JsonNode record = world.store.peek(JobRecord.LIVE_PREFIX + job);
        text.append(" [")
            .append(job)
            .append(' ')
            .append(world.checker.answers().phase(job))
            .append(' ');
        text.append(record.isMissingNode() ? "" : Json.object().set("r", record).toString());
        text.append(']');
      }
    }
    return text.toString();
  }
}
