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
  private static final int MIN_HEARTBEAT_DELAY_MS = 2000;
  private static final int MIN_COMMAND_DELAY_MS = 500;

  /** How often it is looked who leads, and for how long after the last copy was made. */
  private static final long LEADER_POLL_MS = 20;

  private static final long LEADER_POLL_LIMIT_MS = 60_000;
  private static final int REPLAY_SPREAD_MS = 1500;
  private static final long DELIVERY_MARGIN_MS = 2000;

  private final World world;
  private final Simulation sim;
  private long untilMs = -1;
  private int maxDelayMs;
  private boolean inOrder;
  private boolean replayAtLeaderChange;
  private final List<Runnable> kept = new ArrayList<>();

  DuplicateMessages(World world) {
    this.world = world;
    this.sim = world.sim;
  }

  /** For a while every message arrives a second time, so much later at most or just so much. */
  void duplicateFor(long durationMs, double maxDelayS, boolean allInOrder) {
    replayAtLeaderChange = false;
    inOrder = allInOrder;
    untilMs = sim.now() + durationMs;
    maxDelayMs = (int) (maxDelayS * MS_PER_S);
    world.faults.addFault(durationMs + (long) (maxDelayS * MS_PER_S) + DELIVERY_MARGIN_MS);
  }

  /** A copy of each heartbeat of a while is kept, and reaches all under the next leader. */
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
      List<Runnable> all = List.copyOf(kept);
      kept.clear();
      // Some copies come in order, some do not.
      all.forEach(copy -> sim.after(sim.random().nextInt(REPLAY_SPREAD_MS), copy));
    } else if (sim.now() < giveUpAtMs) {
      sim.after(LEADER_POLL_MS, () -> replayOnceLeaderChanges(formerLeader, giveUpAtMs));
    }
  }

  /** A worker has sent a heartbeat to a controller. */
  void onHeartbeatSent(ControllerNode to, JsonNode body) {
    if (sim.now() >= untilMs) {
      return;
    }
    ControllerRequest copy = ControllerRequest.heartbeat(body);
    if (replayAtLeaderChange) {
      kept.add(() -> world.controllers().forEach(node -> node.receive(copy, ReplyHandler.IGNORE)));
      return;
    }
    List<ControllerNode> nodes = world.controllers();
    ControllerNode at =
        sim.random().nextBoolean() ? to : nodes.get(sim.random().nextInt(nodes.size()));
    sim.after(delayMs(MIN_HEARTBEAT_DELAY_MS), () -> at.receive(copy, ReplyHandler.IGNORE));
  }

  /** A controller has sent commands straight to a worker. */
  void onCommandsSent(SimulatedWorker to, JsonNode body) {
    if (sim.now() < untilMs && !replayAtLeaderChange) {
      sim.after(delayMs(MIN_COMMAND_DELAY_MS), () -> to.takeCommands(body, ReplyHandler.IGNORE));
    }
  }

  private long delayMs(int minDelayMs) {
    return inOrder ? maxDelayMs : minDelayMs + sim.random().nextInt(maxDelayMs);
  }
}
