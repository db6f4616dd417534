package shorecrank.coordination;

import static shorecrank.protocol.HttpStatus.METHOD_NOT_ALLOWED;

import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Json;

/** Rejects requests whose HTTP method is not the one that their path allows. */
final class MethodGuard {
  private final StepContext context;

  MethodGuard(StepContext context) {
    this.context = context;
  }

  /**
   * Runs the action if the request's method is the allowed one; otherwise replies with 405 (Method
   * Not Allowed).
   *
   * @param reply identifies the request to reply to
   */
  void require(String allowed, String method, long reply, Runnable action) {
    if (method.equals(allowed)) {
      action.run();
    } else {
      context.reply(reply, METHOD_NOT_ALLOWED, Json.error("only " + allowed));
    }
  }
}
