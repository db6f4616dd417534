package shorecrank.sim;

/** Upgrades, downgrades, operators' orders and faults, drawn from the scenario's seed. */
final class RandomRolloutActions extends RandomActions {
  private static final String[] VERSIONS = {"none", "0-0", "0-1", "0-1", "0-1", "0-2", "0-2"};
  private static final String NEWEST = "0-2";
  private static final double LAST_ROLL_EVERY_S = 2.5;

  RandomRolloutActions(World world, ScenarioLine line) {
    super(world, line);
  }

  /**
   * Draws the actions, and schedules the newest version for all controllers after the last of them.
   */
  @Override
  void draw(int count, double fromS, double toS) {
    for (int i = 0; i < count; i++) {
      double at = fromS + random().nextDouble() * (toS - fromS);
      script().schedule(at, action(i));
    }
    for (int n = 0; n < world().controllers().size(); n++) {
      script().schedule(toS + n * LAST_ROLL_EVERY_S, "roll n" + n + " " + NEWEST + " 1");
    }
  }

  private String randomTarget() {
    return switch (random().nextInt(4)) {
      case 0 -> "leader";
      case 1 -> "owner";
      default -> randomController();
    };
  }

  private String action(int number) {
    String restartS = random().nextInt(3) == 0 ? "0.3" : "" + (1 + random().nextInt(4));
    String version = pick(VERSIONS);
    String seconds = "" + (1 + random().nextInt(12));
    return switch (random().nextInt(20)) {
      case 0, 1, 2, 3 -> "roll " + randomController() + " " + version + " " + restartS;
      case 4 -> "roll leader " + version + " " + restartS;
      case 5 -> "roll owner " + version + " " + restartS;
      case 6, 7, 8 ->
          "rollout-order "
              + randomController()
              + " o"
              + number
              + " finalize "
              + (1 + random().nextInt(2));
      case 9, 10 ->
          "rollout-order "
              + randomController()
              + " o"
              + number
              + " downgrade "
              + random().nextInt(2);
      case 11 -> "rollout-order n0 o" + number + " abort;rollout-order n1 o" + number + " abort";
      case 12 -> "rollout-order " + randomController() + " o" + number + " archive";
      case 13 -> "crash " + randomTarget() + " " + restartS;
      case 14 -> "freeze " + randomTarget() + " " + seconds;
      case 15 -> "cut " + randomTarget() + " state " + seconds + " hold";
      case 16 -> "cut " + randomTarget() + " peers " + seconds + " drop";
      case 17 -> "late-writes 0.4 " + seconds;
      case 18 -> "outage state " + seconds;
      default -> "cancel-now 2;crash " + randomTarget() + " " + restartS;
    };
  }
}
