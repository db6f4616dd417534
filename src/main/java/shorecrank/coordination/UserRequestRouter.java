package shorecrank.coordination;

import shorecrank.coordination.request.CancellationHandler;
import shorecrank.coordination.request.StatusHandler;
import shorecrank.coordination.request.SubmissionHandler;
import shorecrank.coordination.request.UserRequest;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Json;

/** Finds the handler of a user's request by its path. */
final class UserRequestRouter {
  private static final String JOBS = "/api/jobs";
  private static final String JOB_PREFIX = JOBS + "/";
  private static final String CANCEL_SUFFIX = "/abort";
  private static final int NOT_FOUND = 404;

  private final StepContext context;
  private final MethodGuard methods;
  private final SubmissionHandler submissions;
  private final CancellationHandler cancellations;
  private final StatusHandler statuses;

  UserRequestRouter(
      StepContext context,
      MethodGuard methods,
      SubmissionHandler submissions,
      CancellationHandler cancellations,
      StatusHandler statuses) {
    this.context = context;
    this.methods = methods;
    this.submissions = submissions;
    this.cancellations = cancellations;
    this.statuses = statuses;
  }

  /** Has the request answered, now or later. */
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
