package shorecrank.coordination;

import static shorecrank.protocol.HttpStatus.NOT_FOUND;

import java.util.Map;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.request.CancellationHandler;
import shorecrank.coordination.request.JobLookup;
import shorecrank.coordination.request.OwnerQueries;
import shorecrank.coordination.request.QueryAnswerMonitor;
import shorecrank.coordination.request.StatusHandler;
import shorecrank.coordination.request.SubmissionHandler;
import shorecrank.coordination.request.UserReplies;
import shorecrank.coordination.request.UserRequest;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.Json;

/** Routes users' requests by path to the handlers of submissions, cancellations and status. */
final class UserRequestRouter {
  private static final String JOBS = "/api/jobs";
  private static final String JOB_PREFIX = JOBS + "/";
  private static final String CANCEL_SUFFIX = "/abort";

  private final StepContext context;
  private final MethodGuard methods;
  private final SubmissionHandler submissions;
  private final CancellationHandler cancellations;
  private final StatusHandler statuses;
  private final QueryAnswerMonitor queryMonitor;

  /**
   * Creates the router and the handlers behind it.
   *
   * @param forwarder forwards requests while this controller does not reach the state service
   * @param owners queries shard owners for the status of jobs
   */
  UserRequestRouter(
      StepContext context,
      MethodGuard methods,
      CancellationLog cancellationLog,
      UserReplies.Forwarder forwarder,
      OwnerQueries owners) {
    this.context = context;
    this.methods = methods;
    JobLookup jobs = new JobLookup(context, cancellationLog);
    this.queryMonitor = new QueryAnswerMonitor(context);
    UserReplies replies = new UserReplies(context, forwarder, queryMonitor);
    this.submissions = new SubmissionHandler(context, cancellationLog, jobs, replies);
    this.cancellations = new CancellationHandler(context, cancellationLog, jobs, replies);
    this.statuses =
        new StatusHandler(context, cancellationLog, jobs, replies, owners, queryMonitor);
  }

  /** Updates the types of machines that can be rented, which submissions are checked against. */
  void updateCatalog(Map<String, MachineType> types) {
    submissions.updateCatalog(types);
  }

  /** Updates the metrics of unanswered queries. */
  void tick() {
    queryMonitor.tick();
  }

  /** Passes the request to its handler, which answers it in this step or a later one. */
  void route(UserRequest request) {
    String path = request.path();
    if (path.equals(JOBS)) {
      require("POST", request, () -> submissions.submit(request));
    } else if (path.startsWith(JOB_PREFIX)) {
      routeJob(request, path.substring(JOB_PREFIX.length()));
    } else {
      refuse(request);
    }
  }

  private void routeJob(UserRequest request, String rest) {
    int slash = rest.indexOf('/');
    if (slash >= 0 && rest.substring(slash).equals(CANCEL_SUFFIX)) {
      String name = rest.substring(0, slash);
      require("POST", request, () -> cancellations.cancel(request, name));
    } else if (!rest.isEmpty() && slash < 0) {
      require("GET", request, () -> statuses.answer(request, rest));
    } else {
      refuse(request);
    }
  }

  private void require(String method, UserRequest request, Runnable action) {
    methods.require(method, request.method(), request.reply(), action);
  }

  private void refuse(UserRequest request) {
    context.reply(request.reply(), NOT_FOUND, Json.error("no such path"));
  }
}
