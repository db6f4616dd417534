package shorecrank.coordination.request;

import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.request.StoredJob.CancelledWithDependency;
import shorecrank.coordination.request.StoredJob.Unfinished;
import shorecrank.protocol.Ids.JobId;

/**
 * Answers requests about jobs found in the state service. An answer that shows a job as cancelled
 * is recorded as a confirmed cancellation, because the user may rely on its tasks being stopped.
 */
final class KnownJobReplies {
  private final CancellationLog cancellations;
  private final UserReplies replies;

  KnownJobReplies(CancellationLog cancellations, UserReplies replies) {
    this.cancellations = cancellations;
    this.replies = replies;
  }

  /** Answers with the job's state, without its task counts. */
  void sendState(UserRequest request, JobId id, StoredJob job) {
    confirm(job);
    replies.sendState(request, id, job.status().state());
  }

  /** Answers with the job's state and task counts. */
  void sendStatus(UserRequest request, JobId id, StoredJob job) {
    confirm(job);
    replies.sendStatus(request, id, job.status());
  }

  private void confirm(StoredJob job) {
    if (job instanceof Unfinished unfinished && unfinished.record().cancelled()) {
      cancellations.recordConfirmed(unfinished.record().spec().id());
    } else if (job instanceof CancelledWithDependency cancelled) {
      cancellations.recordConfirmed(cancelled.record().spec().id());
    }
  }
}
