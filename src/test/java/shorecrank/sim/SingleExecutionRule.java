package shorecrank.sim;

/**
 * Checks the protocol's rule {@code ran_twice}: a task that is on a machine is not started on any
 * machine.
 */
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
