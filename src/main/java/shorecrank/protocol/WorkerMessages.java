package shorecrank.protocol;

import java.util.List;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.TaskAttemptId;

/** Workers' heartbeats and the commands that workers are given. */
public final class WorkerMessages {
  /** Where a worker takes commands outside the answers to its heartbeats. */
  public static final String DIRECT_COMMANDS_PATH = "/orders";

  private WorkerMessages() {}

  /** The state of an attempt on its machine. */
  public enum TaskState {
    /** The machine does not have the task's image yet. */
    WAITING_FOR_IMAGE,
    /** The task runs. */
    RUNNING,
    /** The task was told to stop and saves its progress. */
    CHECKPOINTING,
    /** The task has ended, or its start was refused. */
    EXITED
  }

  /** Why an attempt exited. */
  public enum ExitReason {
    /** The task is complete. */
    DONE,
    /** It was stopped by a command. */
    STOPPED,
    /** It failed. */
    ERROR,
    /** Its start was refused: not enough is free on the machine. */
    INSUFFICIENT_RESOURCES,
    /** Its start was refused: the machine has another attempt of the task. */
    BUSY,
    /** Its start was refused: there is no such job or task. */
    UNKNOWN
  }

  /**
   * What a worker reports of one attempt.
   *
   * @param exitReason why it exited; null while it has not
   */
  public record TaskStatus(TaskAttemptId attemptId, TaskState state, ExitReason exitReason) {}

  /**
   * A worker's heartbeat. Of two with the same incarnation that with the larger sequence number is
   * the newer one.
   *
   * @param token the highest fencing token that the worker has seen
   * @param address where it takes direct commands, as IP address and port; empty if it names none
   * @param reclaimInS seconds until the cloud takes the machine back; negative if there is no
   *     notice
   * @param tasks all attempts on the machine, also those that have exited and are not reaped yet
   */
  public record WorkerHeartbeat(
      MachineName machine,
      String type,
      String zone,
      boolean spot,
      Incarnation incarnation,
      long sequence,
      FencingToken token,
      String address,
      double reclaimInS,
      List<TaskStatus> tasks) {
    /** Whether the cloud has announced that it takes the machine back. */
    public boolean hasPreemptionNotice() {
      return reclaimInS >= 0;
    }
  }

  /** What a worker is told to do with an attempt. */
  public sealed interface WorkerCommand {
    /** The attempt that the command is for. */
    TaskAttemptId attemptId();
  }

  /** Start an attempt. */
  public record Start(TaskAttemptId attemptId) implements WorkerCommand {}

  /**
   * Stop an attempt.
   *
   * @param graceS seconds that it has to save its progress; 0 ends it at once
   */
  public record Stop(TaskAttemptId attemptId, double graceS) implements WorkerCommand {}

  /** Forget an attempt that has exited. */
  public record Reap(TaskAttemptId attemptId) implements WorkerCommand {}
}
