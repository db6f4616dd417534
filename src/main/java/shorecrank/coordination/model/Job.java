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

/**
 * An unfinished job in the memory of its shard's owner. It comprises the job's record in the state
 * service and all changes that have not been written to the record yet.
 */
public final class Job {
  private static final double MS_PER_S = 1000.0;

  /** Lower bound on the processors per task in the estimate of a job's remaining work. */
  private static final double MIN_CPUS = 0.1;

  private final JobSpec spec;
  private final long acceptedAtMs;
  private final JobTasks tasks;
  private final JobRecordState record;
  private final JobSchedulingState scheduling;
  private final WithdrawnAttempts withdrawn = new WithdrawnAttempts();
  private boolean cancelled;

  /** The jobs of the shard whose records have to be written; each job adds itself. */
  private final Set<Job> jobsToWrite;

  /**
   * @param instanceNumber a number that this process gives to no other object that writes records;
   *     it tells the writes of this object from those of an earlier object for the same job
   * @param jobsToWrite a set to which the job adds itself when its record has to be written
   */
  public Job(JobRecord stored, Revision revision, long instanceNumber, Set<Job> jobsToWrite) {
    this.jobsToWrite = jobsToWrite;
    this.spec = stored.spec();
    this.acceptedAtMs = stored.acceptedAtMs();
    this.tasks = new JobTasks(spec.tasks());
    this.record = new JobRecordState(instanceNumber);
    this.scheduling =
        new JobSchedulingState(spec, stored.readyAtMs() > 0 ? stored.readyAtMs() : acceptedAtMs);
    adopt(stored, revision);
  }

  /** Returns the job's id. */
  public JobId id() {
    return spec.id();
  }

  /** Returns the job as its user specified it. */
  public JobSpec spec() {
    return spec;
  }

  /** Returns when the job was accepted, in milliseconds of the wall clock. */
  public long acceptedAtMs() {
    return acceptedAtMs;
  }

  /** Returns the job's tasks and their attempts. */
  public JobTasks tasks() {
    return tasks;
  }

  /** Returns the state of the job's record in the state service and of the writes to it. */
  public JobRecordState record() {
    return record;
  }

  /** Returns the attempts that were withdrawn before they started and that the record may name. */
  public WithdrawnAttempts withdrawn() {
    return withdrawn;
  }

  /** Returns when and how urgently the job's tasks have to be placed. */
  public JobSchedulingState scheduling() {
    return scheduling;
  }

  /**
   * Reports whether the job is cancelled: its own cancellation is committed, or that of a job on
   * which it depends.
   */
  public boolean isCancelled() {
    return cancelled;
  }

  /** Marks the job as cancelled, by its own cancellation or that of a job on which it depends. */
  public void cancel() {
    cancelled = true;
  }

  /** Replaces the state of this job by that of a stored record, except for its attempts. */
  public void adopt(JobRecord stored, Revision revision) {
    record.adopt(stored, revision);
    tasks.adopt(stored.done(), stored.attemptCount());
    if (tasks.wasPlaced()) {
      scheduling.markAllDependenciesMet();
    }
    cancelled |= stored.cancelled();
  }

  /** Records that the stored record is one of this object's own writes. */
  public void adoptOwnWrite(JobRecord stored) {
    record.adoptOwnWrite(stored);
    tasks.removeRecordedExits(record.committedSequence());
  }

  /**
   * Records that a write of the record is committed.
   *
   * @param sequence the sequence number of the write
   * @param epoch the epoch that the write carried
   * @param status the job's status in that write
   */
  public void recordCommitted(long sequence, Revision revision, Epoch epoch, JobStatus status) {
    record.recordCommitted(sequence, revision, epoch, status);
    tasks.removeRecordedExits(sequence);
  }

  /** Adds an attempt to this job and to the attempt's machine. */
  public void add(TaskAttempt attempt) {
    tasks.add(attempt);
  }

  /** Removes an attempt from this job and from the attempt's machine. */
  public void remove(TaskAttempt attempt) {
    tasks.remove(attempt);
  }

  /**
   * Removes an attempt that was never started. It counts as withdrawn until the next write of the
   * record, which no longer names it, is committed.
   */
  public void withdraw(TaskAttempt attempt) {
    tasks.remove(attempt);
    withdrawn.add(record.nextSequence());
  }

  /**
   * Removes the withdrawn attempts that the record no longer names.
   *
   * @return how many were removed
   */
  public int removeSettledWithdrawn() {
    return withdrawn.removeSettled(record.committedSequence());
  }

  /**
   * Removes all withdrawn attempts, because the record was read again or was deleted.
   *
   * @return how many were removed
   */
  public int clearWithdrawn() {
    return withdrawn.clear();
  }

  /**
   * Returns how many tasks wait to be placed; 0 if the job is cancelled or waits for other jobs.
   */
  public int queuedTaskCount() {
    return cancelled || !scheduling.isReady() ? 0 : tasks.freeCount();
  }

  /**
   * Reports whether only the job's final record is left to be written: all tasks have succeeded or
   * the job is cancelled, no attempt can still run, and no earlier owner can write the record.
   */
  public boolean isReadyForFinalRecord() {
    return record.isFreeOfEarlierOwner()
        && (cancelled || tasks.isComplete())
        && !tasks.hasAttempts()
        && !tasks.hasUnrecorded();
  }

  /** Returns the seconds since the job was accepted. */
  public double ageS(long wallMs) {
    return (wallMs - acceptedAtMs) / MS_PER_S;
  }

  /** Returns the seconds since the job was ready, that is, since it has waited for no other job. */
  public double readyForS(long wallMs) {
    return (wallMs - scheduling.readyAtMs()) / MS_PER_S;
  }

  /** Returns the processor seconds that the unfinished tasks need by the user's estimate. */
  public double remainingCpuSeconds() {
    return (spec.tasks() - tasks.doneCount()) * Math.max(MIN_CPUS, spec.cpus()) * spec.estimateS();
  }

  /** Requests a write of the record; a higher urgency that was requested before is kept. */
  public void requestWrite(WriteUrgency urgency, MonotonicTime now) {
    jobsToWrite.add(this);
    record.raiseUrgency(urgency, now);
  }

  /**
   * Returns the record to store for the job's current state.
   *
   * @param epoch the epoch of this shard owner
   * @param writer this process
   */
  public JobRecord toRecord(Epoch epoch, WriterId writer) {
    boolean placed = tasks.wasPlaced();
    boolean hasWaited = !spec.dependencies().isEmpty() && scheduling.isReady();
    long readyAtMs = scheduling.readyAtMs();
    return new JobRecord(
        // Dependencies are not read any more once a task has been placed.
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
