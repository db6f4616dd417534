package shorecrank.sim;

/**
 * Checks the protocol's rule {@code wrong_place}: a task starts only on a machine whose type, zone
 * and kind (spot or not) its job allows, and only in a zone that is allowed beside the job's other
 * tasks.
 */
final class PlacementConstraintRule extends Rule {
  PlacementConstraintRule(World world, Checker checker) {
    super(world, checker);
  }

  /**
   * Reports whether a job may use a machine, apart from constraints that depend on the job's other
   * tasks.
   */
  static boolean allows(JobPlan plan, SimulatedWorker worker) {
    return (plan.zone() == null || plan.zone().equals(worker.zone()))
        && (plan.spot() || !worker.isSpot())
        && (plan.machineType() == null || plan.machineType().equals(worker.type()));
  }

  @Override
  void started(TaskStart start) {
    JobPlan plan = start.plan();
    if (!allows(plan, start.worker())) {
      report("wrong_place: %s on %s".formatted(start.task(), start.worker().name()));
    }
    if (plan.together() || plan.spread()) {
      checkZones(start);
    }
  }

  private void checkZones(TaskStart start) {
    JobPlan plan = start.plan();
    String zone = start.worker().zone();
    int[] inZone = new int[1];
    tasks()
        .forEachTaskOf(
            start.job(),
            (task, machines) -> {
              for (SimulatedWorker machine : machines) {
                if (machine.zone().equals(zone)) {
                  inZone[0]++;
                } else if (plan.together()) {
                  report("wrong_place: %s apart from %s".formatted(start.task(), task));
                }
              }
            });
    if (plan.spread() && inZone[0] > (plan.tasks() + 1) / 2) {
      report(
          "wrong_place: %d of %d tasks of %s in %s"
              .formatted(inZone[0], plan.tasks(), start.job(), zone));
    }
  }
}
