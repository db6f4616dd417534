package shorecrank.coordination.model;

import java.util.Set;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.UserMessages.JobStatus;
import shorecrank.storage.JobRecord;

/** An unfinished job as its shard's owner knows it: its record, and what is not yet written. */
public final class Job {
  private static final double MS_PER_S = 1000.0;

  /** A task that asks for less counts as this many processors of work. */
  private static final double LEAST_CPUS = 0.1;

  private final JobSpec spec;
  private final long acceptedAtMs;
  private final JobTasks tasks;
  private final JobRecordState record;
  private final JobSchedulingState scheduling;
  private final WithdrawnAttempts withdrawn = new WithdrawnAttempts();
  private boolean cancelled;

  /** The shard's jobs with something to write; each adds itself. */
  private final Set<Job> jobsToWrite;

  /**
   * @param life a number that no other object of this process has that writes this record
   * @param jobsToWrite where the job adds itself when it has something to write
   */
  public Job(JobRecord stored, Revision revision, long life, Set<Job> jobsToWrite) {
    this.jobsToWrite = jobsToWrite;
    this.spec = stored.spec();
    this.acceptedAtMs = stored.acceptedAtMs();
    this.tasks = new JobTasks(spec.tasks());
    this.record = new JobRecordState(life);
    this.scheduling =
        new JobSchedulingState(spec, stored.readyAtMs() > 0 ? stored.readyAtMs() : acceptedAtMs);
    adopt(stored, revision);
  }

  /** Its id. */
  public JobId id() {
    return spec.id();
  }

  /** What its user asked for. */
  public JobSpec spec() {
    return spec;
  }

  /** When it was accepted, on the wall clock. */
  public long acceptedAtMs() {
    return acceptedAtMs;
  }

  /** Its tasks and their attempts. */
  public JobTasks tasks() {
    return tasks;
  }

  /** Its record in the state service and the writes to it. */
  public JobRecordState record() {
    return record;
  }

  /** Attempts that were given up before they started, while the record may name them. */
  public WithdrawnAttempts withdrawn() {
    return withdrawn;
  }

  /** When and how urgently its tasks are placed. */
  public JobSchedulingState scheduling() {
    return scheduling;
  }

  /** Whether a mark of a cancellation is committed, or follows from another job's. */
  public boolean isCancelled() {
    return cancelled;
  }

  /** A mark of a cancellation is committed, or follows from another job's. */
  public void cancel() {
    cancelled = true;
  }

  /** Takes over all of a record but its attempts. */
  public void adopt(JobRecord stored, Revision revision) {
    record.adopt(stored, revision);
    tasks.adopt(stored.done(), stored.attemptCount());
    if (tasks.wasPlaced()) {
      scheduling.meetAllDependencies();
    }
    cancelled |= stored.cancelled();
  }

  /** The record holds one of this object's own writes, by its number. */
  public void adoptOwnWrite(JobRecord stored) {
    record.adoptOwnWrite(stored);
    tasks.forgetRecordedExits(record.committedSequence());
  }

  /** A write is committed at a revision, under an epoch. */
  public void recordCommitted(long sequence, Revision revision, Epoch epoch, JobStatus status) {
    record.recordCommitted(sequence, revision, epoch, status);
    tasks.forgetRecordedExits(sequence);
  }

  /** Adds an attempt here and on its machine. */
  public void add(TaskAttempt attempt) {
    tasks.add(attempt);
  }

  /** Removes an attempt here and from its machine. */
  public void remove(TaskAttempt attempt) {
    tasks.remove(attempt);
  }

  /** Removes an attempt that was never started; the next write of the record does not name it. */
  public void withdraw(TaskAttempt attempt) {
    tasks.remove(attempt);
    withdrawn.add(record.nextSequence());
  }

  /** Forgets withdrawn attempts that the record names no more; returns how many. */
  public int removeSettledWithdrawn() {
    return withdrawn.settle(record.committedSequence());
  }

  /**
   * Forgets all withdrawn attempts, as the record was read anew or is no more; returns how many.
   */
  public int clearWithdrawn() {
    return withdrawn.clear();
  }

  /** How many tasks wait to be placed. */
  public int queuedTaskCount() {
    return cancelled || !scheduling.isReady() ? 0 : tasks.freeCount();
  }

  /**
   * Whether nothing is left to be done but to write its final record: it is complete or cancelled,
   * and surely nothing of it runs.
   */
  public boolean isReadyForFinalRecord() {
    return record.isFreeOfEarlierOwner()
        && (cancelled || tasks.isComplete())
        && !tasks.hasAttempts()
        && !tasks.hasUnrecorded();
  }

  /** Seconds since its acceptance. */
  public double ageS(long wallMs) {
    return (wallMs - acceptedAtMs) / MS_PER_S;
  }

  /** Seconds that it has waited for nothing but room. */
  public double readyForS(long wallMs) {
    return (wallMs - scheduling.readyAtMs()) / MS_PER_S;
  }

  /** What is still to be done, in processor seconds by its user's estimate. */
  public double remainingCpuSeconds() {
    return (spec.tasks() - tasks.doneCount())
        * Math.max(LEAST_CPUS, spec.cpus())
        * spec.estimateS();
  }

  /** There is something to write; an urgency asked for before is not lowered. */
  public void requestWrite(WriteUrgency urgency, MonotonicTime now) {
    jobsToWrite.add(this);
    record.raiseUrgency(urgency, now);
  }

  /** The record that says all that is known here, for the write of the current number. */
  public JobRecord toRecord(Epoch epoch, WriterId writer) {
    boolean placed = tasks.wasPlaced();
    boolean hasWaited = !spec.dependencies().isEmpty() && scheduling.isReady();
    long readyAtMs = scheduling.readyAtMs();
    return new JobRecord(
        // Once it is placed, nobody asks any more what it needed.
        placed ? spec.withoutDependencies() : spec,
        epoch,
        writer,
        record.sequence(),
        tasks.copyOfDone(),
        tasks.ranges(),
        tasks.lastAttemptNumber(),
        cancelled,
        acceptedAtMs,
        hasWaited || readyAtMs > acceptedAtMs ? readyAtMs : 0);
  }
}
