package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Second copies of workers' heartbeats and of direct commands, which arrive late and maybe
 * elsewhere. Nobody waits for the answers to them.
 */
final class DuplicateMessages {
  private static final double MS_PER_S = 1000;
  private static final int EARLIEST_HEARTBEAT_MS = 2000;
  private static final int EARLIEST_COMMAND_MS = 500;

  /** How often it is looked who leads, and for how long after the last copy was made. */
  private static final long WATCH_EVERY_MS = 20;

  private static final long WATCH_MS = 60_000;
  private static final int DELIVERY_SPREAD_MS = 1500;
  private static final long SETTLING_MS = 2000;

  private final World world;
  private final Simulation sim;
  private long untilMs = -1;
  private int latestMs;
  private boolean inOrder;
  private boolean keptForNextLeader;
  private final List<Runnable> kept = new ArrayList<>();

  DuplicateMessages(World world) {
    this.world = world;
    this.sim = world.sim;
  }

  /** For a while every message arrives a second time, so much later at most or just so much. */
  void sendFor(long durationMs, double latestS, boolean allInOrder) {
    keptForNextLeader = false;
    inOrder = allInOrder;
    untilMs = sim.now() + durationMs;
    latestMs = (int) (latestS * MS_PER_S);
    world.faults.addFault(durationMs + (long) (latestS * MS_PER_S) + SETTLING_MS);
  }

  /** A copy of each heartbeat of a while is kept, and reaches all under the next leader. */
  void keepForNextLeader(long durationMs) {
    keptForNextLeader = true;
    untilMs = sim.now() + durationMs;
    world.faults.addFault(durationMs);
    deliverToNext(leadingWriter(), sim.now() + durationMs + WATCH_MS);
  }

  private String leadingWriter() {
    return world.store.peek("leader").path("writer").asText("");
  }

  private void deliverToNext(String former, long giveUpAtMs) {
    String leading = leadingWriter();
    if (!leading.isEmpty() && !leading.equals(former)) {
      world.faults.addFault(0);
      List<Runnable> all = List.copyOf(kept);
      kept.clear();
      // Some copies come in order, some do not.
      all.forEach(copy -> sim.after(sim.random().nextInt(DELIVERY_SPREAD_MS), copy));
    } else if (sim.now() < giveUpAtMs) {
      sim.after(WATCH_EVERY_MS, () -> deliverToNext(former, giveUpAtMs));
    }
  }

  /** A worker has sent a heartbeat to a controller. */
  void sentHeartbeat(ControllerNode to, JsonNode body) {
    if (sim.now() >= untilMs) {
      return;
    }
    ControllerRequest copy = ControllerRequest.heartbeat(body);
    if (keptForNextLeader) {
      kept.add(() -> world.controllers().forEach(node -> node.receive(copy, ReplyHandler.IGNORE)));
      return;
    }
    List<ControllerNode> nodes = world.controllers();
    ControllerNode at =
        sim.random().nextBoolean() ? to : nodes.get(sim.random().nextInt(nodes.size()));
    sim.after(delayMs(EARLIEST_HEARTBEAT_MS), () -> at.receive(copy, ReplyHandler.IGNORE));
  }

  /** A controller has sent commands straight to a worker. */
  void sentCommands(SimulatedWorker to, JsonNode body) {
    if (sim.now() < untilMs && !keptForNextLeader) {
      sim.after(delayMs(EARLIEST_COMMAND_MS), () -> to.takeCommands(body, ReplyHandler.IGNORE));
    }
  }

  private long delayMs(int earliestMs) {
    return inOrder ? latestMs : earliestMs + sim.random().nextInt(latestMs);
  }
}
