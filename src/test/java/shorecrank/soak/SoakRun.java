package shorecrank.soak;

import java.nio.file.Path;
import java.util.List;
import shorecrank.sim.SoakFleet;
import shorecrank.sim.SoakPlan;

/** One run of a fleet under the faults of one seed. */
final class SoakRun {
  /** For how long jobs are submitted, which includes the latest time of a fault, in seconds. */
  private static final double SUBMIT_S = 36;

  /**
   * What a run has found.
   *
   * @param violations empty if the run is green
   * @param schedule the faults and their times
   */
  record Result(
      long seed,
      SoakPlan plan,
      List<String> violations,
      List<String> schedule,
      String summary,
      Path logs) {
    boolean isGreen() {
      return violations.isEmpty();
    }

    /** Describes a red run: what was violated, the faults, and how to play it again. */
    String describe() {
      return "seed %d: %s%n  %s%n  %s%n  faults: %s%n  logs: %s%n  again: mvn -B test -Psoak -Dseed=%d"
          .formatted(seed, summary, violations, plan, schedule, logs, seed);
    }
  }

  private SoakRun() {}

  /**
   * Runs a fleet until its faults are over and its jobs have ended.
   *
   * @param directory receives a directory with the controllers' files and logs
   */
  static Result play(long seed, Path directory) throws Exception {
    Path logs = directory.resolve("seed-" + seed);
    SoakPlan plan = SoakPlan.draw(seed);
    try (SoakFleet fleet = new SoakFleet(seed, logs, plan, SUBMIT_S)) {
      fleet.run();
      return new Result(seed, plan, fleet.violations(), fleet.schedule(), fleet.summary(), logs);
    }
  }
}
