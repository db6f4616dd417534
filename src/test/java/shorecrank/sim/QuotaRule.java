package shorecrank.sim;

/** {@code quota} of the protocol: a team's tasks use no more than its limit. */
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
