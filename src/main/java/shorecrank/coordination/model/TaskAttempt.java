package shorecrank.coordination.model;

import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.TaskAttemptId;
import shorecrank.protocol.WorkerMessages.TaskState;

/** One attempt placed on a machine, from before its record is written until it is surely off. */
public final class TaskAttempt {
  /**
   * Seconds that an attempt has run at least before it may be moved: a start that is stopped sooner
   * than 30 s does not count as one for users.
   */
  public static final double MIN_RUN_BEFORE_MOVE_S = 32;

  private final Job job;
  private final int index;
  private final Machine machine;
  private final Incarnation incarnation;
  private final AttemptNumber number;
  private final long writeSequence;
  private final MonotonicTime placedAt;
  private boolean seen;
  private TaskState state;
  private MonotonicTime runningSince;
  private boolean commanded;
  private boolean startInLastAnswer;
  private boolean revoked;
  private boolean roomReassigned;

  /**
   * @param index of the task in its job
   * @param incarnation of the worker under which the attempt may start
   * @param writeSequence the write of the job's record that holds this placement
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

  /** An attempt that the next write of its job's record names, on a machine as it is now. */
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

  /** The job that the task is of. */
  public Job job() {
    return job;
  }

  /** The task's index in its job. */
  public int index() {
    return index;
  }

  /** Where it was placed. */
  public Machine machine() {
    return machine;
  }

  /** The worker's incarnation under which it may start. */
  public Incarnation incarnation() {
    return incarnation;
  }

  /** Its number among the attempts of the job. */
  public AttemptNumber number() {
    return number;
  }

  /** The attempt's id. */
  public TaskAttemptId id() {
    return new TaskAttemptId(job.spec().id(), index, number);
  }

  /** The write of the job's record that holds this placement. */
  public long writeSequence() {
    return writeSequence;
  }

  /** Whether a record names the attempt, so that it may be commanded. */
  public boolean isCommitted() {
    return writeSequence <= job.record().committedSequence();
  }

  /** When it was placed. */
  public MonotonicTime placedAt() {
    return placedAt;
  }

  /** Whether its worker has listed it. */
  public boolean isListed() {
    return seen;
  }

  /** Its state as last listed; null before that. */
  public TaskState state() {
    return state;
  }

  /**
   * Its worker has listed it.
   *
   * @return whether it is the first time that it runs
   */
  public boolean observe(TaskState observed, MonotonicTime now) {
    seen = true;
    state = observed;
    boolean begins = observed == TaskState.RUNNING && runningSince == null;
    if (begins) {
      runningSince = now;
    }
    return begins;
  }

  /**
   * Its start goes out.
   *
   * @param direct whether it goes out in a command of its own, not in the answer to a heartbeat
   * @return whether it is the first time
   */
  public boolean recordStartSent(boolean direct) {
    startInLastAnswer |= !direct;
    boolean first = !commanded;
    commanded = true;
    return first;
  }

  /** Whether its start went out at least once. */
  public boolean isStartSent() {
    return commanded;
  }

  /** Whether its start was in the answer to the machine's last heartbeat; forgotten by the call. */
  public boolean takeStartInLastAnswer() {
    boolean was = startInLastAnswer;
    startInLastAnswer = false;
    return was;
  }

  /** Whether it is to be stopped for other work, or because its machine is vacated. */
  public boolean isRevoked() {
    return revoked;
  }

  /** Stops it for other work, or because its machine is vacated. */
  public void revoke() {
    revoked = true;
  }

  /** Whether its room was given to another attempt, which starts once this one was stopped. */
  boolean isRoomReassigned() {
    return roomReassigned;
  }

  /** Its room is given to another attempt. */
  void setRoomReassigned() {
    roomReassigned = true;
  }

  /** Seconds of work that stopping it now throws away. */
  public double runSeconds(MonotonicTime now) {
    return runningSince == null ? 0 : now.since(runningSince) / 1000.0;
  }

  /**
   * Whether it may be stopped to run elsewhere: its progress is kept in a checkpoint, its start
   * counts, and it is not stopped yet.
   */
  public boolean canMoveByCheckpoint(MonotonicTime now) {
    return job.spec().checkpointIntervalS() > 0
        && state == TaskState.RUNNING
        && !revoked
        && isCommitted()
        && job.record().isClaimed()
        && runSeconds(now) > MIN_RUN_BEFORE_MOVE_S;
  }

  /** Seconds until it ends by its owner's estimate; of one that runs over it a quarter more. */
  public double remainingSeconds(MonotonicTime now) {
    double estimate = Math.max(1, job.spec().estimateS());
    return Math.max(estimate / 4, estimate - runSeconds(now));
  }
}
