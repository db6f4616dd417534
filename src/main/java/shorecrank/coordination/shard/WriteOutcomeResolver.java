package shorecrank.coordination.shard;

import java.util.Set;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.WriteUrgency;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.storage.CommitResult;
import shorecrank.storage.JobRecord;
import shorecrank.storage.ReadResult;

/**
 * Finds out what became of writes that were refused or got no answer: what the record says now
 * decides whether the job is still this owner's.
 */
final class WriteOutcomeResolver {
  private static final int READ_TIMEOUT_MS = 2000;

  /** A record that could not be read is read again after so long, and up to as much again. */
  private static final int RETRY_MS = 200;

  private static final int FINAL_RETRY_MS = 300;

  /** What the owner does with a job once its record is known. */
  interface JobHandler {
    /** Whether the owner still works with this very object. */
    boolean isCurrent(Job job);

    /** The record is another owner's now: the job is relinquished. */
    void refused(Job job, JobRecord record);

    /** A write of this owner was found to be committed. */
    void committed(Job job);

    /** There is no record that can be read: the job is relinquished. */
    void recordMissing(Job job);

    /** A user's cancellation is marked on the record. */
    void cancelled(Job job);

    /** The job is over. */
    void ended(Job job, JobState state);

    /** An earlier owner's write came in before this one's: its record is what counts. */
    void replaced(Job job, JobRecord record, Revision revision);
  }

  private final StepContext context;
  private final ShardLease lease;
  private final MachineReferences references;
  private final JobHandler jobHandler;

  WriteOutcomeResolver(
      StepContext context, ShardLease lease, MachineReferences references, JobHandler jobHandler) {
    this.context = context;
    this.lease = lease;
    this.references = references;
    this.jobHandler = jobHandler;
  }

  // ---- the machines that records name ----------------------------------------------------------

  /** The current write of a job's record was sent. */
  void recordSent(Job job, JobRecord record) {
    references.recordSent(job.id(), job.record().sequence(), job.record().revision(), record);
  }

  /** The write that replaces a job's record by the final one was sent. */
  void recordFinalSent(Job job) {
    references.recordSent(job.id(), job.record().sequence(), job.record().revision(), Set.of());
  }

  /** A write has its answer, or none in time: what that settles of the machines that it names. */
  void recordAnswer(RecordWrite write, CommitResult result) {
    JobId id = write.job().id();
    if (result instanceof CommitResult.Committed committed) {
      if (write.isFinal()) {
        references.recordRemoved(id);
      } else {
        references.recordCommitted(id, write.sequence(), committed.revision());
      }
    } else if (!result.isUnknown()) {
      references.recordRefused(id, write.sequence());
    }
  }

  // ---- reading a record again ------------------------------------------------------------------

  /** Reads a record again if a later revision was seen that no write in flight explains. */
  void rereadIfOutdated(Job job) {
    if (job.record().isOutdated() && !job.record().isInFlight()) {
      reread(job);
    }
  }

  /** Reads a record again, to settle whose it is. */
  void reread(Job job) {
    if (job.record().isRereading()) {
      return;
    }
    job.record().setRereading(true);
    context
        .store()
        .read(
            JobRecord.liveKey(job.id()),
            READ_TIMEOUT_MS,
            result -> {
              if (jobHandler.isCurrent(job)) {
                job.record().setRereading(false);
                handleRead(job, result);
              }
            });
  }

  private void handleRead(Job job, ReadResult result) {
    if (result instanceof ReadResult.Found found) {
      handleFound(job, found.entry());
    } else if (result instanceof ReadResult.Absent) {
      readFinal(job);
    } else {
      retryLater(job, RETRY_MS + context.random().nextInt(RETRY_MS));
    }
  }

  private void handleFound(Job job, Entry entry) {
    JobRecord record = JobRecord.read(entry.value());
    if (record == null) {
      jobHandler.recordMissing(job);
      return;
    }
    reconcile(job, record, entry.revision());
    if (jobHandler.isCurrent(job)) {
      rereadIfOutdated(job);
    }
  }

  private void retryLater(Job job, int afterMs) {
    job.record().pauseUntil(context.now().plus(afterMs));
    job.requestWrite(WriteUrgency.NOW, context.now());
  }

  /**
   * The record is no more. Either the job is over, by a write of this owner without an answer or by
   * a later owner's: what is left of it on machines is stopped. Or it is not, and this owner is
   * refused.
   */
  private void readFinal(Job job) {
    job.record().setRereading(true);
    context
        .store()
        .read(
            JobRecord.finalKey(job.id()),
            READ_TIMEOUT_MS,
            result -> {
              job.record().setRereading(false);
              if (jobHandler.isCurrent(job)) {
                handleFinalRead(job, result);
              }
            });
  }

  private void handleFinalRead(Job job, ReadResult result) {
    JobRecord.Final finalRecord =
        result instanceof ReadResult.Found found
            ? JobRecord.Final.read(found.entry().value())
            : null;
    if (finalRecord != null) {
      references.recordRemoved(job.id());
      jobHandler.ended(job, finalRecord.phase());
      context.info("job.found_ended job=%s state=%s", job.id(), finalRecord.phase());
    } else if (result instanceof ReadResult.Absent) {
      jobHandler.recordMissing(job);
    } else {
      retryLater(job, FINAL_RETRY_MS);
    }
  }

  // ---- what the record says --------------------------------------------------------------------

  private void reconcile(Job job, JobRecord record, Revision revision) {
    if (lease.isRefusedBy(record)) {
      jobHandler.refused(job, record);
      return;
    }
    boolean isOwnWrite = job.record().isOwnWrite(record, context.writer());
    boolean hasOwner = record.epoch().value() > 0;
    boolean othersMayWrite = !isOwnWrite && (hasOwner || job.record().isClaimRequired());
    references.recordRead(job.id(), revision, record, othersMayWrite);
    if (isOwnWrite) {
      // By its number; memory already holds all of it. Somebody may have asked to cancel on top.
      boolean isNewlyCommitted = record.sequence() > job.record().committedSequence();
      job.adoptOwnWrite(record);
      adoptCancellation(job, record, revision);
      if (isNewlyCommitted) {
        jobHandler.committed(job);
      }
    } else if (!hasOwner && !job.record().hasOwner()) {
      // Nobody has claimed it: only a request to cancel changes such a record.
      adoptCancellation(job, record, revision);
    } else {
      context.info(
          "job.record.replaced job=%s record_epoch=%s epoch=%s",
          job.id(), record.epoch(), lease.epoch());
      jobHandler.replaced(job, record, revision);
    }
    job.requestWrite(WriteUrgency.NOW, context.now());
  }

  private void adoptCancellation(Job job, JobRecord record, Revision revision) {
    job.record().adoptRevision(record, revision);
    if (record.cancelled() && !job.isCancelled()) {
      jobHandler.cancelled(job);
    }
  }
}
