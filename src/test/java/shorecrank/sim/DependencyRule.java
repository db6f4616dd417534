package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalLong;
import shorecrank.storage.JobRecord;

/**
 * Checks dependencies between jobs. {@code too_early}: no task starts before all dependencies of
 * its job are recorded as done. {@code orphaned}: once {@code cancel_s} has passed since a user was
 * told that a job is cancelled, all jobs that depend on it, directly or through others, are
 * cancelled too.
 */
final class DependencyRule extends Rule {
  private static final double MS_PER_S = 1000;

  DependencyRule(World world, Checker checker) {
    super(world, checker);
  }

  @Override
  void started(TaskStart start) {
    for (String dependency : start.plan().dependencies()) {
      JsonNode record = world().store.peek(JobRecord.FINAL_PREFIX + dependency);
      if (!record.path("p").asText().equals(AnswerHistory.DONE)) {
        report(
            "too_early: %s starts, %s is not recorded as done".formatted(start.task(), dependency));
      }
    }
  }

  @Override
  void answered(UserAnswer answer) {
    if (!answer.isOk() || answer.phase().equals(AnswerHistory.CANCELLED)) {
      return;
    }
    for (String dependency : world().jobs.withDependencies(answer.job())) {
      OptionalLong cancelledAt = answers().cancelledAtMs(dependency);
      double cancelMs = world().site.cancelS() * MS_PER_S;
      if (cancelledAt.isPresent()
          && answer.toldBefore().atMs() > cancelledAt.getAsLong() + cancelMs) {
        report(
            "orphaned: %s is %s, %s is cancelled"
                .formatted(answer.job(), answer.phase(), dependency));
      }
    }
  }
}
