package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Delivers second copies of workers' heartbeats and of direct commands, late and in part to other
 * controllers. Answers to the copies are discarded.
 */
final class DuplicateMessages {
  private static final double MS_PER_S = 1000;
  private static final int MIN_HEARTBEAT_DELAY_MS = 2000;
  private static final int MIN_COMMAND_DELAY_MS = 500;

  /** Interval of the checks for a new leader. */
  private static final long LEADER_POLL_MS = 20;

  /** How long after the last copied heartbeat the checks for a new leader go on. */
  private static final long LEADER_POLL_LIMIT_MS = 60_000;

  private static final int REPLAY_SPREAD_MS = 1500;
  private static final long DELIVERY_MARGIN_MS = 2000;

  private final World world;
  private final Simulation sim;
  private long untilMs = -1;
  private int maxDelayMs;
  private boolean inOrder;
  private boolean replayAtLeaderChange;
  private final List<Runnable> copies = new ArrayList<>();

  DuplicateMessages(World world) {
    this.world = world;
    this.sim = world.sim;
  }

  /**
   * Duplicates every heartbeat and direct command that is sent within the given time.
   *
   * @param maxDelayS range of the random delay of each copy in seconds, which is added to a
   *     minimum; the exact delay if {@code allInOrder}
   * @param allInOrder whether all copies have the same delay, so that they keep their order
   */
  void duplicateFor(long durationMs, double maxDelayS, boolean allInOrder) {
    replayAtLeaderChange = false;
    inOrder = allInOrder;
    untilMs = sim.now() + durationMs;
    maxDelayMs = (int) (maxDelayS * MS_PER_S);
    world.faults.addFault(durationMs + (long) (maxDelayS * MS_PER_S) + DELIVERY_MARGIN_MS);
  }

  /**
   * Copies each heartbeat that is sent within the given time, and delivers the copies to all
   * controllers once another leader is elected.
   */
  void replayToNextLeader(long durationMs) {
    replayAtLeaderChange = true;
    untilMs = sim.now() + durationMs;
    world.faults.addFault(durationMs);
    replayOnceLeaderChanges(leaderWriter(), sim.now() + durationMs + LEADER_POLL_LIMIT_MS);
  }

  private String leaderWriter() {
    return world.store.peek("leader").path("writer").asText("");
  }

  private void replayOnceLeaderChanges(String formerLeader, long giveUpAtMs) {
    String leader = leaderWriter();
    if (!leader.isEmpty() && !leader.equals(formerLeader)) {
      world.faults.addFault(0);
      List<Runnable> all = List.copyOf(copies);
      copies.clear();
      // Each copy has its own random delay, so that some arrive out of order.
      all.forEach(copy -> sim.after(sim.random().nextInt(REPLAY_SPREAD_MS), copy));
    } else if (sim.now() < giveUpAtMs) {
      sim.after(LEADER_POLL_MS, () -> replayOnceLeaderChanges(formerLeader, giveUpAtMs));
    }
  }

  /** Copies a heartbeat that a worker has sent to a controller, if duplication is on. */
  void onHeartbeatSent(ControllerNode to, JsonNode body) {
    if (sim.now() >= untilMs) {
      return;
    }
    ControllerRequest copy = ControllerRequest.heartbeat(body);
    if (replayAtLeaderChange) {
      copies.add(
          () -> world.controllers().forEach(node -> node.receive(copy, ReplyHandler.IGNORE)));
      return;
    }
    List<ControllerNode> nodes = world.controllers();
    ControllerNode at =
        sim.random().nextBoolean() ? to : nodes.get(sim.random().nextInt(nodes.size()));
    sim.after(delayMs(MIN_HEARTBEAT_DELAY_MS), () -> at.receive(copy, ReplyHandler.IGNORE));
  }

  /** Copies commands that a controller has sent directly to a worker, if duplication is on. */
  void onCommandsSent(SimulatedWorker to, JsonNode body) {
    if (sim.now() < untilMs && !replayAtLeaderChange) {
      sim.after(delayMs(MIN_COMMAND_DELAY_MS), () -> to.takeCommands(body, ReplyHandler.IGNORE));
    }
  }

  private long delayMs(int minDelayMs) {
    return inOrder ? maxDelayMs : minDelayMs + sim.random().nextInt(maxDelayMs);
  }
}
