package shorecrank.sim;

import java.util.SplittableRandom;

/** Upgrades, returns of earlier versions, orders and faults, all drawn from the seed. */
final class RolloutMix {
  private static final String[] VERSIONS = {"none", "0-0", "0-1", "0-1", "0-1", "0-2", "0-2"};
  private static final String NEWEST = "0-2";
  private static final double LAST_ROLL_EVERY_S = 2.5;

  private final World world;
  private final SplittableRandom random;
  private final FaultScript script;

  private RolloutMix(World world, ScenarioLine line) {
    this.world = world;
    this.random = world.sim.random().split();
    this.script = new FaultScript(world, line);
  }

  /** {@code mix-rollout COUNT FROM TO}; after that all controllers get the newest version. */
  static Declaration read(ScenarioLine line) {
    int count = line.integer(1);
    double fromS = line.decimal(2);
    double toS = line.decimal(3);
    return setup ->
        setup.afterOpening(() -> new RolloutMix(setup.world(), line).draw(count, fromS, toS));
  }

  private void draw(int count, double fromS, double toS) {
    for (int i = 0; i < count; i++) {
      double at = fromS + random.nextDouble() * (toS - fromS);
      script.at(at, action(i));
    }
    for (int n = 0; n < world.controllers().size(); n++) {
      script.at(toS + n * LAST_ROLL_EVERY_S, "roll n" + n + " " + NEWEST + " 1");
    }
  }

  private String node() {
    return "n" + random.nextInt(world.controllers().size());
  }

  private String who() {
    return switch (random.nextInt(4)) {
      case 0 -> "leader";
      case 1 -> "owner";
      default -> node();
    };
  }

  private String action(int i) {
    String back = random.nextInt(3) == 0 ? "0.3" : "" + (1 + random.nextInt(4));
    String version = VERSIONS[random.nextInt(VERSIONS.length)];
    String s = "" + (1 + random.nextInt(12));
    return switch (random.nextInt(20)) {
      case 0, 1, 2, 3 -> "roll " + node() + " " + version + " " + back;
      case 4 -> "roll leader " + version + " " + back;
      case 5 -> "roll owner " + version + " " + back;
      case 6, 7, 8 -> "order " + node() + " o" + i + " finalize " + (1 + random.nextInt(2));
      case 9, 10 -> "order " + node() + " o" + i + " downgrade " + random.nextInt(2);
      case 11 -> "order n0 o" + i + " abort;order n1 o" + i + " abort";
      case 12 -> "order " + node() + " o" + i + " archive";
      case 13 -> "crash " + who() + " " + back;
      case 14 -> "freeze " + who() + " " + s;
      case 15 -> "cut " + who() + " state " + s + " hold";
      case 16 -> "cut " + who() + " peers " + s + " drop";
      case 17 -> "late-writes 0.4 " + s;
      case 18 -> "outage state " + s;
      default -> "cancel-now 2;crash " + who() + " " + back;
    };
  }
}
