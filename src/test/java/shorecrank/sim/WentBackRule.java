package shorecrank.sim;

/**
 * {@code went_back} of the protocol: once a job was called done or cancelled, it is called nothing
 * else, and none is called cancelled unasked. Also {@code older}: an answer is not older than any
 * that was received before its request was sent. Requests that overlap may be answered in either
 * order; two different ends are wrong in any.
 */
final class WentBackRule extends Rule {
  WentBackRule(World world, Checker checker) {
    super(world, checker);
  }

  @Override
  void answered(UserAnswer answer) {
    if (!answer.isOk()) {
      return;
    }
    checkAge(answer);
    if (!world().jobs.isSubmitted(answer.job())) {
      return;
    }
    String job = answer.job();
    String phase = answer.phase();
    boolean isOtherEnd =
        AnswerHistory.isFinalPhase(phase)
            && answers().isOver(job)
            && !answers().phase(job).equals(phase);
    if (isOtherEnd) {
      report("went_back: %s was %s, is %s".formatted(job, answers().phase(job), phase));
    }
    if (phase.equals(AnswerHistory.CANCELLED) && !world().jobs.isCancelExpected(job)) {
      report("went_back: %s cancelled unasked".formatted(job));
    }
  }

  private void checkAge(UserAnswer answer) {
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
