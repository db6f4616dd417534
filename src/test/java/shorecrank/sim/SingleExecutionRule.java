package shorecrank.sim;

/** {@code ran_twice} of the protocol: while a task is on one machine, it starts on none. */
final class SingleExecutionRule extends Rule {
  SingleExecutionRule(World world, Checker checker) {
    super(world, checker);
  }

  @Override
  void started(TaskStart start) {
    if (!start.machinesBefore().isEmpty()) {
      report(
          "ran_twice: %s starts on %s while on %s"
              .formatted(start.task(), start.worker().name(), start.machinesBefore()));
    }
  }
}
