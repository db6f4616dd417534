package shorecrank.sim;

import java.util.Map;
import java.util.Set;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.ShardId;

/** A controller of a {@link World}, run inside the test's process or as a process of its own. */
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

  /** Returns the world that this controller belongs to. */
  World world() {
    return world;
  }

  /** Returns the controller's index, from 0. */
  int index() {
    return index;
  }

  /** Returns the controller's label, such as {@code n0}. */
  String label() {
    return label;
  }

  /** Returns the zone that the controller runs in. */
  String zone() {
    return zone;
  }

  /**
   * Reports whether the controller has started and has not crashed since; it may be frozen or cut
   * off.
   */
  boolean isUp() {
    return up;
  }

  /** Returns how many times the controller has started. */
  int startCount() {
    return startCount;
  }

  /**
   * Reports whether the controller is up and has not restarted since a particular start.
   *
   * @param startNumber the value of {@link #startCount()} after that start
   */
  boolean isSameRun(int startNumber) {
    return up && startCount == startNumber;
  }

  /** Returns the simulated time of the latest crash, in milliseconds. */
  long downSinceMs() {
    return downSinceMs;
  }

  /** Starts the controller. */
  final void start() {
    up = true;
    startCount++;
    launch();
  }

  /** Crashes the controller and restarts it after the given time; does nothing if it is down. */
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

  /** Delivers a request if the controller is up; the answer may come later or never. */
  final void receive(ControllerRequest request, ReplyHandler reply) {
    if (up) {
      handle(request, reply);
    }
  }

  /** Starts the process, or its simulation. */
  abstract void launch();

  /** Ends the process at once, without a shutdown. */
  abstract void kill();

  /** Suspends the process for the given time. */
  abstract void freeze(long durationMs);

  /** Passes a request to the process. */
  abstract void handle(ControllerRequest request, ReplyHandler reply);

  /** Returns the shards that the controller owns, with their epochs. */
  abstract Map<ShardId, Epoch> ownedEpochs();

  /**
   * Returns the shards whose workers the controller may command now, with their epochs; empty if
   * the implementation can't observe it.
   */
  abstract Map<ShardId, Epoch> commandedEpochs();

  /**
   * Returns the machines that the controller may command now; empty if the implementation can't
   * observe it.
   */
  abstract Set<MachineName> commandedMachines();
}
