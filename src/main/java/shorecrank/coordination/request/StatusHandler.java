package shorecrank.coordination.request;

import java.util.Optional;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.shard.StatusQueries.StatusCallback;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;

/**
 * Answers where a job stands. The owner of its shard is asked first, since that costs the state
 * service less; what it can't tell is looked up.
 */
public final class StatusHandler {
  private final StepContext context;
  private final CancellationLog cancellations;
  private final JobLookup jobs;
  private final KnownJobReplies knownJobs;
  private final UserReplies replies;
  private final OwnerQuery owners;

  /** Asks the owner of a shard, wherever it is. */
  @FunctionalInterface
  public interface OwnerQuery {
    /** Asks where the job stands; the callback gets null if the owner can't tell. */
    void query(ShardId shard, JobId job, StatusCallback then);
  }

  /** Creates the handler of one controller. */
  public StatusHandler(
      StepContext context,
      CancellationLog cancellations,
      JobLookup jobs,
      UserReplies replies,
      OwnerQuery owners) {
    this.context = context;
    this.cancellations = cancellations;
    this.jobs = jobs;
    this.knownJobs = new KnownJobReplies(cancellations, replies);
    this.replies = replies;
    this.owners = owners;
  }

  /** Answers for the job of that name, which need not be one that a job can have. */
  public void answer(UserRequest request, String name) {
    if (!JobSpec.isValidId(name)) {
      replies.noSuchJob(request);
      return;
    }
    JobId id = new JobId(name);
    Optional<ShardId> shard = jobs.findShard(id);
    if (shard.isEmpty() || jobs.isFinished(id)) {
      answerFromStore(request, id);
    } else {
      owners.query(shard.get(), id, status -> ownerAnswered(request, id, status));
    }
  }

  private void ownerAnswered(UserRequest request, JobId id, Optional<JobStatus> status) {
    if (status.isEmpty()) {
      answerFromStore(request, id);
      return;
    }
    if (status.get().state() == JobState.CANCELLED) {
      cancellations.recordConfirmed(id);
    }
    replies.status(request, id, status.get());
  }

  private void answerFromStore(UserRequest request, JobId id) {
    if (!jobs.isFinished(id)) {
      if (!context.isStoreReachable()) {
        replies.storeUnavailable(request);
        return;
      }
      if (!replies.requireRequestBudget(request)) {
        return;
      }
    }
    jobs.find(
        id,
        result -> {
          if (result instanceof LookupResult.Found found) {
            knownJobs.status(request, id, found.job());
          } else if (result instanceof LookupResult.Absent) {
            replies.noSuchJob(request);
          } else {
            replies.storeUnavailable(request);
          }
        });
  }
}
