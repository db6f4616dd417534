package shorecrank.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import shorecrank.config.InvalidConfigException;

/** The setup of a scenario's world: collects what the lines declare, and starts the controllers. */
final class ScenarioSetup {
  private static final int DEFAULT_CONTROLLER_COUNT = 3;
  private static final long DEFAULT_END_MS = 120_000;
  private static final String DEFAULT_TEAM = "t";

  private final World world;
  private final List<Runnable> afterStart = new ArrayList<>();
  private final StringBuilder rolloutSettings = new StringBuilder();
  private int controllerCount = DEFAULT_CONTROLLER_COUNT;
  private long endMs = DEFAULT_END_MS;
  private String expectedViolation;

  ScenarioSetup(World world) {
    this.world = world;
  }

  /** Returns the world that is set up. */
  World world() {
    return world;
  }

  /** Sets the number of controllers. */
  void controllerCount(int count) {
    controllerCount = count;
  }

  /** Returns the simulated time at which the run ends, in milliseconds. */
  long endMs() {
    return endMs;
  }

  /** Sets the simulated time at which the run ends, in milliseconds. */
  void runUntil(long ms) {
    endMs = ms;
  }

  /**
   * Returns a word of the violation that the checker has to report, or empty if the scenario is not
   * a test of the checker.
   */
  Optional<String> expectedViolation() {
    return Optional.ofNullable(expectedViolation);
  }

  /**
   * Declares the scenario a test of the checker, which has to report a violation whose text
   * contains the word.
   */
  void expectViolation(String word) {
    expectedViolation = word;
  }

  /** Adds a line to the operators' rollout file. */
  void rolloutSetting(String line) {
    rolloutSettings.append(line).append('\n');
  }

  /** Adds an action that runs once the controllers have started. */
  void afterStart(Runnable action) {
    afterStart.add(action);
  }

  /** Starts the controllers, and then runs the actions of {@link #afterStart}. */
  void open() throws InvalidConfigException {
    if (world.site.teams().isEmpty()) {
      world.site.addTeam(DEFAULT_TEAM, new TeamQuota(0, 0));
    }
    if (world.shares.isEnabled() && rolloutSettings.isEmpty()) {
      // Shares need their feature level, and most scenarios with shares test what happens once it
      // is in force. So by default the level rises as soon as possible.
      rolloutSetting("automatic: true settle_s: 1 archive_before_raise: false");
    }
    if (!rolloutSettings.isEmpty()) {
      world.rollouts.enable(rolloutSettings.toString());
    }
    world.startControllers(controllerCount);
    afterStart.forEach(Runnable::run);
  }
}
