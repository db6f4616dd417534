package shorecrank.coordination.scheduling;

import java.util.Collection;
import shorecrank.config.NodeConfig.ProcessLimits;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskListSpace;
import shorecrank.protocol.JobSpec;

/**
 * The room for further small tasks on all machines of a shard together. Each attempt takes memory
 * of the shard's owner and processor time in each heartbeat, however small the task is. The limit
 * keeps any number of small tasks from exhausting these. Tasks that are not small need no room: the
 * machines' other resources limit their number.
 */
public final class SmallTaskRoom {
  private static final double BYTES_PER_MB = 1024 * 1024;

  /**
   * The owner's memory divided by this is the limit on the heartbeats' bytes for small tasks. Their
   * attempts take several times as many bytes of the owner's heap.
   */
  private static final double MEMORY_DIVISOR = 128;

  private double bytesLeft;

  private SmallTaskRoom(double bytesLeft) {
    this.bytesLeft = bytesLeft;
  }

  /**
   * Returns the room that the tasks on a shard's machines leave.
   *
   * @param shards how many shards there are, all of which one process may own
   */
  public static SmallTaskRoom of(ProcessLimits limits, int shards, Collection<Machine> machines) {
    double bytes = limits.memoryMb() * BYTES_PER_MB / MEMORY_DIVISOR / shards;
    for (Machine machine : machines) {
      bytes -= machine.taskList().smallTaskBytes();
    }
    return new SmallTaskRoom(bytes);
  }

  /**
   * Takes room for as many tasks as there is room for.
   *
   * @param tasks the number of tasks that should get room
   * @param bytesEach the bytes that each of them takes of the part of a task list for small tasks;
   *     0 for tasks that are not small
   * @return the number of tasks that got room
   */
  int take(int tasks, double bytesEach) {
    if (bytesEach <= 0) {
      return tasks;
    }
    int taken = (int) Math.max(0, Math.min(tasks, bytesLeft / bytesEach));
    bytesLeft -= taken * bytesEach;
    return taken;
  }

  /** Reports whether a task of a job may be placed on a machine as far as this limit goes. */
  boolean hasRoomFor(JobSpec spec, Machine machine) {
    double bytes = TaskListSpace.smallTaskBytes(spec, machine.type());
    return bytes <= 0 || bytes <= bytesLeft;
  }
}
