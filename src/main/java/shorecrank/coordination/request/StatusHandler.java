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
 * Answers requests for the status of a job. Asks the shard owner first, to save requests to the
 * state service, and reads the state service if the owner does not know the status.
 */
public final class StatusHandler {
  private final StepContext context;
  private final CancellationLog cancellations;
  private final JobLookup jobs;
  private final KnownJobReplies knownJobs;
  private final UserReplies replies;
  private final OwnerQuery owners;
  private final QueryAnswerMonitor monitor;

  /** Queries the owner of a shard, on this or another controller. */
  public interface OwnerQuery {
    /** Returns whether the shard's owner is this process, another controller, or not known. */
    QuerySource locate(ShardId shard);

    /**
     * Queries the status of a job.
     *
     * @param callback receives the status; empty if the owner does not know it or does not answer
     */
    void query(ShardId shard, JobId job, StatusCallback callback);
  }

  /** Creates the handler of one controller. */
  public StatusHandler(
      StepContext context,
      CancellationLog cancellations,
      JobLookup jobs,
      UserReplies replies,
      OwnerQuery owners,
      QueryAnswerMonitor monitor) {
    this.context = context;
    this.cancellations = cancellations;
    this.jobs = jobs;
    this.knownJobs = new KnownJobReplies(cancellations, replies);
    this.replies = replies;
    this.owners = owners;
    this.monitor = monitor;
  }

  /**
   * Answers with the status of a job.
   *
   * @param name the job id of the request's path; need not be a valid id
   */
  public void answer(UserRequest request, String name) {
    if (!JobSpec.isValidId(name)) {
      replies.sendNoSuchJob(request);
      return;
    }
    JobId id = new JobId(name);
    monitor.begin(request, id);
    Optional<ShardId> shard = jobs.findShard(id);
    if (shard.isEmpty() || jobs.isFinished(id)) {
      answerFromStore(request, id);
    } else {
      monitor.recordSource(request, owners.locate(shard.get()));
      owners.query(shard.get(), id, status -> onOwnerReply(request, id, status));
    }
  }

  private void onOwnerReply(UserRequest request, JobId id, Optional<JobStatus> status) {
    if (status.isEmpty()) {
      answerFromStore(request, id);
      return;
    }
    if (status.get().state() == JobState.CANCELLED) {
      cancellations.recordConfirmed(id);
    }
    replies.sendStatus(request, id, status.get());
  }

  private void answerFromStore(UserRequest request, JobId id) {
    monitor.recordSource(request, QuerySource.STORE);
    if (!jobs.isFinished(id)) {
      if (!context.isStoreReachable()) {
        replies.forwardOrRetryLater(request);
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
            knownJobs.sendStatus(request, id, found.job());
          } else if (result instanceof LookupResult.Absent) {
            replies.sendNoSuchJob(request);
          } else {
            replies.forwardOrRetryLater(request);
          }
        });
  }
}
