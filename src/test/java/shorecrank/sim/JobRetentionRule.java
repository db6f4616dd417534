package shorecrank.sim;

import java.util.HashMap;
import java.util.Map;
import shorecrank.sim.UserRequest.Kind;
import shorecrank.storage.JobRecord;

/**
 * Checks the protocol's rule {@code forgotten}: an accepted job is never answered with 404, its
 * repeated submission is never answered with 400 or 422, and queries about it do not stay
 * unanswered. At the end of the run the state service holds its record.
 */
final class JobRetentionRule extends Rule {
  /** Shorter than the 90 s that the protocol allows. */
  private static final long MAX_UNANSWERED_MS = 75_000;

  private final Map<String, Long> unansweredSinceMs = new HashMap<>();

  JobRetentionRule(World world, Checker checker) {
    super(world, checker);
  }

  @Override
  void answered(UserAnswer answer) {
    int status = answer.status();
    if (status == 404 && answer.toldBefore().accepted()) {
      report("forgotten: %s gets 404".formatted(answer.describe()));
    }
    boolean refused = status == 400 || status == 422;
    if (refused && answer.kind() == Kind.SUBMIT && answers().isAccepted(answer.job())) {
      report("forgotten: submitting %s again gets %d".formatted(answer.job(), status));
    }
  }

  @Override
  void requestFinished(String job, long sentAtMs, boolean isAnswered) {
    if (isAnswered) {
      unansweredSinceMs.remove(job);
    } else if (world().faults.areOverAt(sentAtMs) && answers().isAccepted(job)) {
      long sinceMs = unansweredSinceMs.computeIfAbsent(job, k -> sentAtMs);
      if (sentAtMs - sinceMs > MAX_UNANSWERED_MS) {
        report("forgotten: no question about %s is answered".formatted(job));
      }
    }
  }

  @Override
  void ended() {
    for (String job : answers().accepted()) {
      boolean recorded =
          !world().store.peek(JobRecord.LIVE_PREFIX + job).isMissingNode()
              || !world().store.peek(JobRecord.FINAL_PREFIX + job).isMissingNode();
      if (!recorded && !world().jobs.isCancelExpected(job)) {
        report("forgotten: %s is not in the store at the end".formatted(job));
      }
    }
  }
}
