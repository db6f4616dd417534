package shorecrank.sim;

import java.util.SplittableRandom;

/** Upgrades, returns of earlier versions, orders and troubles, all drawn from the seed. */
final class RolloutMix {
  private static final String[] VERSIONS = {"none", "0-0", "0-1", "0-1", "0-1", "0-2", "0-2"};
  private static final String NEWEST = "0-2";
  private static final double LAST_ROLL_EVERY_S = 2.5;

  private final Scenario scenario;
  private final World world;
  private final SplittableRandom random;

  RolloutMix(Scenario scenario, World world) {
    this.scenario = scenario;
    this.world = world;
    this.random = world.sim.random.split();
  }

  /** {@code mix-rollout COUNT FROM TO}; after that all controllers get the newest version. */
  void draw(String[] a) {
    int count = Integer.parseInt(a[1]);
    double from = Double.parseDouble(a[2]);
    double to = Double.parseDouble(a[3]);
    for (int i = 0; i < count; i++) {
      double at = from + random.nextDouble() * (to - from);
      for (String line : one(i).split(";")) {
        at(at, line);
      }
    }
    for (int n = 0; n < world.nodes.size(); n++) {
      at(to + n * LAST_ROLL_EVERY_S, "roll n" + n + " " + NEWEST + " 1");
    }
  }

  private void at(double s, String line) {
    world.sim.at((long) (s * 1000), () -> scenario.act(world, line));
  }

  private String node() {
    return "n" + random.nextInt(world.nodes.size());
  }

  private String who() {
    return switch (random.nextInt(4)) {
      case 0 -> "leader";
      case 1 -> "owner";
      default -> node();
    };
  }

  private String one(int i) {
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
