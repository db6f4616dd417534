package shorecrank.coordination.request;

import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.Final;

/** A job as the state service has it. */
sealed interface StoredJob {
  /** Where the job stands. */
  JobStatus status();

  /** The job has a record among the unfinished ones. */
  record Unfinished(JobRecord record, Revision revision) implements StoredJob {
    @Override
    public JobStatus status() {
      return record.jobStatus();
    }

    /** Whether the job may wait for others: nothing of it was ever placed. */
    boolean mayWait() {
      return !record.cancelled()
          && record.attemptCount() == 0
          && !record.spec().dependencies().isEmpty();
    }
  }

  /** Its record is unchanged, but a job that it needs is cancelled, and so is this one. */
  record CancelledWithDependency(JobRecord record) implements StoredJob {
    @Override
    public JobStatus status() {
      return new JobStatus(JobState.CANCELLED, 0, 0);
    }
  }

  /** The job is over; nothing of it changes any more. */
  record Finished(Final end) implements StoredJob {
    @Override
    public JobStatus status() {
      return end.jobStatus();
    }
  }
}
