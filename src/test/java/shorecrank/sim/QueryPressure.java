package shorecrank.sim;

import java.util.List;
import java.util.function.BooleanSupplier;

/** Users that ask about random jobs, ended ones too, at random controllers at a steady rate. */
final class QueryPressure {
  private static final double MS_PER_S = 1000;

  /** One request of so many repeats the submission of the job instead. */
  private static final int REPEAT_EVERY_NTH = 50;

  private final World world;
  private final BooleanSupplier isOn;
  private final double queriesPerS;
  private final long startedAtMs;
  private long sent;

  /**
   * Starts the queries.
   *
   * @param isOn whether further queries are sent; once it is false, they end
   */
  QueryPressure(World world, double queriesPerS, BooleanSupplier isOn) {
    this.world = world;
    this.isOn = isOn;
    this.queriesPerS = queriesPerS;
    this.startedAtMs = world.sim.now();
    sendDue();
  }

  /** Returns how many queries were sent. */
  long sent() {
    return sent;
  }

  private void sendDue() {
    if (!isOn.getAsBoolean()) {
      return;
    }
    List<String> jobs = world.jobs.idsInStableOrder();
    long due = (long) ((world.sim.now() - startedAtMs) * queriesPerS / MS_PER_S);
    for (; sent < due; sent++) {
      if (!jobs.isEmpty()) {
        ask(jobs.get(world.sim.random().nextInt(jobs.size())));
      }
    }
    world.sim.after((long) (MS_PER_S / queriesPerS) + 1, this::sendDue);
  }

  private void ask(String job) {
    if (!world.checker.answers().isAccepted(job)) {
      return;
    }
    ControllerNode node =
        world.controllers().get(world.sim.random().nextInt(world.controllers().size()));
    if (sent % REPEAT_EVERY_NTH == 0) {
      world.users.resubmitAt(node, job);
    } else {
      world.users.client().send(node, UserRequest.query(job), ReplyHandler.IGNORE);
    }
  }
}
