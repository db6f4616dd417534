package shorecrank.coordination.request;

import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.request.StoredJob.CancelledWithDependency;
import shorecrank.coordination.request.StoredJob.Unfinished;
import shorecrank.protocol.Ids.JobId;

/**
 * Tells users of jobs found in the state service. Whoever is told that a job is cancelled counts on
 * the end of its tasks from then on, so that such an answer is a confirmed cancellation.
 */
final class KnownJobReplies {
  private final CancellationLog cancellations;
  private final UserReplies replies;

  KnownJobReplies(CancellationLog cancellations, UserReplies replies) {
    this.cancellations = cancellations;
    this.replies = replies;
  }

  /** Answers with the job's state alone. */
  void state(UserRequest request, JobId id, StoredJob job) {
    confirm(job);
    replies.state(request, id, job.status().state());
  }

  /** Answers with where the job stands. */
  void status(UserRequest request, JobId id, StoredJob job) {
    confirm(job);
    replies.status(request, id, job.status());
  }

  private void confirm(StoredJob job) {
    if (job instanceof Unfinished unfinished && unfinished.record().cancelled()) {
      cancellations.recordConfirmed(unfinished.record().spec().id());
    } else if (job instanceof CancelledWithDependency cancelled) {
      cancellations.recordConfirmed(cancelled.record().spec().id());
    }
  }
}
