package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import shorecrank.protocol.Json;
import shorecrank.storage.JobRecord;

/** What users were told of jobs, and how their records ended. */
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
        world -> found(world, jobs));
  }

  private static boolean isCancelled(World world, String job) {
    return world.checker.answers().phase(job).equals(AnswerHistory.CANCELLED);
  }

  /** Done or cancelled; or never accepted, in faults that lasted for as long as its user tried. */
  private static boolean isEndedOrRefused(World world, String job) {
    AnswerHistory answers = world.checker.answers();
    return answers.isOver(job) || (answers.isUnknown(job) && world.users.gaveUpDuringFaults(job));
  }

  /** {@code status JOB STATUS}: of the latest answer to its user. */
  private static Expectation status(ScenarioLine line) {
    String job = line.word(1);
    int status = line.integer(2);
    return Expectation.of(
        world -> world.users.latestStatus(job) == status, world -> found(world, List.of(job)));
  }

  /** {@code final JOB,JOB PHASE}: as the state service has them. */
  private static Expectation finalRecord(ScenarioLine line) {
    String phase = line.word(2);
    return all(
        line,
        (world, job) ->
            world.store.peek(JobRecord.FINAL_PREFIX + job).path("p").asText().equals(phase));
  }

  /** {@code begun-before JOB JOB}. */
  private static Expectation begunBefore(ScenarioLine line) {
    String first = line.word(1);
    String second = line.word(2);
    return Expectation.of(
        world -> world.checker.tasks().isBegunBefore(first, second),
        world -> found(world, List.of(first)));
  }

  /** {@code starts-of JOB LEAST MOST}. */
  private static Expectation startsOf(ScenarioLine line) {
    String job = line.word(1);
    int least = line.integer(2);
    int most = line.integer(3);
    return Expectation.of(
        world ->
            world.checker.tasks().startsOf(job) >= least
                && world.checker.tasks().startsOf(job) <= most,
        world -> " [" + world.checker.tasks().startsOf(job) + "]");
  }

  private static String found(World world, List<String> jobs) {
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
