package shorecrank.sim;

/**
 * {@code wrong_place} of the protocol: a task starts on a type of machine, in a zone and on a kind
 * of machine that its job allows, given the job's other tasks.
 */
final class PlacementConstraintRule extends Rule {
  PlacementConstraintRule(World world, Checker checker) {
    super(world, checker);
  }

  /** Whether a job may use a machine, as long as its other tasks do not matter. */
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
