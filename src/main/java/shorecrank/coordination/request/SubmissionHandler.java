package shorecrank.coordination.request;

import static shorecrank.protocol.HttpStatus.NO_ANSWER;

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
 * Accepts jobs. A submission is idempotent: one that is repeated, also at another controller, is
 * answered with the state of the job that the first has created.
 */
public final class SubmissionHandler {
  private static final int CREATE_TIMEOUT_MS = 1500;
  private static final int CREATE_ATTEMPTS = 2;
  private static final String TOO_LARGE = "its record is larger than the state service takes";

  private final StepContext context;
  private final CancellationLog cancellations;
  private final JobLookup jobs;
  private final KnownJobReplies knownJobs;
  private final UserReplies replies;
  private final SubmissionRules rules;
  private final DependencyAdmission dependencies;
  private final JobChangeCodec codec;

  /** A submission whose record can be written. */
  private record Submission(UserRequest request, JobSpec spec, Transaction creation) {
    JobId id() {
      return spec.id();
    }
  }

  /** Creates a handler that accepts nothing before it knows the types of machines. */
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

  /** The types of machines that can be rented have been read. */
  public void updateCatalog(Map<String, MachineType> types) {
    rules.updateCatalog(types);
  }

  /** Answers a submission. */
  public void submit(UserRequest request) {
    JobSpec spec;
    try {
      spec = JobSpecCodec.read(Json.parse(request.body()));
    } catch (MalformedMessageException e) {
      replies.malformed(request, e.getMessage());
      return;
    }
    if (!rules.isReady()) {
      replies.later(request, RetryReason.NO_MACHINE_TYPES);
      return;
    }
    Optional<String> obstacle = rules.findObstacle(spec);
    if (obstacle.isPresent()) {
      refuse(request, spec, obstacle.get());
    } else if (!context.isStoreReachable()) {
      replies.storeUnavailable(request);
    } else {
      Optional<Transaction> creation = codec.create(spec);
      if (creation.isEmpty()) {
        refuse(request, spec, TOO_LARGE);
      } else {
        Submission submission = new Submission(request, spec, creation.get());
        dependencies.check(spec.dependencies(), result -> dependenciesChecked(submission, result));
      }
    }
  }

  /**
   * Only jobs that were accepted may be named. One that names a cancelled job is accepted, and is
   * cancelled.
   */
  private void dependenciesChecked(Submission submission, Result result) {
    if (result instanceof Result.Accepted accepted) {
      if (context.userWriteBudget().tryTake(1, context.now())) {
        JobState state = accepted.hasCancelled() ? JobState.CANCELLED : JobState.QUEUED;
        create(submission, state, CREATE_ATTEMPTS);
      } else {
        replies.later(submission.request, RetryReason.NO_WRITES_LEFT);
      }
    } else if (result instanceof Result.NeverAccepted never) {
      refuse(submission.request, submission.spec, "needs a job never accepted: " + never.id());
    } else if (result instanceof Result.OutOfBudget) {
      replies.later(submission.request, RetryReason.NO_REQUESTS_LEFT);
    } else if (result instanceof Result.Unknown) {
      replies.storeUnavailable(submission.request);
    }
  }

  private void create(Submission submission, JobState state, int attemptsLeft) {
    jobs.rememberShard(submission.spec);
    context
        .store()
        .commit(
            submission.creation,
            CREATE_TIMEOUT_MS,
            result -> created(submission, state, attemptsLeft, result));
  }

  private void created(
      Submission submission, JobState state, int attemptsLeft, CommitResult result) {
    if (result instanceof CommitResult.Committed) {
      context.count("job.accepted");
      if (state == JobState.CANCELLED) {
        cancellations.recordConfirmed(submission.id());
      }
      replies.accepted(submission.request, submission.id(), state);
    } else if (result instanceof CommitResult.Conflict) {
      jobs.find(submission.id(), found -> answerExisting(submission, found));
    } else if (result instanceof CommitResult.TooLarge) {
      // The state service takes less than it has announced.
      refuse(submission.request, submission.spec, TOO_LARGE);
    } else if (isUnanswered(result) && attemptsLeft > 1) {
      // It may have been accepted, or be yet: the same guard settles that.
      create(submission, state, attemptsLeft - 1);
    } else {
      replies.storeUnavailable(submission.request);
    }
  }

  private static boolean isUnanswered(CommitResult result) {
    return result instanceof CommitResult.Unknown unknown && unknown.status() == NO_ANSWER;
  }

  private void answerExisting(Submission submission, LookupResult result) {
    if (result instanceof LookupResult.Found found) {
      knownJobs.state(submission.request, submission.id(), found.job());
    } else if (result instanceof LookupResult.Absent) {
      replies.later(submission.request, RetryReason.JOB_MOVED);
    } else {
      replies.storeUnavailable(submission.request);
    }
  }

  /**
   * Refuses a submission that can never be accepted. Limits may have changed since the job was
   * accepted: a known one is answered as such.
   */
  private void refuse(UserRequest request, JobSpec spec, String reason) {
    jobs.find(
        spec.id(),
        result -> {
          if (result instanceof LookupResult.Found found) {
            knownJobs.state(request, spec.id(), found.job());
          } else if (result instanceof LookupResult.Absent) {
            replies.unacceptable(request, reason);
          } else {
            replies.storeUnavailable(request);
          }
        });
  }
}
