package shorecrank.coordination.request;

import static shorecrank.protocol.HttpStatus.NO_ANSWER;

import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.request.JobChangeCodec.Form;
import shorecrank.coordination.request.StoredJob.Unfinished;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.storage.CommitResult;

/** Handles cancellations: marks a job's record as cancelled, then confirms to the user. */
public final class CancellationHandler {
  private static final int COMMIT_TIMEOUT_MS = 1500;
  private static final int MAX_ATTEMPTS = 6;

  private final StepContext context;
  private final CancellationLog cancellations;
  private final JobLookup jobs;
  private final KnownJobReplies knownJobs;
  private final UserReplies replies;
  private final JobChangeCodec codec;

  /** Creates the handler of one controller. */
  public CancellationHandler(
      StepContext context, CancellationLog cancellations, JobLookup jobs, UserReplies replies) {
    this.context = context;
    this.cancellations = cancellations;
    this.jobs = jobs;
    this.knownJobs = new KnownJobReplies(cancellations, replies);
    this.replies = replies;
    this.codec = new JobChangeCodec(context);
  }

  /**
   * Cancels a job and answers the request.
   *
   * @param name the job id of the request's path; need not be a valid id
   */
  public void cancel(UserRequest request, String name) {
    if (!JobSpec.isValidId(name)) {
      replies.sendNoSuchJob(request);
    } else if (!context.isStoreReachable()) {
      replies.forwardOrRetryLater(request);
    } else if (replies.requireRequestBudget(request)) {
      cancel(request, new JobId(name), MAX_ATTEMPTS);
    }
  }

  private void cancel(UserRequest request, JobId id, int attemptsLeft) {
    if (attemptsLeft == 0) {
      replies.sendRetryLater(request, RetryReason.RECORD_CONFLICT);
      return;
    }
    jobs.find(
        id,
        result -> {
          if (result instanceof LookupResult.Found found) {
            cancelStored(request, id, found.job(), attemptsLeft);
          } else if (result instanceof LookupResult.Absent) {
            replies.sendNoSuchJob(request);
          } else {
            replies.forwardOrRetryLater(request);
          }
        });
  }

  private void cancelStored(UserRequest request, JobId id, StoredJob job, int attemptsLeft) {
    if (!(job instanceof Unfinished unfinished) || unfinished.record().cancelled()) {
      knownJobs.sendState(request, id, job);
    } else if (context.userWriteBudget().tryTake(1, context.now())) {
      writeCancellation(request, id, unfinished, Form.PLAIN, attemptsLeft);
    } else {
      replies.sendRetryLater(request, RetryReason.WRITE_BUDGET_EXHAUSTED);
    }
  }

  private void writeCancellation(
      UserRequest request, JobId id, Unfinished job, Form form, int attemptsLeft) {
    context
        .store()
        .commit(
            codec.encodeCancellation(id, job, form),
            COMMIT_TIMEOUT_MS,
            result -> onCancellationResult(request, id, job, form, attemptsLeft, result));
  }

  private void onCancellationResult(
      UserRequest request,
      JobId id,
      Unfinished job,
      Form form,
      int attemptsLeft,
      CommitResult result) {
    if (result instanceof CommitResult.Committed) {
      context.count("job.cancelled");
      cancellations.recordConfirmed(id);
      replies.sendState(request, id, JobState.CANCELLED);
    } else if (result instanceof CommitResult.Conflict
        || (result instanceof CommitResult.Unknown unknown && unknown.status() == NO_ANSWER)) {
      // The record has changed, or the outcome is unknown: read it again and retry.
      cancel(request, id, attemptsLeft - 1);
    } else if (result instanceof CommitResult.TooLarge && form == Form.PLAIN) {
      // The marked record is too large in the plain form, for instance because it was stored in a
      // smaller form or under a higher limit of the state service: try the compact form.
      writeCancellation(request, id, job, Form.COMPACT, attemptsLeft);
    } else {
      replies.forwardOrRetryLater(request);
    }
  }
}
