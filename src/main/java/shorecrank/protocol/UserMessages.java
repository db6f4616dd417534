package shorecrank.protocol;

/** What users are told of their jobs. */
public final class UserMessages {
  private UserMessages() {}

  /** Where a job stands, as its user sees it. */
  public enum JobState {
    /** Accepted, none of its tasks runs. */
    QUEUED,
    /** At least one task runs. */
    RUNNING,
    /** All tasks are done. */
    DONE,
    /** Called off by its user. */
    CANCELLED
  }

  /**
   * A job's status.
   *
   * @param done the number of tasks that are done
   * @param running the number of tasks that run
   */
  public record JobStatus(JobState state, int done, int running) {}
}
