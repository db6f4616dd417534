package shorecrank.soak;

import java.nio.file.Path;
import java.util.List;
import shorecrank.sim.SoakFleet;

/** One run of a fleet under the faults of one seed. */
final class SoakRun {
  private static final int FEW_MACHINES = 8;
  private static final int MANY_MACHINES = 200;

  /** One run of so many has {@link #MANY_MACHINES}. */
  private static final int MANY_MACHINES_EVERY = 10;

  private static final int FAULTS = 6;
  private static final double FAULTS_FROM_S = 8;
  private static final double FAULTS_TO_S = 30;

  /**
   * What a run has found.
   *
   * @param violations empty if the run is green
   * @param schedule the faults and their times
   */
  record Result(
      long seed, List<String> violations, List<String> schedule, String summary, Path logs) {
    boolean isGreen() {
      return violations.isEmpty();
    }

    /** Describes a red run: what was violated, the faults, and how to play it again. */
    String describe() {
      return "seed %d: %s%n  %s%n  faults: %s%n  logs: %s%n  again: mvn -B test -Psoak -Dseed=%d"
          .formatted(seed, summary, violations, schedule, logs, seed);
    }
  }

  private SoakRun() {}

  /**
   * Runs a fleet until its faults are over and its jobs have ended.
   *
   * @param directory receives a directory with the controllers' files and logs
   */
  static Result play(long seed, Path directory) throws Exception {
    int machines = seed % MANY_MACHINES_EVERY == 0 ? MANY_MACHINES : FEW_MACHINES;
    Path logs = directory.resolve("seed-" + seed);
    try (SoakFleet fleet =
        new SoakFleet(seed, logs, machines, FAULTS, FAULTS_FROM_S, FAULTS_TO_S)) {
      fleet.run();
      return new Result(seed, fleet.violations(), fleet.schedule(), fleet.summary(), logs);
    }
  }
}
