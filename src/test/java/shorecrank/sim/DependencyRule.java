package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalLong;
import shorecrank.storage.JobRecord;

/**
 * The design's claims about dependencies. {@code too_early}: no task starts before all jobs that
 * its job depends on are recorded as done. {@code orphaned}: soon after a user was told that a job
 * is cancelled, those that depend on it are too.
 */
final class DependencyRule extends Rule {
  private static final double MS_PER_S = 1000;

  DependencyRule(World world, Checker checker) {
    super(world, checker);
  }

  @Override
  void started(TaskStart start) {
    for (String needed : start.plan().dependencies()) {
      JsonNode record = world().store.peek(JobRecord.FINAL_PREFIX + needed);
      if (!record.path("p").asText().equals(AnswerHistory.DONE)) {
        report("too_early: %s starts, %s is not recorded as done".formatted(start.task(), needed));
      }
    }
  }

  @Override
  void answered(UserAnswer answer) {
    if (!answer.isOk() || answer.phase().equals(AnswerHistory.CANCELLED)) {
      return;
    }
    for (String needed : world().jobs.withDependencies(answer.job())) {
      OptionalLong cancelledAt = answers().cancelledAtMs(needed);
      double graceMs = world().site.cancelS() * MS_PER_S;
      if (cancelledAt.isPresent()
          && answer.toldBefore().atMs() > cancelledAt.getAsLong() + graceMs) {
        report(
            "orphaned: %s is %s, %s is cancelled".formatted(answer.job(), answer.phase(), needed));
      }
    }
  }
}
