package shorecrank.sim;

/**
 * Checks the protocol's rule {@code not_done}: no answer says that a job is done before all its
 * tasks have completed.
 */
final class CompletionRule extends Rule {
  CompletionRule(World world, Checker checker) {
    super(world, checker);
  }

  @Override
  void answered(UserAnswer answer) {
    if (answer.isOk()
        && answer.phase().equals(AnswerHistory.DONE)
        && world().jobs.isSubmitted(answer.job())
        && !world().jobs.hasAllResults(answer.job())) {
      report("not_done: " + answer.job());
    }
  }
}
