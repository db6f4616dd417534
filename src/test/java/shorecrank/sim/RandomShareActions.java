package shorecrank.sim;

import java.util.ArrayList;
import java.util.List;

/**
 * Orders that move machines throughout the run, and faults that strike at the steps of those moves,
 * drawn from the scenario's seed.
 */
final class RandomShareActions extends RandomActions {
  private static final double ORDER_EVERY_S = 2;

  /** Highest number of a move that a fault may strike; numbers start at 1. */
  private static final int MOVES = 24;

  /** What a leader logs at each step of a move. */
  private static final String[] STEPS = {
    "move.requested id=", "move.draining id=", "move.handed_over id=", "move.done id="
  };

  private int orders;

  RandomShareActions(World world, ScenarioLine line) {
    super(world, line);
  }

  @Override
  void draw(int count, double fromS, double toS) {
    for (double at = fromS; at < toS; at += ORDER_EVERY_S * (0.5 + random().nextDouble())) {
      world().sim.at((long) (at * 1000), this::orderMove);
    }
    for (int i = 0; i < count; i++) {
      String step = pick(STEPS) + (1 + random().nextInt(MOVES)) + " ";
      String actions = fault();
      world().log.replaceWhenLogged(step, () -> script().run(actions));
    }
  }

  /**
   * Orders a move of up to three machines to a random shard; at times orders a second move of the
   * same machines through a random controller, or aborts all moves.
   */
  private void orderMove() {
    List<String> machines = world().workers().stream().map(SimulatedWorker::name).toList();
    if (machines.isEmpty()) {
      return;
    }
    List<String> chosen = new ArrayList<>();
    for (int i = 0; i <= random().nextInt(3); i++) {
      chosen.add(machines.get(random().nextInt(machines.size())));
    }
    String names = String.join(",", chosen.stream().distinct().toList());
    orderTo(names);
    if (random().nextInt(4) == 0) {
      orderTo(names);
    }
    if (random().nextInt(6) == 0) {
      script().run("share-order " + randomController() + " o" + ++orders + " abort all");
    }
  }

  private void orderTo(String names) {
    int to = random().nextInt(world().settings().shards());
    String order = "share-order %s o%d move machines=%s to=%d";
    script().run(order.formatted(randomController(), ++orders, names, to));
  }

  private String randomTarget() {
    return switch (random().nextInt(5)) {
      case 0 -> "leader";
      case 1, 2, 3 -> "owner-of-" + random().nextInt(world().settings().shards());
      default -> randomController();
    };
  }

  private String randomMachine() {
    return "n-%06d".formatted(1 + random().nextInt(12));
  }

  private String fault() {
    String seconds = "" + (1 + random().nextInt(12));
    String mode = pick("drop", "hold", "refuse");
    String restartS = random().nextInt(2) == 0 ? "0.3" : "" + (1 + random().nextInt(5));
    return switch (random().nextInt(18)) {
      case 0, 1, 2 -> "crash " + randomTarget() + " " + restartS;
      case 3, 4 -> "freeze " + randomTarget() + " " + seconds;
      case 5 -> "cut " + randomTarget() + " state " + seconds + " " + mode;
      case 6 -> "cut " + randomTarget() + " peers " + seconds + " " + mode;
      case 7 -> "cut " + randomTarget() + " workers " + seconds + " " + mode;
      case 8 -> "cut leader state " + seconds + " hold;cut leader peers " + seconds + " hold";
      case 9 -> "late-writes 1 2";
      case 10 -> "late-writes 0.6 5";
      case 11 -> "late-writes 1 2 at-once";
      case 12 -> "crash all " + restartS;
      case 13 -> "duplicate-heartbeats 8 30";
      case 14 -> "replay-to-next-leader 6;crash leader 0.3";
      case 15 -> "hang " + randomMachine() + " " + seconds;
      case 16 ->
          random().nextInt(2) == 0
              ? "preempt-machine " + randomMachine()
              : "preemption-notice " + randomMachine() + " 8";
      default -> "cancel-now 2;outage state " + seconds;
    };
  }
}
