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

/** Cancels jobs: the record's mark is committed before the user is told. */
public final class CancellationHandler {
  private static final int COMMIT_TIMEOUT_MS = 1500;
  private static final int ATTEMPTS = 6;

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

  /** Cancels the job of that name, which need not be one that a job can have. */
  public void cancel(UserRequest request, String name) {
    if (!JobSpec.isValidId(name)) {
      replies.noSuchJob(request);
    } else if (!context.isStoreReachable()) {
      replies.storeUnavailable(request);
    } else if (replies.requireRequestBudget(request)) {
      cancel(request, new JobId(name), ATTEMPTS);
    }
  }

  private void cancel(UserRequest request, JobId id, int attemptsLeft) {
    if (attemptsLeft == 0) {
      replies.later(request, RetryReason.RECORD_CONTENDED);
      return;
    }
    jobs.find(
        id,
        result -> {
          if (result instanceof LookupResult.Found found) {
            cancelStored(request, id, found.job(), attemptsLeft);
          } else if (result instanceof LookupResult.Absent) {
            replies.noSuchJob(request);
          } else {
            replies.storeUnavailable(request);
          }
        });
  }

  private void cancelStored(UserRequest request, JobId id, StoredJob job, int attemptsLeft) {
    if (!(job instanceof Unfinished unfinished) || unfinished.record().cancelled()) {
      knownJobs.state(request, id, job);
    } else if (context.userWriteBudget().tryTake(1, context.now())) {
      mark(request, id, unfinished, Form.PLAIN, attemptsLeft);
    } else {
      replies.later(request, RetryReason.NO_WRITES_LEFT);
    }
  }

  private void mark(UserRequest request, JobId id, Unfinished job, Form form, int attemptsLeft) {
    context
        .store()
        .commit(
            codec.cancel(id, job, form),
            COMMIT_TIMEOUT_MS,
            result -> marked(request, id, job, form, attemptsLeft, result));
  }

  private void marked(
      UserRequest request,
      JobId id,
      Unfinished job,
      Form form,
      int attemptsLeft,
      CommitResult result) {
    if (result instanceof CommitResult.Committed) {
      context.count("job.cancelled");
      cancellations.recordConfirmed(id);
      replies.state(request, id, JobState.CANCELLED);
    } else if (result instanceof CommitResult.Conflict
        || (result instanceof CommitResult.Unknown unknown && unknown.status() == NO_ANSWER)) {
      // Changed meanwhile, or not known: look again and write behind what is there now.
      cancel(request, id, attemptsLeft - 1);
    } else if (result instanceof CommitResult.TooLarge && form == Form.PLAIN) {
      // The record was written under larger limits.
      mark(request, id, job, Form.COMPACT, attemptsLeft);
    } else {
      replies.storeUnavailable(request);
    }
  }
}
