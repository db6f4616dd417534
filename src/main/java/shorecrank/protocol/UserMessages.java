package shorecrank.protocol;

/** Jobs' statuses as users see them. */
public final class UserMessages {
  private UserMessages() {}

  /** A job's state as its user sees it. */
  public enum JobState {
    /** The job is accepted and none of its tasks runs. */
    QUEUED,
    /** At least one task runs. */
    RUNNING,
    /** All tasks are done. */
    DONE,
    /** The job's user has cancelled it, or one of its dependencies is cancelled. */
    CANCELLED
  }

  /**
   * A job's status.
   *
   * @param done number of tasks that are done
   * @param running number of tasks that run
   */
  public record JobStatus(JobState state, int done, int running) {}
}
