package shorecrank.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import shorecrank.config.InvalidConfigException;
import shorecrank.config.Settings;
import shorecrank.config.SettingsFile;

/**
 * A scenario that is read from a text file, one step per line; docs/design.md explains the lines.
 *
 * <p>The checker checks all its rules throughout the run; {@code expect} lines add further
 * conditions.
 */
final class Scenario {
  private static final String COMMENT = "#";
  private static final String SETTING = "set";
  private static final String SEEDS = "seeds ";
  private static final long DEFAULT_SEEDS = 4;

  private final List<Declaration> declarations = new ArrayList<>();
  private final StringBuilder settings = new StringBuilder();
  private Measurements measurements;
  private OutputDigest digest;
  private Consumer<World> beforeRun = world -> {};
  private World world;

  /**
   * Parses a scenario.
   *
   * @param name the name of the file, for error messages
   * @throws ScenarioSyntaxException if a line can't be parsed
   */
  Scenario(String name, String text) {
    String[] lines = text.split("\n");
    for (int i = 0; i < lines.length; i++) {
      String trimmed = lines[i].trim();
      if (!trimmed.isEmpty() && !trimmed.startsWith(COMMENT)) {
        read(new ScenarioLine(name, i + 1, trimmed));
      }
    }
  }

  private void read(ScenarioLine line) {
    if (line.word(0).equals(SETTING)) {
      settings.append(line.textFrom(1)).append('\n');
    }
    declarations.add(Declarations.read(line));
  }

  /** Returns the number of seeds with which the scenario of this text is run. */
  static long seeds(String text) {
    return text.lines()
        .filter(line -> line.startsWith(SEEDS))
        .mapToLong(line -> Long.parseLong(line.substring(SEEDS.length()).trim()))
        .findFirst()
        .orElse(DEFAULT_SEEDS);
  }

  /** Sets what receives the costs of steps and messages of the following runs. */
  void measureWith(Measurements receiver) {
    measurements = receiver;
  }

  /** Sets what receives every reply and call of the controllers in the next run; null for none. */
  void digestWith(OutputDigest receiver) {
    digest = receiver;
  }

  /**
   * Sets an action on the world that is performed before it runs, for setups that no line can
   * express.
   */
  void beforeRun(Consumer<World> action) {
    beforeRun = action;
  }

  /** Returns the world of the latest run. */
  World world() {
    return world;
  }

  /**
   * Runs the scenario in a new world.
   *
   * @return the failures, with simulated times; empty if there are none
   */
  List<String> play(long seed, boolean verbose) throws InvalidConfigException {
    Settings worldSettings =
        settings.isEmpty() ? SettingsFile.defaults() : SettingsFile.read(settings.toString());
    world = new World(seed, worldSettings, new RunOptions(verbose, measurements, digest));
    ScenarioSetup setup = new ScenarioSetup(world);
    declarations.forEach(declaration -> declaration.apply(setup));
    setup.open();
    beforeRun.accept(world);
    world.sim.runUntil(setup.endMs());
    world.checker.end();
    return setup.expectedViolation().map(this::missingViolation).orElseGet(this::failures);
  }

  /**
   * Returns a failure if the checker reported no violation whose text contains the word; used by
   * scenarios that test the checker.
   */
  private List<String> missingViolation(String word) {
    boolean isReported = world.checker.violations().stream().anyMatch(text -> text.contains(word));
    return isReported ? List.of() : List.of("violation not reported: " + word);
  }

  private List<String> failures() {
    List<String> failures = new ArrayList<>(world.checker.violations());
    if (world.checker.tasks().starts() == 0) {
      failures.add("nothing_ran");
    }
    failures.addAll(world.unmetExpectations());
    return failures;
  }
}
