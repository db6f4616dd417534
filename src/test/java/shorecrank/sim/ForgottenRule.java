package shorecrank.sim;

import java.util.HashMap;
import java.util.Map;
import shorecrank.sim.UserRequest.Kind;
import shorecrank.storage.JobRecord;

/**
 * {@code forgotten} of the protocol: an accepted job never gets 404, a repeated submission of it
 * never 400 or 422, and its questions are answered; at the end the state service has its record.
 */
final class ForgottenRule extends Rule {
  /** Stricter than the 90 s of the protocol. */
  private static final long UNANSWERED_MS = 75_000;

  private final Map<String, Long> unansweredSinceMs = new HashMap<>();

  ForgottenRule(World world, Checker checker) {
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
      long since = unansweredSinceMs.computeIfAbsent(job, k -> sentAtMs);
      if (sentAtMs - since > UNANSWERED_MS) {
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
