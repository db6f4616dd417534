package shorecrank.sim;

/**
 * Checks that answers about a job never contradict earlier ones. {@code went_back} of the protocol:
 * after an answer says that a job is done or cancelled, no answer to a later request names another
 * phase, and no job is reported as cancelled without a request. {@code older}: an answer reports no
 * fewer completed tasks than any answer that was received before its request was sent. Requests
 * that overlap in time may be answered in either order, but two different final phases are a
 * violation in any order.
 */
final class MonotonicAnswerRule extends Rule {
  MonotonicAnswerRule(World world, Checker checker) {
    super(world, checker);
  }

  @Override
  void answered(UserAnswer answer) {
    if (!answer.isOk()) {
      return;
    }
    checkNotOlder(answer);
    if (!world().jobs.isSubmitted(answer.job())) {
      return;
    }
    String job = answer.job();
    String phase = answer.phase();
    boolean isOtherFinalPhase =
        AnswerHistory.isFinalPhase(phase)
            && answers().isOver(job)
            && !answers().phase(job).equals(phase);
    if (isOtherFinalPhase) {
      report("went_back: %s was %s, is %s".formatted(job, answers().phase(job), phase));
    }
    if (phase.equals(AnswerHistory.CANCELLED) && !world().jobs.isCancelExpected(job)) {
      report("went_back: %s cancelled unasked".formatted(job));
    }
  }

  private void checkNotOlder(UserAnswer answer) {
    KnownJobState before = answer.toldBefore();
    int done = answer.body().path("done").asInt();
    if (!before.finalPhase().isEmpty() && !before.finalPhase().equals(answer.phase())) {
      report(
          "went_back: %s is %s after %s"
              .formatted(answer.describe(), answer.phase(), before.finalPhase()));
    } else if (answer.body().has("done") && done < before.doneTasks()) {
      report("older: %s has %d after %d".formatted(answer.describe(), done, before.doneTasks()));
    }
  }
}
