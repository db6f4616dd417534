package shorecrank.sim;

/**
 * Checks the protocol's rule {@code invented}: no request about a job that nobody submitted is
 * answered with 200 or 201.
 */
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
