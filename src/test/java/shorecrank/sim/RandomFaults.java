package shorecrank.sim;

import java.util.SplittableRandom;

/** Faults of all kinds, alone and together, drawn from the scenario's seed. */
final class RandomFaults {
  private static final String[] CONTROLLERS = {"owner", "leader", "all", "n0", "n1", "n2"};
  private static final String[] LINKS = {"state", "peers", "workers", "users", "all"};
  private static final String[] MODES = {"drop", "hold", "refuse"};
  private static final int MACHINES = 8;
  private static final int KINDS = 30;

  /** The longest fault takes that many tenths of a second. */
  private static final double LONGEST = 400;

  private final SplittableRandom random;
  private final FaultScript script;

  private RandomFaults(World world, ScenarioLine line) {
    this.random = world.sim.random().split();
    this.script = new FaultScript(world, line);
  }

  /** {@code mix COUNT FROM TO}: so many faults between two times, in seconds. */
  static Declaration read(ScenarioLine line) {
    int count = line.integer(1);
    double fromS = line.decimal(2);
    double toS = line.decimal(3);
    return setup ->
        setup.afterOpening(() -> new RandomFaults(setup.world(), line).draw(count, fromS, toS));
  }

  private void draw(int count, double fromS, double toS) {
    for (int i = 0; i < count; i++) {
      double at = fromS + random.nextDouble() * (toS - fromS);
      double durationS = Math.round(Math.pow(random.nextDouble(), 2) * LONGEST) / 10.0;
      String who = CONTROLLERS[random.nextInt(CONTROLLERS.length)];
      String node = "n" + random.nextInt(3);
      String machine = String.format("n-%06d", 1 + random.nextInt(MACHINES));
      String mode = MODES[random.nextInt(MODES.length)];
      script.at(at, fault(random.nextInt(KINDS), durationS, who, node, machine, mode));
    }
  }

  /** Draws the rest of a fault; which draws are made, and in which order, goes by its kind. */
  private String fault(int kind, double s, String who, String node, String machine, String mode) {
    return switch (kind) {
      case 0, 1 -> "crash " + who + " " + (random.nextBoolean() ? "0.2" : "" + (2 + s / 8));
      case 2 -> "freeze " + node + " " + s;
      case 3, 4 -> "cut " + node + " " + LINKS[random.nextInt(5)] + " " + s + " " + mode;
      case 5 -> "cut owner state " + s + " " + mode + ";cut owner peers " + s + " " + mode;
      case 6 -> "outage state " + s;
      case 7 -> "outage cloud " + s;
      case 8 -> "hang " + machine + " " + s;
      case 9 -> "silence " + machine + " " + s + " " + lossOrDelay();
      case 10 -> "deafen " + machine + " " + s;
      case 11 -> "copies " + s + " " + (2 + random.nextInt(40));
      case 12 -> "take " + machine;
      case 13 -> "cut owner workers " + s + " " + mode;
      case 14 -> "zonecut " + node + " " + s + " " + lossOrDelay();
      case 15 -> "partition a b " + s + " " + lossOrDelay();
      case 16 -> "freeze owner " + s + ";hang " + machine + " " + s;
      case 17 -> "late-writes 0." + (1 + random.nextInt(6)) + " " + s;
      case 18 -> "late-writes 0." + (1 + random.nextInt(6)) + " " + s + " at-once";
      case 19 -> "copies-for-next " + s + ";crash leader 0.3";
      case 20 -> "copies-for-next " + (s + 5) + ";crash " + who + " " + (1 + s / 8);
      case 21 -> "mute " + machine + " " + s + " " + lossOrDelay();
      case 22 -> "slow " + (5 + random.nextInt(40)) + " " + s;
      case 23 -> "cut leader state 14 refuse;cancel-now 2;outage state " + (s + 10);
      case 24 -> "cancel-now 3 " + s + ";crash " + who + " 2";
      case 25 -> "cancel-now 2;cut owner state " + s + " refuse";
      case 26 -> "cut leader state " + s + " hold;cut leader peers " + s + " hold;cancel-now 2";
      case 27 -> "silence zone=a " + s + " hold;crash owner 3;cancel-now 1";
      case 28 -> "deafen zone=a " + s + ";crash leader 1";
      default -> "crash " + who + " 0.3;crash " + who + " 0.1";
    };
  }

  /** Between workers or zones nothing is refused. */
  private String lossOrDelay() {
    return MODES[random.nextInt(2)];
  }
}
