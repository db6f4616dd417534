package shorecrank.sim;

import java.util.SplittableRandom;
import java.util.function.BiFunction;

/** Scenario actions that are drawn from the scenario's seed, a given number within a time range. */
abstract class RandomActions {
  private final World world;
  private final SplittableRandom random;
  private final FaultScript script;

  /**
   * @param line the scenario line that asked for the actions
   */
  RandomActions(World world, ScenarioLine line) {
    this.world = world;
    this.random = world.sim.random().split();
    this.script = new FaultScript(world, line);
  }

  /** Returns a reader for {@code NAME COUNT FROM TO}, with times in seconds. */
  static Declaration.Reader reader(BiFunction<World, ScenarioLine, RandomActions> kind) {
    return line -> {
      int count = line.integer(1);
      double fromS = line.decimal(2);
      double toS = line.decimal(3);
      return setup ->
          setup.afterStart(() -> kind.apply(setup.world(), line).draw(count, fromS, toS));
    };
  }

  /**
   * Draws and schedules the actions.
   *
   * @param count number of actions
   * @param fromS earliest time, in seconds
   * @param toS latest time, in seconds
   */
  abstract void draw(int count, double fromS, double toS);

  /** Returns the world that the actions run in. */
  World world() {
    return world;
  }

  /** Returns the generator for these draws, which is independent of the world's other draws. */
  SplittableRandom random() {
    return random;
  }

  /** Returns the script that schedules or runs the actions. */
  FaultScript script() {
    return script;
  }

  /** Draws the label of a controller. */
  String randomController() {
    return "n" + random.nextInt(world.controllers().size());
  }

  /** Draws one of the words. */
  String pick(String... words) {
    return words[random.nextInt(words.length)];
  }
}
