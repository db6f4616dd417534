package shorecrank.coordination.request;

import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.Final;

/** A job as read from the state service. */
sealed interface StoredJob {
  /** Returns the status that the job's user sees. */
  JobStatus status();

  /** A job with a live record. */
  record Unfinished(JobRecord record, Revision revision) implements StoredJob {
    @Override
    public JobStatus status() {
      return record.jobStatus();
    }

    /**
     * Reports whether the job may still wait for its dependencies. A job of which a task was ever
     * placed does not: all its dependencies were done by then.
     */
    boolean mayWaitForDependencies() {
      return !record.cancelled()
          && record.attemptCount() == 0
          && !record.spec().dependencies().isEmpty();
    }
  }

  /** A job that is cancelled because a dependency is, although its live record is not marked. */
  record CancelledWithDependency(JobRecord record) implements StoredJob {
    @Override
    public JobStatus status() {
      return new JobStatus(JobState.CANCELLED, 0, 0);
    }
  }

  /** A job that has ended, with its final record, which never changes. */
  record Finished(Final finalRecord) implements StoredJob {
    @Override
    public JobStatus status() {
      return finalRecord.jobStatus();
    }
  }
}
