package shorecrank.sim;

import java.util.SplittableRandom;
import java.util.function.BiFunction;

/** Actions that are drawn from the scenario's seed, so many between two times. */
abstract class RandomActions {
  private final World world;
  private final SplittableRandom random;
  private final FaultScript script;

  /**
   * @param line that asked for them
   */
  RandomActions(World world, ScenarioLine line) {
    this.world = world;
    this.random = world.sim.random().split();
    this.script = new FaultScript(world, line);
  }

  /** Reads {@code NAME COUNT FROM TO}, with times in seconds. */
  static Declaration.Reader reader(BiFunction<World, ScenarioLine, RandomActions> kind) {
    return line -> {
      int count = line.integer(1);
      double fromS = line.decimal(2);
      double toS = line.decimal(3);
      return setup ->
          setup.afterStart(() -> kind.apply(setup.world(), line).draw(count, fromS, toS));
    };
  }

  /** Draws the actions and plans them. */
  abstract void draw(int count, double fromS, double toS);

  /** Where they run. */
  World world() {
    return world;
  }

  /** What all of them are drawn from, apart from the world's own numbers. */
  SplittableRandom random() {
    return random;
  }

  /** Plans actions, or runs them now. */
  FaultScript script() {
    return script;
  }

  /** The label of any controller. */
  String randomController() {
    return "n" + random.nextInt(world.controllers().size());
  }

  /** Any of these. */
  String pick(String... words) {
    return words[random.nextInt(words.length)];
  }
}
