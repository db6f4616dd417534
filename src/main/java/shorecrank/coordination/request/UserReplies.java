package shorecrank.coordination.request;

import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Json;
import shorecrank.protocol.UserMessages;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;

/** Answers to users, and what happens when this controller can't give one. */
public final class UserReplies {
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int UNPROCESSABLE = 422;
  private static final int UNAVAILABLE = 503;
  private static final int RETRY_AFTER_S = 1;
  private static final String NO_SUCH_JOB = "no such job";
  private static final String STORE_UNAVAILABLE = "state service unavailable";
  private static final String NO_REQUESTS_LEFT = "state requests are used up";
  private static final String NO_WRITES_LEFT = "state changes are used up";

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
    context.reply(request.reply(), CREATED, UserMessages.phase(job, state));
  }

  /** The state of a job that is known already. */
  void state(UserRequest request, JobId job, JobState state) {
    context.reply(request.reply(), OK, UserMessages.phase(job, state));
  }

  /** Where a job stands. */
  void status(UserRequest request, JobId job, JobStatus status) {
    context.reply(request.reply(), OK, UserMessages.status(job, status));
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

  /** The user is to repeat the request; the reason is also the end of a metric's name. */
  void later(UserRequest request, String reason) {
    context.count("user.refused." + reason.replace(' ', '_'));
    context.replyLater(request.reply(), UNAVAILABLE, Json.error(reason), RETRY_AFTER_S);
  }

  /** The budget of state requests is used up. */
  void outOfRequests(UserRequest request) {
    later(request, NO_REQUESTS_LEFT);
  }

  /** The budget of state changes is used up. */
  void outOfWrites(UserRequest request) {
    later(request, NO_WRITES_LEFT);
  }

  /**
   * The state service does not answer this controller. Another may still reach it; then that one
   * answers.
   */
  void storeUnavailable(UserRequest request) {
    if (request.isForwarded()
        || !forwarder.forward(request, () -> later(request, STORE_UNAVAILABLE))) {
      later(request, STORE_UNAVAILABLE);
    }
  }

  /**
   * Answers the request if the budget of state requests is used up.
   *
   * @return whether a request is left, so that the user has yet to be answered
   */
  boolean requireRequestBudget(UserRequest request) {
    if (context.requests.has(1, context.now())) {
      return true;
    }
    outOfRequests(request);
    return false;
  }
}
