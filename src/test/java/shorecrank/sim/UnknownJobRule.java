package shorecrank.sim;

/** {@code invented} of the protocol: 200 is no answer for a job that nobody submitted. */
final class UnknownJobRule extends Rule {
  UnknownJobRule(World world, Checker checker) {
    super(world, checker);
  }

  @Override
  void answered(UserAnswer answer) {
    if (answer.isOk() && !world().jobs.isSubmitted(answer.job())) {
      report("invented: " + answer.job());
    }
  }
}
