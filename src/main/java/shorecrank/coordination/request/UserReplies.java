package shorecrank.coordination.request;

import static shorecrank.protocol.HttpStatus.BAD_REQUEST;
import static shorecrank.protocol.HttpStatus.CREATED;
import static shorecrank.protocol.HttpStatus.NOT_FOUND;
import static shorecrank.protocol.HttpStatus.OK;
import static shorecrank.protocol.HttpStatus.UNAVAILABLE;
import static shorecrank.protocol.HttpStatus.UNPROCESSABLE;

import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.JobStatusCodec;
import shorecrank.protocol.Json;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;

/**
 * Sends answers to users. Forwards requests to another controller if the state service does not
 * answer this one.
 */
public final class UserReplies {
  private static final int RETRY_AFTER_S = 1;
  private static final String NO_SUCH_JOB = "no such job";

  private final StepContext context;
  private final Forwarder forwarder;
  private final QueryAnswerMonitor monitor;

  /** Forwards a request to a controller that reaches the state service. */
  @FunctionalInterface
  public interface Forwarder {
    /**
     * Forwards the request if such a controller is known; its answer goes to the user.
     *
     * @param onFailure run if the other controller does not answer the request
     * @return false if no such controller is known; the request has then not been answered
     */
    boolean forward(UserRequest request, Runnable onFailure);
  }

  /** Creates the replies of one controller. */
  public UserReplies(StepContext context, Forwarder forwarder, QueryAnswerMonitor monitor) {
    this.context = context;
    this.forwarder = forwarder;
    this.monitor = monitor;
  }

  /** Answers that the job has been accepted. */
  void sendAccepted(UserRequest request, JobId job, JobState state) {
    context.reply(request.reply(), CREATED, JobStatusCodec.writeState(job, state));
  }

  /** Answers with the state of an existing job. */
  void sendState(UserRequest request, JobId job, JobState state) {
    context.reply(request.reply(), OK, JobStatusCodec.writeState(job, state));
  }

  /** Answers with the status of a job: its state and task counts. */
  void sendStatus(UserRequest request, JobId job, JobStatus status) {
    context.reply(request.reply(), OK, JobStatusCodec.writeStatus(job, status));
  }

  /** Answers that the job was never accepted. */
  void sendNoSuchJob(UserRequest request) {
    context.reply(request.reply(), NOT_FOUND, Json.error(NO_SUCH_JOB));
  }

  /** Answers that the request is malformed. */
  void sendMalformed(UserRequest request, String reason) {
    context.reply(request.reply(), BAD_REQUEST, Json.error(reason));
  }

  /** Answers that the submission can never be accepted. */
  void sendUnacceptable(UserRequest request, String reason) {
    context.reply(request.reply(), UNPROCESSABLE, Json.error(reason));
  }

  /** Tells the user to repeat the request later. */
  void sendRetryLater(UserRequest request, RetryReason reason) {
    context.count(reason.metric());
    monitor.recordReason(request, reason);
    context.replyWithRetryAfter(
        request.reply(), UNAVAILABLE, Json.error(reason.text()), RETRY_AFTER_S);
  }

  /**
   * Forwards a request that needs the state service while the service does not answer this
   * controller. Tells the user to retry if no controller can take the request, or if the request
   * was forwarded before.
   */
  void forwardOrRetryLater(UserRequest request) {
    if (request.isForwarded()
        || !forwarder.forward(
            request, () -> sendRetryLater(request, RetryReason.STORE_UNAVAILABLE))) {
      sendRetryLater(request, RetryReason.STORE_UNAVAILABLE);
    } else {
      monitor.recordSource(request, QuerySource.FORWARDED);
    }
  }

  /**
   * Tells the user to retry if the budget of state requests is exhausted.
   *
   * @return whether a state request is left; if so, the user's request has not been answered
   */
  boolean requireRequestBudget(UserRequest request) {
    if (context.requestBudget().has(1, context.now())) {
      return true;
    }
    sendRetryLater(request, RetryReason.REQUEST_BUDGET_EXHAUSTED);
    return false;
  }
}
