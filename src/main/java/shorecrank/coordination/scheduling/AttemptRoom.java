package shorecrank.coordination.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import shorecrank.config.NodeConfig.ProcessLimits;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TaskListSpace;
import shorecrank.protocol.Ids.JobId;

/**
 * The room for further attempts on all machines of a shard together. Each attempt takes memory of
 * the shard's owner and processor time in each heartbeat, however small its task is. Both limits
 * are counted in the bytes that attempts take in heartbeats; an attempt takes several times as many
 * bytes of the owner's memory. Small tasks have a lower limit, so that they leave others room, and
 * no job may use more than half of what the small tasks of other jobs leave.
 */
public final class AttemptRoom {
  private static final double BYTES_PER_MB = 1024 * 1024;

  /** The owner's memory divided by this is the limit on the bytes of all attempts. */
  private static final double MEMORY_DIVISOR = 16;

  /** The owner's memory divided by this is the limit on the bytes of small tasks. */
  private static final double SMALL_TASKS_MEMORY_DIVISOR = 64;

  private final double smallTaskLimit;

  /** The bytes of small tasks by job, for the jobs that have asked for room. */
  private final Map<JobId, Double> usedSmallTaskBytes = new HashMap<>();

  private double bytesLeft;
  private double smallTaskBytesLeft;

  private AttemptRoom(double bytes, double smallTaskBytes) {
    this.smallTaskLimit = smallTaskBytes;
    this.bytesLeft = bytes;
    this.smallTaskBytesLeft = smallTaskBytes;
  }

  /**
   * Returns the room that the attempts of a shard leave.
   *
   * @param shards how many shards there are, all of which one process may own
   */
  public static AttemptRoom of(
      ProcessLimits limits, int shards, Collection<Job> jobs, Collection<Machine> machines) {
    double memoryBytes = limits.memoryMb() * BYTES_PER_MB / shards;
    AttemptRoom room =
        new AttemptRoom(memoryBytes / MEMORY_DIVISOR, memoryBytes / SMALL_TASKS_MEMORY_DIVISOR);
    for (Job job : jobs) {
      room.bytesLeft -= (double) job.tasks().attemptCount() * TaskListSpace.taskBytes(job.spec());
    }
    for (Machine machine : machines) {
      room.smallTaskBytesLeft -= machine.taskList().smallTaskBytes();
    }
    return room;
  }

  /** Limits the room for small tasks to what the task lists of this many machines hold. */
  AttemptRoom withinMachines(int machines) {
    smallTaskBytesLeft -= Math.max(0, smallTaskLimit - TaskListSpace.smallTaskCapacity(machines));
    return this;
  }

  /**
   * Returns how many tasks of a job there is room for. A job of small tasks without an attempt gets
   * room for one if there is any.
   *
   * @param smallTaskBytes the bytes that each takes of the part of a task list for small tasks; 0
   *     for tasks that are not small
   */
  public int fittingTasks(Job job, double smallTaskBytes) {
    double tasks = bytesLeft / TaskListSpace.taskBytes(job.spec());
    if (smallTaskBytes > 0) {
      tasks = Math.min(tasks, fittingSmallTasks(job, smallTaskBytes));
    }
    return (int) Math.max(0, tasks);
  }

  private double fittingSmallTasks(Job job, double smallTaskBytes) {
    double usedBytes = usedSmallTaskBytes(job);
    double half = (smallTaskBytesLeft + usedBytes) / 2 - usedBytes;
    boolean isFirst = usedBytes <= 0 && smallTaskBytesLeft >= smallTaskBytes;
    return isFirst ? Math.max(1, half / smallTaskBytes) : half / smallTaskBytes;
  }

  /** Returns the bytes that a job's attempts use, of those on machines where they are small. */
  private double usedSmallTaskBytes(Job job) {
    Double known = usedSmallTaskBytes.get(job.id());
    if (known != null) {
      return known;
    }
    double bytes = 0;
    for (TaskAttempt attempt : job.tasks().attempts()) {
      bytes += TaskListSpace.smallTaskBytes(job.spec(), attempt.machine().type());
    }
    usedSmallTaskBytes.put(job.id(), bytes);
    return bytes;
  }

  /**
   * Takes room for as many tasks of a job as there is room for.
   *
   * @param tasks the number of tasks that should get room
   * @param smallTaskBytes see {@link #fittingTasks}
   * @return the number of tasks that got room
   */
  int take(Job job, int tasks, double smallTaskBytes) {
    int taken = Math.min(tasks, fittingTasks(job, smallTaskBytes));
    bytesLeft -= (double) taken * TaskListSpace.taskBytes(job.spec());
    if (smallTaskBytes > 0) {
      smallTaskBytesLeft -= taken * smallTaskBytes;
      usedSmallTaskBytes.merge(job.id(), taken * smallTaskBytes, Double::sum);
    }
    return taken;
  }
}
