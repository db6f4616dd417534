package shorecrank.sim;

import java.util.function.BooleanSupplier;

/**
 * Jobs of the two teams of {@link ProcessWorld#setUpSmallSite}, submitted at an interval. Every
 * fifth is cancelled.
 */
final class SteadyLoad {
  private static final int CANCEL_EVERY_NTH = 5;
  private static final long CANCEL_AFTER_MS = 2500;

  private final World world;
  private final BooleanSupplier isOn;
  private int submitted;

  /**
   * @param isOn whether further jobs are submitted; once it is false, the load ends
   */
  SteadyLoad(World world, BooleanSupplier isOn) {
    this.world = world;
    this.isOn = isOn;
  }

  /** Returns how many jobs were submitted. */
  int submitted() {
    return submitted;
  }

  /** Submits a job now and another after each interval. */
  void submitEvery(long ms) {
    if (!isOn.getAsBoolean()) {
      return;
    }
    int number = ++submitted;
    String id = "wk-" + number;
    JobPlan plan =
        JobPlan.builder()
            .tasks(1 + number % 6)
            .cpus(2)
            .runS(1 + number % 4)
            .fetchS(0.5)
            .team(number % 3 == 0 ? "u" : "t")
            .build();
    world.users.submit(id, plan);
    if (number % CANCEL_EVERY_NTH == 0) {
      world.sim.after(CANCEL_AFTER_MS, () -> world.users.cancel(id));
    }
    world.sim.after(ms, () -> submitEvery(ms));
  }
}
