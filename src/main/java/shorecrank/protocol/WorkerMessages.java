package shorecrank.protocol;

import java.util.List;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.TaskAttemptId;

/** Workers' heartbeats and the commands to workers. */
public final class WorkerMessages {
  /**
   * Path on the worker's address that receives direct commands, those outside heartbeat answers.
   */
  public static final String DIRECT_COMMANDS_PATH = "/orders";

  /** Largest size, in bytes, of a heartbeat, of the answer to one, and of a direct command. */
  public static final int MAX_MESSAGE_BYTES = 64 * 1024;

  private WorkerMessages() {}

  /** The state of a task's attempt on its machine. */
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
    /** A command stopped the task. */
    STOPPED,
    /** The task failed. */
    ERROR,
    /** The start was refused: the machine does not have enough free resources. */
    INSUFFICIENT_RESOURCES,
    /** The start was refused: the machine holds another attempt of the task. */
    BUSY,
    /** The start was refused: there is no such job or task. */
    UNKNOWN
  }

  /**
   * A worker's report on one attempt.
   *
   * @param exitReason why the attempt exited; null while it has not
   */
  public record TaskStatus(TaskAttemptId attemptId, TaskState state, ExitReason exitReason) {}

  /**
   * A worker's heartbeat.
   *
   * @param sequence the heartbeat's number; of two heartbeats of the same incarnation, the one with
   *     the larger number is the newer
   * @param token the highest fencing token that the worker has seen
   * @param address the IP address and port that receive direct commands; empty if the worker names
   *     none
   * @param reclaimInS seconds until the cloud takes the machine back; negative if it has not
   *     announced that
   * @param tasks all attempts on the machine, including those that have exited and that no {@link
   *     Reap} command has removed yet
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
    /** Reports whether the cloud has announced that it takes the machine back. */
    public boolean hasPreemptionNotice() {
      return reclaimInS >= 0;
    }
  }

  /** A command to a worker about one attempt. */
  public sealed interface WorkerCommand {
    /** Returns the attempt that the command is for. */
    TaskAttemptId attemptId();
  }

  /** A command that starts an attempt. */
  public record Start(TaskAttemptId attemptId) implements WorkerCommand {}

  /**
   * A command that stops an attempt.
   *
   * @param graceS seconds that the task has to save its progress; 0 ends it immediately
   */
  public record Stop(TaskAttemptId attemptId, double graceS) implements WorkerCommand {}

  /**
   * A command that removes an exited attempt from the worker, so that its heartbeats no longer list
   * it.
   */
  public record Reap(TaskAttemptId attemptId) implements WorkerCommand {}
}
