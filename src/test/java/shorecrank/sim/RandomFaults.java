package shorecrank.sim;

/** Faults of all kinds, alone and combined, drawn from the scenario's seed. */
final class RandomFaults extends RandomActions {
  private static final String[] CONTROLLERS = {"owner", "leader", "all", "n0", "n1", "n2"};
  private static final String[] LINKS = {"state", "peers", "workers", "users", "all"};
  private static final String[] MODES = {"drop", "hold", "refuse"};
  private static final int MACHINES = 8;
  private static final int KINDS = 30;

  /** Longest duration of a fault, in tenths of a second. */
  private static final double MAX_DURATION_TENTHS_S = 400;

  RandomFaults(World world, ScenarioLine line) {
    super(world, line);
  }

  @Override
  void draw(int count, double fromS, double toS) {
    for (int i = 0; i < count; i++) {
      double at = fromS + random().nextDouble() * (toS - fromS);
      double durationS =
          Math.round(Math.pow(random().nextDouble(), 2) * MAX_DURATION_TENTHS_S) / 10.0;
      String target = pick(CONTROLLERS);
      String node = "n" + random().nextInt(3);
      String machine = String.format("n-%06d", 1 + random().nextInt(MACHINES));
      String mode = pick(MODES);
      script().schedule(at, fault(random().nextInt(KINDS), durationS, target, node, machine, mode));
    }
  }

  /**
   * Returns a fault of the given kind. Each kind makes its own further draws, in a fixed order on
   * which the results for a seed depend.
   */
  private String fault(
      int kind, double seconds, String target, String node, String machine, String mode) {
    return switch (kind) {
      case 0, 1 ->
          "crash " + target + " " + (random().nextBoolean() ? "0.2" : "" + (2 + seconds / 8));
      case 2 -> "freeze " + node + " " + seconds;
      case 3, 4 -> "cut " + node + " " + pick(LINKS) + " " + seconds + " " + mode;
      case 5 ->
          "cut owner state " + seconds + " " + mode + ";cut owner peers " + seconds + " " + mode;
      case 6 -> "outage state " + seconds;
      case 7 -> "outage cloud " + seconds;
      case 8 -> "hang " + machine + " " + seconds;
      case 9 -> "cut-worker " + machine + " " + seconds + " " + lossOrDelay();
      case 10 -> "cut-answers " + machine + " " + seconds;
      case 11 -> "duplicate-heartbeats " + seconds + " " + (2 + random().nextInt(40));
      case 12 -> "preempt-machine " + machine;
      case 13 -> "cut owner workers " + seconds + " " + mode;
      case 14 -> "isolate-zone " + node + " " + seconds + " " + lossOrDelay();
      case 15 -> "partition-zones a b " + seconds + " " + lossOrDelay();
      case 16 -> "freeze owner " + seconds + ";hang " + machine + " " + seconds;
      case 17 -> "late-writes 0." + (1 + random().nextInt(6)) + " " + seconds;
      case 18 -> "late-writes 0." + (1 + random().nextInt(6)) + " " + seconds + " at-once";
      case 19 -> "replay-to-next-leader " + seconds + ";crash leader 0.3";
      case 20 ->
          "replay-to-next-leader " + (seconds + 5) + ";crash " + target + " " + (1 + seconds / 8);
      case 21 -> "cut-heartbeats " + machine + " " + seconds + " " + lossOrDelay();
      case 22 -> "slow-state " + (5 + random().nextInt(40)) + " " + seconds;
      case 23 -> "cut leader state 14 refuse;cancel-now 2;outage state " + (seconds + 10);
      case 24 -> "cancel-now 3 " + seconds + ";crash " + target + " 2";
      case 25 -> "cancel-now 2;cut owner state " + seconds + " refuse";
      case 26 ->
          "cut leader state "
              + seconds
              + " hold;cut leader peers "
              + seconds
              + " hold;cancel-now 2";
      case 27 -> "cut-worker zone=a " + seconds + " hold;crash owner 3;cancel-now 1";
      case 28 -> "cut-answers zone=a " + seconds + ";crash leader 1";
      default -> "crash " + target + " 0.3;crash " + target + " 0.1";
    };
  }

  /** Draws a mode for cuts of workers or zones, to which {@code refuse} does not apply. */
  private String lossOrDelay() {
    return pick("drop", "hold");
  }
}
