package shorecrank.sim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks at the end of a run that no class of jobs and no team is starved. {@code unserved}: of
 * each class, of each team, and of the largest jobs of each class, at least half have started.
 * {@code late}: the largest jobs of each class start within four minutes.
 */
final class FairnessRule extends Rule {
  /**
   * Jobs that were submitted later than this before the end of the run are not checked, because
   * they had too little time to start.
   */
  private static final long MIN_TIME_BEFORE_END_MS = 60_000;

  private static final long MAX_START_DELAY_MS = 240_000;

  /** The largest jobs of a class are one quarter of its jobs. */
  private static final int LARGEST_FRACTION_DIVISOR = 4;

  FairnessRule(World world, Checker checker) {
    super(world, checker);
  }

  @Override
  void ended() {
    Map<String, List<String>> classes = new HashMap<>();
    Map<String, List<String>> teams = new HashMap<>();
    for (String job : answers().accepted()) {
      JobPlan plan = world().jobs.plan(job);
      boolean hadTime = sim().now() - answers().submittedAtMs(job) > MIN_TIME_BEFORE_END_MS;
      if (hadTime && !plan.faulty() && !world().jobs.isCancelExpected(job)) {
        classes.computeIfAbsent(plan.jobClass(), k -> new ArrayList<>()).add(job);
        teams.computeIfAbsent(plan.team(), k -> new ArrayList<>()).add(job);
      }
    }
    teams.forEach((name, jobs) -> checkHalfStarted("team " + name, jobs));
    classes.forEach(
        (name, jobs) -> {
          checkHalfStarted("class " + name, jobs);
          List<String> largestJobs = largestJobs(jobs);
          checkHalfStarted("largest of class " + name, largestJobs);
          checkStartDelay(largestJobs);
        });
  }

  private List<String> largestJobs(List<String> jobs) {
    List<String> bySize = new ArrayList<>(jobs);
    bySize.sort(Comparator.comparingInt(job -> -world().jobs.plan(job).tasks()));
    return bySize.subList(
        0, (bySize.size() + LARGEST_FRACTION_DIVISOR - 1) / LARGEST_FRACTION_DIVISOR);
  }

  private void checkHalfStarted(String group, List<String> jobs) {
    long started =
        jobs.stream().filter(job -> answers().isDone(job) || tasks().hasStarted(job)).count();
    if (started * 2 < jobs.size()) {
      report("unserved: %d of %d of %s".formatted(started, jobs.size(), group));
    }
  }

  private void checkStartDelay(List<String> jobs) {
    for (String job : jobs) {
      boolean hasNoDependencies = world().jobs.plan(job).dependencies().isEmpty();
      if (hasNoDependencies
          && tasks().firstStartAtMs(job) - answers().submittedAtMs(job) > MAX_START_DELAY_MS) {
        report("late: %s not begun within four minutes".formatted(job));
      }
    }
  }
}
