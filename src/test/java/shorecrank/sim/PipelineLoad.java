package shorecrank.sim;

import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Jobs that depend on many unfinished ones, submitted at an interval; a cancelled one cancels them.
 */
final class PipelineLoad {
  private static final int FIRST_JOB = 50_000;
  private static final int MAX_DEPENDENCIES = 24;
  private static final long SUBMIT_EVERY_MS = 3000;

  private final World world;
  private final BooleanSupplier isOn;
  private int submitted;

  /**
   * Starts the submissions.
   *
   * @param isOn whether further jobs are submitted; once it is false, the load ends
   */
  PipelineLoad(World world, BooleanSupplier isOn) {
    this.world = world;
    this.isOn = isOn;
    world.sim.after(SUBMIT_EVERY_MS, this::submitNext);
  }

  /** Returns how many jobs were submitted. */
  int submitted() {
    return submitted;
  }

  private void submitNext() {
    if (!isOn.getAsBoolean()) {
      return;
    }
    List<String> dependencies = unfinishedJobs();
    if (!dependencies.isEmpty()) {
      JobPlan plan =
          JobPlan.builder()
              .tasks(1)
              .cpus(2)
              .runS(1)
              .fetchS(0.5)
              .team("u")
              .dependencies(dependencies)
              .build();
      world.users.submit("wk-" + (FIRST_JOB + ++submitted), plan);
    }
    world.sim.after(SUBMIT_EVERY_MS, this::submitNext);
  }

  private List<String> unfinishedJobs() {
    AnswerHistory answers = world.checker.answers();
    return world.jobs.idsInStableOrder().stream()
        .filter(job -> answers.isAccepted(job) && !answers.isOver(job))
        .limit(1 + world.sim.random().nextInt(MAX_DEPENDENCIES))
        .toList();
  }
}
