package shorecrank.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import shorecrank.config.InvalidConfigException;
import shorecrank.config.Settings;
import shorecrank.config.SettingsFile;

/**
 * A scenario in a text file, a line a step; docs/design.md says what the lines mean.
 *
 * <p>Every rule of the protocol is checked at every step; {@code expect} lines add what else must
 * hold.
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
   * Reads a scenario.
   *
   * @param name of its file
   * @throws ScenarioSyntaxException if a line can't be read
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

  /** From how many seeds a file is played. */
  static long seeds(String text) {
    return text.lines()
        .filter(line -> line.startsWith(SEEDS))
        .mapToLong(line -> Long.parseLong(line.substring(SEEDS.length()).trim()))
        .findFirst()
        .orElse(DEFAULT_SEEDS);
  }

  /** Has the cost of steps and messages taken by the next runs. */
  void measureWith(Measurements receiver) {
    measurements = receiver;
  }

  /** Has every reply and call of the controllers taken by the next run; null for none. */
  void digestWith(OutputDigest receiver) {
    digest = receiver;
  }

  /** Has something done to the world before it runs, for what no line can say. */
  void beforeRun(Consumer<World> action) {
    beforeRun = action;
  }

  /** Where it was played last. */
  World world() {
    return world;
  }

  /**
   * Plays it in a world of its own.
   *
   * @return what was wrong, with simulated times; empty if nothing was
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

  /** The checker itself is under test: it has to see this. */
  private List<String> missingViolation(String rule) {
    boolean isReported = world.checker.violations().stream().anyMatch(text -> text.contains(rule));
    return isReported ? List.of() : List.of("violation not reported: " + rule);
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
