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

/** Answers to users, and what happens when this controller can't give one. */
public final class UserReplies {
  private static final int RETRY_AFTER_S = 1;
  private static final String NO_SUCH_JOB = "no such job";

  private final StepContext context;
  private final Forwarder forwarder;

  /** Passes a request on to a controller that reaches the state service. */
  @FunctionalInterface
  public interface Forwarder {
    /**
     * Passes the request on if there is such a controller, whose answer then goes to the user.
     *
     * @param failed run if the other controller does not answer it
     * @return false if there is no such controller; the request is then not answered
     */
    boolean forward(UserRequest request, Runnable failed);
  }

  /** Creates the answers of one controller. */
  public UserReplies(StepContext context, Forwarder forwarder) {
    this.context = context;
    this.forwarder = forwarder;
  }

  /** The job has been accepted. */
  void accepted(UserRequest request, JobId job, JobState state) {
    context.reply(request.reply(), CREATED, JobStatusCodec.writeState(job, state));
  }

  /** The state of a job that is known already. */
  void state(UserRequest request, JobId job, JobState state) {
    context.reply(request.reply(), OK, JobStatusCodec.writeState(job, state));
  }

  /** Where a job stands. */
  void status(UserRequest request, JobId job, JobStatus status) {
    context.reply(request.reply(), OK, JobStatusCodec.writeStatus(job, status));
  }

  /** The job was never accepted. */
  void noSuchJob(UserRequest request) {
    context.reply(request.reply(), NOT_FOUND, Json.error(NO_SUCH_JOB));
  }

  /** The request makes no sense. */
  void malformed(UserRequest request, String reason) {
    context.reply(request.reply(), BAD_REQUEST, Json.error(reason));
  }

  /** The submission can never be accepted. */
  void unacceptable(UserRequest request, String reason) {
    context.reply(request.reply(), UNPROCESSABLE, Json.error(reason));
  }

  /** The user is to repeat the request. */
  void later(UserRequest request, RetryReason reason) {
    context.count(reason.metric());
    context.replyWithRetryAfter(
        request.reply(), UNAVAILABLE, Json.error(reason.text()), RETRY_AFTER_S);
  }

  /**
   * The state service does not answer this controller. Another may still reach it; then that one
   * answers.
   */
  void storeUnavailable(UserRequest request) {
    if (request.isForwarded()
        || !forwarder.forward(request, () -> later(request, RetryReason.STORE_UNAVAILABLE))) {
      later(request, RetryReason.STORE_UNAVAILABLE);
    }
  }

  /**
   * Answers the request if the budget of state requests is used up.
   *
   * @return whether a request is left, so that the user has yet to be answered
   */
  boolean requireRequestBudget(UserRequest request) {
    if (context.requestBudget().has(1, context.now())) {
      return true;
    }
    later(request, RetryReason.NO_REQUESTS_LEFT);
    return false;
  }
}
