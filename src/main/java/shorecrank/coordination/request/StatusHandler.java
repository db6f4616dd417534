package shorecrank.coordination.request;

import java.util.Optional;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.request.OwnerQueries.OwnerAnswer;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;

/**
 * Answers requests for the status of a job. Asks the shard owner first, to save requests to the
 * state service, and reads the state service if the owner does not know the status.
 *
 * <p>The owner is asked whether or not this process has seen the job before. After a restart it has
 * seen none, and one read for each job would exceed its share of the requests to the state service.
 */
public final class StatusHandler {
  private final StepContext context;
  private final CancellationLog cancellations;
  private final JobLookup jobs;
  private final KnownJobReplies knownJobs;
  private final UserReplies replies;
  private final OwnerQueries owners;
  private final QueryAnswerMonitor monitor;

  /** Creates the handler of one controller. */
  public StatusHandler(
      StepContext context,
      CancellationLog cancellations,
      JobLookup jobs,
      UserReplies replies,
      OwnerQueries owners,
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
    if (jobs.isFinished(id)) {
      answerFromStore(request, id);
    } else {
      Optional<ShardId> shard = jobs.findShard(id);
      monitor.recordSource(request, owners.locate(shard));
      owners.query(shard, id, answer -> onOwnerReply(request, id, answer));
    }
  }

  private void onOwnerReply(UserRequest request, JobId id, Optional<OwnerAnswer> answer) {
    if (answer.isEmpty()) {
      answerFromStore(request, id);
      return;
    }
    jobs.cacheShard(id, answer.get().shard());
    JobStatus status = answer.get().status();
    if (status.state() == JobState.CANCELLED) {
      cancellations.recordConfirmed(id);
    } else if (status.state() == JobState.DONE) {
      jobs.cacheDone(id, status.done());
    }
    replies.sendStatus(request, id, status);
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
