package shorecrank.coordination.request;

import static shorecrank.protocol.HttpStatus.NO_ANSWER;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Optional;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.request.DependencyAdmission.Result;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.JobSpecCodec;
import shorecrank.protocol.Json;
import shorecrank.protocol.MalformedMessageException;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.storage.CommitResult;

/**
 * Handles submissions of jobs. Submissions are idempotent: a repeated one, also at another
 * controller, is answered with the state of the job that the first one created.
 */
public final class SubmissionHandler {
  private static final int CREATE_TIMEOUT_MS = 1500;
  private static final int MAX_CREATE_ATTEMPTS = 2;

  /** The most characters of a reason in a log line. */
  private static final int MAX_LOGGED_REASON = 120;

  private static final String TOO_LARGE = "its record is larger than the state service takes";

  private final StepContext context;
  private final CancellationLog cancellations;
  private final JobLookup jobs;
  private final KnownJobReplies knownJobs;
  private final UserReplies replies;
  private final SubmissionRules rules;
  private final DependencyAdmission dependencies;
  private final JobChangeCodec codec;

  /**
   * A submission whose job itself is acceptable; its dependencies are checked separately.
   *
   * @param creation the transaction that creates the job's record
   */
  private record Submission(UserRequest request, JobSpec spec, Transaction creation) {
    JobId id() {
      return spec.id();
    }
  }

  /**
   * Creates a handler that answers submissions with "retry later" until {@link #updateCatalog} is
   * called.
   */
  public SubmissionHandler(
      StepContext context, CancellationLog cancellations, JobLookup jobs, UserReplies replies) {
    this.context = context;
    this.cancellations = cancellations;
    this.jobs = jobs;
    this.knownJobs = new KnownJobReplies(cancellations, replies);
    this.replies = replies;
    this.rules = new SubmissionRules(context);
    this.dependencies = new DependencyAdmission(context, jobs);
    this.codec = new JobChangeCodec(context);
  }

  /** Updates the machine types that can be rented, by name. */
  public void updateCatalog(Map<String, MachineType> types) {
    rules.updateCatalog(types);
  }

  /** Validates a submission, creates the job's record and answers the request. */
  public void submit(UserRequest request) {
    JsonNode message = Json.missing();
    JobSpec spec;
    try {
      message = Json.readFields(request.body(), JobSpecCodec.FIELDS);
      spec = JobSpecCodec.read(message);
    } catch (MalformedMessageException e) {
      refuseMalformed(request, JobSpecCodec.readIdOrEmpty(message), e);
      return;
    }
    if (!rules.isReady()) {
      replies.sendRetryLater(request, RetryReason.MACHINE_TYPES_UNKNOWN);
      return;
    }
    Optional<String> rejection = rules.findRejectionReason(spec);
    if (rejection.isPresent()) {
      refuse(request, spec, rejection.get());
    } else if (!context.isStoreReachable()) {
      replies.forwardOrRetryLater(request);
    } else {
      Optional<Transaction> creation = codec.encodeCreation(spec);
      if (creation.isEmpty()) {
        refuse(request, spec, TOO_LARGE);
      } else {
        Submission submission = new Submission(request, spec, creation.get());
        dependencies.check(
            spec.dependencies(), result -> onDependenciesChecked(submission, result));
      }
    }
  }

  private void refuseMalformed(
      UserRequest request, String id, MalformedMessageException malformed) {
    context.count("submission.malformed");
    context.infoLimited(
        "submission.malformed",
        "job=%s field=%s bytes=%d reason=\"%s\"",
        id.isEmpty() ? "-" : id,
        malformed.field(),
        request.body().length,
        malformed.reason());
    replies.sendMalformed(request, malformed.getMessage());
  }

  /**
   * Creates the job if all its dependencies were accepted. A job with a cancelled dependency is
   * accepted too, and is cancelled from the start.
   */
  private void onDependenciesChecked(Submission submission, Result result) {
    if (result instanceof Result.Accepted accepted) {
      if (context.userWriteBudget().tryTake(1, context.now())) {
        JobState state = accepted.hasCancelled() ? JobState.CANCELLED : JobState.QUEUED;
        create(submission, state, MAX_CREATE_ATTEMPTS);
      } else {
        replies.sendRetryLater(submission.request, RetryReason.WRITE_BUDGET_EXHAUSTED);
      }
    } else if (result instanceof Result.NeverAccepted never) {
      refuse(submission.request, submission.spec, "needs a job never accepted: " + never.id());
    } else if (result instanceof Result.OutOfBudget) {
      replies.sendRetryLater(submission.request, RetryReason.REQUEST_BUDGET_EXHAUSTED);
    } else if (result instanceof Result.Unknown) {
      replies.forwardOrRetryLater(submission.request);
    }
  }

  private void create(Submission submission, JobState state, int attemptsLeft) {
    jobs.cacheShard(submission.spec);
    context
        .store()
        .commit(
            submission.creation,
            CREATE_TIMEOUT_MS,
            result -> onCreateResult(submission, state, attemptsLeft, result));
  }

  private void onCreateResult(
      Submission submission, JobState state, int attemptsLeft, CommitResult result) {
    if (result instanceof CommitResult.Committed) {
      context.count("job.accepted");
      if (state == JobState.CANCELLED) {
        cancellations.recordConfirmed(submission.id());
      }
      replies.sendAccepted(submission.request, submission.id(), state);
    } else if (result instanceof CommitResult.Conflict) {
      jobs.find(submission.id(), found -> answerExisting(submission, found));
    } else if (result instanceof CommitResult.TooLarge) {
      // The state service accepts only values that are smaller than the configured limit; the size
      // check before the write can let a record of exactly that size pass.
      refuse(submission.request, submission.spec, TOO_LARGE);
    } else if (isUnanswered(result) && attemptsLeft > 1) {
      // The unanswered transaction may have created the record, or may still create it: the retry
      // then ends in a conflict, which is answered with the existing job.
      create(submission, state, attemptsLeft - 1);
    } else {
      replies.forwardOrRetryLater(submission.request);
    }
  }

  private static boolean isUnanswered(CommitResult result) {
    return result instanceof CommitResult.Unknown unknown && unknown.status() == NO_ANSWER;
  }

  private void answerExisting(Submission submission, LookupResult result) {
    if (result instanceof LookupResult.Found found) {
      knownJobs.sendState(submission.request, submission.id(), found.job());
    } else if (result instanceof LookupResult.Absent) {
      replies.sendRetryLater(submission.request, RetryReason.JOB_DISAPPEARED);
    } else {
      replies.forwardOrRetryLater(submission.request);
    }
  }

  /** Returns a reason, which may hold a user's text of any length and content, for a log line. */
  private static String shorten(String reason) {
    String line = reason.replaceAll("[^\\x20-\\x7e]|\"", "?");
    return line.substring(0, Math.min(line.length(), MAX_LOGGED_REASON));
  }

  /**
   * Refuses a submission that can never be accepted. If the job exists, it was accepted under other
   * limits; the answer is then its state.
   */
  private void refuse(UserRequest request, JobSpec spec, String reason) {
    jobs.find(
        spec.id(),
        result -> {
          if (result instanceof LookupResult.Found found) {
            knownJobs.sendState(request, spec.id(), found.job());
          } else if (result instanceof LookupResult.Absent) {
            context.count("submission.unacceptable");
            context.infoLimited(
                "submission.unacceptable", "job=%s reason=\"%s\"", spec.id(), shorten(reason));
            replies.sendUnacceptable(request, reason);
          } else {
            replies.forwardOrRetryLater(request);
          }
        });
  }
}
