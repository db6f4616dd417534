package shorecrank.sim;

import java.util.Map;
import java.util.Set;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.ShardId;

/** A controller of a world, whether it runs in this process or in one of its own. */
abstract class ControllerNode {
  private final World world;
  private final int index;
  private final String label;
  private final String zone;
  private int startCount;
  private boolean up;
  private long downSinceMs;

  ControllerNode(World world, int index) {
    this.world = world;
    this.index = index;
    this.label = "n" + index;
    this.zone = world.site.zoneOf(index);
  }

  /** The world that it is part of. */
  World world() {
    return world;
  }

  /** Its number among the controllers, from 0. */
  int index() {
    return index;
  }

  /** Its name, such as {@code n0}. */
  String label() {
    return label;
  }

  /** The zone that it runs in. */
  String zone() {
    return zone;
  }

  /** Whether its process runs; it may be frozen or cut off. */
  boolean isUp() {
    return up;
  }

  /** How many times it has started. */
  int startCount() {
    return startCount;
  }

  /** Whether it runs, and has not ended since it had started so many times. */
  boolean isSameRun(int startNumber) {
    return up && startCount == startNumber;
  }

  /** Simulated time of its latest end. */
  long downSinceMs() {
    return downSinceMs;
  }

  /** Starts its process. */
  final void start() {
    up = true;
    startCount++;
    launch();
  }

  /** Ends its process, which starts again so much later; does nothing if it has ended. */
  final void crash(long restartMs) {
    if (!up) {
      return;
    }
    world.faults.addFault(restartMs);
    up = false;
    downSinceMs = world.sim.now();
    kill();
    world.sim.after(restartMs, this::start);
  }

  /** Hands a request in if its process runs; the answer may come later or never. */
  final void receive(ControllerRequest request, ReplyHandler reply) {
    if (up) {
      handle(request, reply);
    }
  }

  /** Brings the process up. */
  abstract void launch();

  /** Ends the process at once. */
  abstract void kill();

  /** Has it do nothing for a while, and go on then. */
  abstract void freeze(long durationMs);

  /** Hands a request to the process. */
  abstract void handle(ControllerRequest request, ReplyHandler reply);

  /** The epochs of the shards that it owns. */
  abstract Map<ShardId, Epoch> ownedEpochs();

  /** The epochs of the shards that it may command now, as far as that can be seen. */
  abstract Map<ShardId, Epoch> commandedEpochs();

  /** The machines that it may command now, as far as that can be seen. */
  abstract Set<MachineName> commandedMachines();
}
