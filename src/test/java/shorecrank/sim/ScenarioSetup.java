package shorecrank.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import shorecrank.config.InvalidConfigException;

/** A world while the lines of a scenario describe it, before its controllers start. */
final class ScenarioSetup {
  private static final int CONTROLLERS = 3;
  private static final long UNTIL_MS = 120_000;
  private static final String DEFAULT_TEAM = "t";

  private final World world;
  private final List<Runnable> afterStart = new ArrayList<>();
  private final StringBuilder rolloutSettings = new StringBuilder();
  private int controllers = CONTROLLERS;
  private long untilMs = UNTIL_MS;
  private String ruleToBreak;

  ScenarioSetup(World world) {
    this.world = world;
  }

  /** What is described. */
  World world() {
    return world;
  }

  /** There will be so many controllers. */
  void controllers(int count) {
    controllers = count;
  }

  /** When the run ends, in simulated time. */
  long untilMs() {
    return untilMs;
  }

  /** The run ends at a time. */
  void runUntil(long ms) {
    untilMs = ms;
  }

  /** The rule that the run has to break, if it is a test of the checker. */
  Optional<String> ruleToBreak() {
    return Optional.ofNullable(ruleToBreak);
  }

  /** The run has to break a rule. */
  void mustBreak(String rule) {
    ruleToBreak = rule;
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
    world.startControllers(controllers);
    afterStart.forEach(Runnable::run);
  }
}
