package shorecrank.sim;

/**
 * Checks the protocol's rule {@code quota}: the tasks of a team together use no more CPUs than the
 * team's limit.
 */
final class QuotaRule extends Rule {
  QuotaRule(World world, Checker checker) {
    super(world, checker);
  }

  @Override
  void started(TaskStart start) {
    String team = start.plan().team();
    double cpus = tasks().cpusOf(team);
    if (!world().site.isWithinLimit(team, cpus)) {
      report("quota: team %s uses %s".formatted(team, cpus));
    }
  }
}
