package shorecrank.sim;

/** {@code not_done} of the protocol: before all its tasks are done, no job is called done. */
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
