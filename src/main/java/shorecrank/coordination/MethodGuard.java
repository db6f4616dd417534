package shorecrank.coordination;

import static shorecrank.protocol.HttpStatus.METHOD_NOT_ALLOWED;

import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Json;

/** Refuses requests whose method a path does not take. */
final class MethodGuard {
  private final StepContext context;

  MethodGuard(StepContext context) {
    this.context = context;
  }

  /** Runs the action if the request's method is the allowed one, else refuses the request. */
  void require(String allowed, String method, long reply, Runnable action) {
    if (method.equals(allowed)) {
      action.run();
    } else {
      context.reply(reply, METHOD_NOT_ALLOWED, Json.error("only " + allowed));
    }
  }
}
