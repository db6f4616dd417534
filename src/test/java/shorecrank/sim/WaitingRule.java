package shorecrank.sim;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks the rule {@code waits}: in the absence of faults, no job waits for 90 s while a suitable
 * machine has enough free CPUs and the job's team is below its limit.
 */
final class WaitingRule extends Rule {
  private static final long CHECK_EVERY_MS = 1000;
  private static final long MAX_WAIT_MS = 90_000;
  private static final double CPU_TOLERANCE = 1e-9;

  /**
   * The simulated time since which a job waits although a suitable machine has enough free CPUs, by
   * job.
   */
  private final Map<String, Long> waitingSinceMs = new HashMap<>();

  WaitingRule(World world, Checker checker) {
    super(world, checker);
    check();
  }

  private void check() {
    if (world().faults.areOverAt(sim().now())) {
      answers().accepted().forEach(this::checkJob);
    } else {
      waitingSinceMs.clear();
    }
    sim().after(CHECK_EVERY_MS, this::check);
  }

  private void checkJob(String job) {
    JobPlan plan = world().jobs.plan(job);
    if (!isWaiting(job, plan) || world().workers().stream().noneMatch(w -> canRun(w, plan))) {
      waitingSinceMs.remove(job);
      return;
    }
    long now = sim().now();
    if (now - waitingSinceMs.computeIfAbsent(job, k -> now) > MAX_WAIT_MS) {
      report("waits: %s for 90 s while a machine that fits has room".formatted(job));
      waitingSinceMs.remove(job);
    }
  }

  private boolean isWaiting(String job, JobPlan plan) {
    boolean isEligible =
        !answers().isOver(job)
            && !world().jobs.isCancelExpected(job)
            && plan.dependencies().stream().allMatch(answers()::isDone)
            && !plan.faulty();
    double cpusIfStarted = tasks().cpusOf(plan.team()) + plan.cpus();
    if (!isEligible || !world().site.isWithinLimit(plan.team(), cpusIfStarted)) {
      return false;
    }
    int placedOrDone = 0;
    for (int i = 0; i < plan.tasks(); i++) {
      String task = job + "/" + i;
      placedOrDone += world().jobs.hasResult(task) || tasks().isOnMachine(task) ? 1 : 0;
    }
    return placedOrDone < plan.tasks() && !plan.together() && !plan.spread();
  }

  private static boolean canRun(SimulatedWorker worker, JobPlan plan) {
    return !worker.isHung()
        && !worker.isFailingTasks()
        && PlacementConstraintRule.allows(plan, worker)
        && worker.tasks().freeCpus() >= plan.cpus() - CPU_TOLERANCE;
  }
}
