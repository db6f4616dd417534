package shorecrank.coordination.model;

import java.util.Map;
import java.util.stream.Stream;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.WorkerHeartbeatCodec;
import shorecrank.protocol.WorkerMessages;
import shorecrank.protocol.WorkerMessages.TaskStatus;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;

/**
 * The space that a machine's tasks take in the task list of its worker's heartbeats, which is a
 * resource of the machine: a heartbeat has a largest size.
 *
 * <p>One part of the list belongs to tasks in proportion to the machine's other resources that they
 * take, so that it is never the scarcest resource for them. A task that takes more of the list than
 * that is a small task; the excess comes out of the other part, which all small tasks share. Small
 * tasks therefore can't keep others off a machine by their number.
 */
public final class TaskListSpace {
  /** Space for all other fields of a heartbeat. */
  private static final int OTHER_FIELDS_BYTES = 8 * 1024;

  /** Longest task list, in bytes. */
  private static final int MAX_BYTES = WorkerMessages.MAX_MESSAGE_BYTES - OTHER_FIELDS_BYTES;

  /** The part of the list, in bytes, that tasks take in proportion to the other resources. */
  private static final int PROPORTIONAL_BYTES = 24 * 1024;

  /** The part of the list, in bytes, that small tasks share. */
  private static final int SMALL_TASKS_BYTES = MAX_BYTES - PROPORTIONAL_BYTES;

  /** Tolerance for the rounding errors of sums of fractional bytes. */
  private static final double EPSILON = 1e-6;

  /** Lower bound of divisors, to avoid a division by 0. */
  private static final double MIN_DIVISOR = 1e-9;

  private int attemptBytes;
  private int otherBytes;
  private double smallTaskBytes;

  // ---- small tasks -----------------------------------------------------------------------------

  /**
   * Returns the bytes that a task of the job takes of the part for small tasks on a machine of the
   * type; 0 if it is not a small task there, or if the type is null.
   */
  public static double smallTaskBytes(JobSpec spec, MachineType type) {
    if (type == null) {
      return 0;
    }
    double share = spec.cpus() / Math.max(MIN_DIVISOR, type.cpus());
    share = Math.max(share, spec.memoryGb() / Math.max(MIN_DIVISOR, type.memoryGb()));
    if (spec.gpus() > 0) {
      share = Math.max(share, spec.gpus() / Math.max(MIN_DIVISOR, type.gpus()));
    }
    return Math.max(0, taskBytes(spec) - share * PROPORTIONAL_BYTES);
  }

  /**
   * Returns the bytes that a task of the job takes of the part for small tasks, on the allowed
   * machine type where they are the fewest; 0 if it is not a small task there.
   */
  public static double fewestSmallTaskBytes(JobSpec spec, Map<String, MachineType> catalog) {
    return allowedTypes(spec, catalog)
        .mapToDouble(type -> smallTaskBytes(spec, type))
        .min()
        .orElse(0);
  }

  /**
   * Returns the processors of a machine that a small task of the job occupies, as the same fraction
   * of them as it takes of the part for small tasks, on the allowed machine type where they are the
   * fewest; 0 if it is not a small task there.
   */
  public static double occupiedCpus(JobSpec spec, Map<String, MachineType> catalog) {
    return allowedTypes(spec, catalog)
        .mapToDouble(type -> smallTaskBytes(spec, type) / SMALL_TASKS_BYTES * type.cpus())
        .min()
        .orElse(0);
  }

  /** Returns the bytes of the parts for small tasks on a number of machines. */
  public static double smallTaskCapacity(int machines) {
    return (double) machines * SMALL_TASKS_BYTES;
  }

  private static Stream<MachineType> allowedTypes(JobSpec spec, Map<String, MachineType> catalog) {
    return catalog.values().stream()
        .filter(type -> spec.machineTypes() == null || spec.machineTypes().contains(type.name()));
  }

  /** Returns the bytes that tasks take of the part for small tasks. */
  public double smallTaskBytes() {
    return smallTaskBytes;
  }

  /** Returns the used fraction of the part for small tasks. */
  double smallTaskFraction() {
    return smallTaskBytes / SMALL_TASKS_BYTES;
  }

  /** Adds tasks of a job to the part for small tasks, or removes them if the number is negative. */
  void useSmallTasks(JobSpec spec, MachineType type, int tasks) {
    smallTaskBytes += tasks * smallTaskBytes(spec, type);
  }

  /** Removes all tasks from the part for small tasks, before they are counted again. */
  void clearSmallTasks() {
    smallTaskBytes = 0;
  }

  // ---- list ------------------------------------------------------------------------------------

  /** Returns the bytes that a task of the job takes of the list. */
  public static int taskBytes(JobSpec spec) {
    return WorkerHeartbeatCodec.maxTaskBytes(spec.id());
  }

  /** Adds an attempt that is placed on the machine. */
  void addAttempt(TaskAttempt attempt) {
    attemptBytes += taskBytes(attempt.job().spec());
  }

  /**
   * Removes an attempt. If the worker may list it, it still takes its space until a heartbeat has
   * been reconciled.
   */
  void removeAttempt(TaskAttempt attempt) {
    int bytes = taskBytes(attempt.job().spec());
    attemptBytes -= bytes;
    if (attempt.isListed() || attempt.isStartSent()) {
      otherBytes += bytes;
    }
  }

  /**
   * Returns the bytes that a task takes in a heartbeat, for {@link #setOtherBytes}.
   *
   * @param status the task in the heartbeat
   */
  public static int bytes(TaskStatus status) {
    return WorkerHeartbeatCodec.maxTaskBytes(status.attemptId().job());
  }

  /**
   * Returns how many bytes of the list the tasks in a heartbeat leave for those that are started.
   */
  public static int bytesLeftAfter(WorkerHeartbeat heartbeat) {
    int bytes = MAX_BYTES;
    for (TaskStatus status : heartbeat.tasks()) {
      bytes -= bytes(status);
    }
    return bytes;
  }

  /**
   * Sets the bytes that the last heartbeat needs for tasks that are not attempts on the machine,
   * such as those that have exited and were not reaped yet.
   */
  public void setOtherBytes(int bytes) {
    otherBytes = bytes;
  }

  /** Returns how many more tasks of a job fit into the list on a machine of the type. */
  int fittingTasks(JobSpec spec, MachineType type) {
    double tasks = (double) (MAX_BYTES - attemptBytes - otherBytes) / taskBytes(spec);
    double smallBytes = smallTaskBytes(spec, type);
    if (smallBytes > 0) {
      double left = SMALL_TASKS_BYTES - smallTaskBytes - otherBytes;
      tasks = Math.min(tasks, left / smallBytes);
    }
    return (int) Math.max(0, Math.floor(tasks + EPSILON));
  }
}
