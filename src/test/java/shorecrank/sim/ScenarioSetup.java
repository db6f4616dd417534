package shorecrank.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import shorecrank.config.InvalidConfigException;

/** A world while the lines of a scenario describe it, before its controllers start. */
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

  /** What is described. */
  World world() {
    return world;
  }

  /** There will be so many controllers. */
  void controllerCount(int count) {
    controllerCount = count;
  }

  /** When the run ends, in simulated time. */
  long endMs() {
    return endMs;
  }

  /** The run ends at a time. */
  void runUntil(long ms) {
    endMs = ms;
  }

  /** The rule that the run has to break, if it is a test of the checker. */
  Optional<String> expectedViolation() {
    return Optional.ofNullable(expectedViolation);
  }

  /** The run has to break a rule. */
  void expectViolation(String rule) {
    expectedViolation = rule;
  }

  /** A line of the operators' rollout file. */
  void rolloutSetting(String line) {
    rolloutSettings.append(line).append('\n');
  }

  /** To be done once the controllers have started. */
  void afterStart(Runnable action) {
    afterStart.add(action);
  }

  /** Starts the controllers. */
  void open() throws InvalidConfigException {
    if (world.site.teams().isEmpty()) {
      world.site.addTeam(DEFAULT_TEAM, new TeamQuota(0, 0));
    }
    if (world.shares.isEnabled() && rolloutSettings.isEmpty()) {
      // Shares need their feature level; most scenarios show what comes after it is reached.
      rolloutSetting("automatic: true settle_s: 1 archive_before_raise: false");
    }
    if (!rolloutSettings.isEmpty()) {
      world.rollouts.enable(rolloutSettings.toString());
    }
    world.open(controllerCount);
    afterStart.forEach(Runnable::run);
  }
}
