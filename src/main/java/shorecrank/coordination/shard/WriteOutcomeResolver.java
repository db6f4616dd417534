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
 * Determines the outcome of writes that were refused or got no answer. It reads the record again,
 * which shows whether the job still belongs to this owner.
 */
final class WriteOutcomeResolver {
  private static final int READ_TIMEOUT_MS = 2000;

  /**
   * Shortest pause of a job's writes after its live record could not be read; the longest is twice
   * that. If the next write is refused, the record is read again.
   */
  private static final int RETRY_MS = 200;

  /** Pause of a job's writes after its final record could not be read. */
  private static final int FINAL_RETRY_MS = 300;

  /** Handles what a record that was read again says about its job. */
  interface JobHandler {
    /** Reports whether this object is still the owner's object for its job. */
    boolean isCurrent(Job job);

    /** Called when the record belongs to another owner, so that the job must be relinquished. */
    void onRefused(Job job, JobRecord record);

    /** Called when a write of this owner turns out to be committed. */
    void onCommitted(Job job);

    /** Called when there is no readable record, so that the job must be relinquished. */
    void onRecordMissing(Job job);

    /** Called when the record is marked as cancelled by a user. */
    void onCancelled(Job job);

    /** Called when the job has ended. */
    void onEnded(Job job, JobState state);

    /**
     * Called when a write of an earlier owner was committed before this owner's, so that the job
     * must be rebuilt from its record.
     */
    void onReplaced(Job job, JobRecord record, Revision revision);
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

  // ---- machine references -----------------------------------------------------------------------

  /** Records that the current write of a job's record was sent. */
  void recordSent(Job job, JobRecord record) {
    references.recordSent(job.id(), job.record().sequence(), job.record().revision(), record);
  }

  /** Records that the write was sent that replaces a job's record with the final one. */
  void recordFinalSent(Job job) {
    references.recordSent(job.id(), job.record().sequence(), job.record().revision(), Set.of());
  }

  /**
   * Updates the references to the machines that a write names, once it has its answer or has timed
   * out.
   */
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

  // ---- rereading records ------------------------------------------------------------------------

  /** Reads a record again if a later revision was seen and no write in flight explains it. */
  void rereadIfOutdated(Job job) {
    if (job.record().isOutdated() && !job.record().isInFlight()) {
      reread(job);
    }
  }

  /** Reads a record again to determine its owner. */
  void reread(Job job) {
    if (job.record().isRereading()) {
      return;
    }
    job.record().setRereading(true);
    context.count("state.requests.by.record_reread");
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
      jobHandler.onRecordMissing(job);
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
   * Reads the final record of a job whose live record is gone. If there is one, the job has ended,
   * by an unanswered write of this owner or a write of a later one, and what is left of it on
   * machines is stopped. Otherwise the job no longer belongs to this owner.
   */
  private void readFinal(Job job) {
    job.record().setRereading(true);
    context.count("state.requests.by.record_reread");
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
      jobHandler.onEnded(job, finalRecord.state());
      context.info("job.found_ended job=%s state=%s", job.id(), finalRecord.state());
    } else if (result instanceof ReadResult.Absent) {
      jobHandler.onRecordMissing(job);
    } else {
      retryLater(job, FINAL_RETRY_MS);
    }
  }

  // ---- reconciliation ---------------------------------------------------------------------------

  private void reconcile(Job job, JobRecord record, Revision revision) {
    if (lease.isRefusedBy(record)) {
      jobHandler.onRefused(job, record);
      return;
    }
    boolean isOwnWrite = job.record().isOwnWrite(record, context.writer());
    boolean hasOwner = record.epoch().value() > 0;
    boolean othersMayWrite = !isOwnWrite && (hasOwner || job.record().isClaimRequired());
    references.recordRead(job.id(), revision, record, othersMayWrite);
    if (isOwnWrite) {
      // The record's sequence number shows that it is a write of this object, so memory already
      // holds its contents. Only a user's cancellation mark may have been added.
      boolean isNewlyCommitted = record.sequence() > job.record().committedSequence();
      job.adoptOwnWrite(record);
      adoptCancellation(job, record, revision);
      if (isNewlyCommitted) {
        jobHandler.onCommitted(job);
      }
    } else if (!hasOwner && !job.record().hasOwner()) {
      // No owner has written the record, so only a user's cancellation mark can have changed it.
      adoptCancellation(job, record, revision);
    } else {
      context.info(
          "job.record.replaced job=%s record_epoch=%s epoch=%s",
          job.id(), record.epoch(), lease.epoch());
      jobHandler.onReplaced(job, record, revision);
    }
    job.requestWrite(WriteUrgency.NOW, context.now());
  }

  private void adoptCancellation(Job job, JobRecord record, Revision revision) {
    job.record().adoptRevision(record, revision);
    if (record.cancelled() && !job.isCancelled()) {
      jobHandler.onCancelled(job);
    }
  }
}
