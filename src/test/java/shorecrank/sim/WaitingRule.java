package shorecrank.sim;

import java.util.HashMap;
import java.util.Map;

/**
 * The design's claim {@code waits}: while there are no faults, no job waits for 90 s while a
 * machine that fits has room and its team is under its limit.
 */
final class WaitingRule extends Rule {
  private static final long CHECK_EVERY_MS = 1000;
  private static final long LONGEST_WAIT_MS = 90_000;
  private static final double ROUNDING = 1e-9;

  /** Since when a job waits although a machine that fits has room. */
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
    if (!waits(job, plan) || world().workers().stream().noneMatch(w -> fits(w, plan))) {
      waitingSinceMs.remove(job);
      return;
    }
    long now = sim().now();
    if (now - waitingSinceMs.computeIfAbsent(job, k -> now) > LONGEST_WAIT_MS) {
      report("waits: %s for 90 s while a machine that fits has room".formatted(job));
      waitingSinceMs.remove(job);
    }
  }

  private boolean waits(String job, JobPlan plan) {
    boolean mayRun =
        !answers().isOver(job)
            && !world().jobs.isCancelExpected(job)
            && plan.dependencies().stream().allMatch(answers()::isDone)
            && !plan.faulty();
    double cpusThen = tasks().cpusOf(plan.team()) + plan.cpus();
    if (!mayRun || !world().site.isWithinLimit(plan.team(), cpusThen)) {
      return false;
    }
    int busy = 0;
    for (int i = 0; i < plan.tasks(); i++) {
      String task = job + "/" + i;
      busy += world().jobs.hasResult(task) || tasks().isOnMachine(task) ? 1 : 0;
    }
    return busy < plan.tasks() && !plan.together() && !plan.spread();
  }

  private static boolean fits(SimulatedWorker worker, JobPlan plan) {
    return !worker.isHung()
        && !worker.failsTasks()
        && WrongPlaceRule.allows(plan, worker)
        && worker.tasks().freeCpus() >= plan.cpus() - ROUNDING;
  }
}
