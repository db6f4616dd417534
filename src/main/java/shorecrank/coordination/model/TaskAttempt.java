package shorecrank.coordination.model;

import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.TaskAttemptId;
import shorecrank.protocol.WorkerMessages.TaskState;

/**
 * An attempt of a task on a machine. It exists from the placement, before the job's record names
 * it, until it can no longer run on the machine.
 */
public final class TaskAttempt {
  /**
   * Seconds that an attempt must have run before it is stopped to be moved. For users, a start that
   * is stopped within 30 s does not count as a start.
   */
  public static final double MIN_RUN_BEFORE_MOVE_S = 32;

  private final Job job;
  private final int index;
  private final Machine machine;
  private final Incarnation incarnation;
  private final AttemptNumber number;
  private final long writeSequence;
  private final MonotonicTime placedAt;
  private boolean listed;
  private TaskState state;
  private MonotonicTime runningSince;
  private boolean startSent;
  private boolean startInLastAnswer;
  private boolean revoked;
  private boolean capacityReassigned;

  /**
   * @param index the index of the task in its job
   * @param incarnation the only incarnation of the worker that may start the attempt
   * @param writeSequence the sequence number of the write of the job's record that contains this
   *     placement
   */
  public TaskAttempt(
      Job job,
      int index,
      Machine machine,
      Incarnation incarnation,
      AttemptNumber number,
      long writeSequence,
      MonotonicTime placedAt) {
    this.job = job;
    this.index = index;
    this.machine = machine;
    this.incarnation = incarnation;
    this.number = number;
    this.writeSequence = writeSequence;
    this.placedAt = placedAt;
  }

  /**
   * Creates an attempt for the present incarnation of a machine's worker. The next write of the
   * job's record contains it.
   */
  public static TaskAttempt place(
      Job job, int index, Machine machine, AttemptNumber number, MonotonicTime now) {
    return new TaskAttempt(
        job,
        index,
        machine,
        machine.session().incarnation(),
        number,
        job.record().nextSequence(),
        now);
  }

  /** Returns the job to which the task belongs. */
  public Job job() {
    return job;
  }

  /** Returns the index of the task in its job. */
  public int index() {
    return index;
  }

  /** Returns the machine on which the attempt was placed. */
  public Machine machine() {
    return machine;
  }

  /** Returns the only incarnation of the machine's worker that may start the attempt. */
  public Incarnation incarnation() {
    return incarnation;
  }

  /** Returns the attempt's number; tasks of a job that are placed on a machine at once share it. */
  public AttemptNumber number() {
    return number;
  }

  /** Returns the attempt's id. */
  public TaskAttemptId id() {
    return new TaskAttemptId(job.spec().id(), index, number);
  }

  /** Returns the sequence number of the write of the job's record that contains this placement. */
  public long writeSequence() {
    return writeSequence;
  }

  /** Reports whether the committed record names the attempt, so that it may be started. */
  public boolean isCommitted() {
    return writeSequence <= job.record().committedSequence();
  }

  /** Returns when the attempt was placed. */
  public MonotonicTime placedAt() {
    return placedAt;
  }

  /** Reports whether a heartbeat of the machine's worker has listed the attempt. */
  public boolean isListed() {
    return listed;
  }

  /** Returns the attempt's state in the last heartbeat that listed it, or null if none has. */
  public TaskState state() {
    return state;
  }

  /**
   * Records the attempt's state in a heartbeat that lists it.
   *
   * @return whether this is the first heartbeat in which the attempt is running
   */
  public boolean observe(TaskState observed, MonotonicTime now) {
    listed = true;
    state = observed;
    boolean begins = observed == TaskState.RUNNING && runningSince == null;
    if (begins) {
      runningSince = now;
    }
    return begins;
  }

  /**
   * Records that a command to start the attempt is sent.
   *
   * @param direct whether it is sent as a direct command instead of in a heartbeat answer
   * @return whether it is the first start command for this attempt
   */
  public boolean recordStartSent(boolean direct) {
    startInLastAnswer |= !direct;
    boolean first = !startSent;
    startSent = true;
    return first;
  }

  /** Reports whether a command to start the attempt was ever sent. */
  public boolean isStartSent() {
    return startSent;
  }

  /**
   * Clears the mark that the answer to the worker's last heartbeat contained a start of this
   * attempt.
   *
   * @return whether the mark was set
   */
  public boolean clearStartInLastAnswer() {
    boolean wasInLastAnswer = startInLastAnswer;
    startInLastAnswer = false;
    return wasInLastAnswer;
  }

  /**
   * Reports whether the attempt has to be stopped to make room for other tasks or to empty its
   * machine.
   */
  public boolean isRevoked() {
    return revoked;
  }

  /** Marks the attempt to be stopped, to make room for other tasks or to empty its machine. */
  public void revoke() {
    revoked = true;
  }

  /**
   * Reports whether the capacity that this attempt uses is already given to another attempt, which
   * is started once this one has been stopped.
   */
  boolean isCapacityReassigned() {
    return capacityReassigned;
  }

  /** Marks the capacity that this attempt uses as given to another attempt. */
  void setCapacityReassigned() {
    capacityReassigned = true;
  }

  /**
   * Returns the seconds that the attempt has been running, which is the work lost if it is stopped
   * now; 0 if it was not seen running yet.
   */
  public double runSeconds(MonotonicTime now) {
    return runningSince == null ? 0 : now.since(runningSince) / 1000.0;
  }

  /**
   * Reports whether the attempt may be stopped to continue on another machine: its job writes
   * checkpoints, it has run for long enough, and it is not being stopped already.
   */
  public boolean canMoveByCheckpoint(MonotonicTime now) {
    return job.spec().checkpointIntervalS() > 0
        && state == TaskState.RUNNING
        && !revoked
        && isCommitted()
        && job.record().isClaimed()
        && runSeconds(now) > MIN_RUN_BEFORE_MOVE_S;
  }

  /**
   * Returns the seconds until the attempt ends by the user's estimate of the run time, but at least
   * a quarter of that estimate.
   */
  public double remainingSeconds(MonotonicTime now) {
    double estimate = Math.max(1, job.spec().estimateS());
    return Math.max(estimate / 4, estimate - runSeconds(now));
  }
}
