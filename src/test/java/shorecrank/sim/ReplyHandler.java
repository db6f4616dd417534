package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import shorecrank.protocol.Json;

/** Handles the answer to a request. */
@FunctionalInterface
interface ReplyHandler {
  /** Status that stands for no answer: a timeout or a refused connection. */
  int NO_ANSWER = 0;

  /** Ignores the answer. */
  ReplyHandler IGNORE = (status, body) -> {};

  /**
   * Handles an answer.
   *
   * @param status the HTTP status, or {@link #NO_ANSWER}
   * @param body never null; a missing node if there is no body
   */
  void accept(int status, JsonNode body);

  /** Handles that there is no answer. */
  default void noAnswer() {
    accept(NO_ANSWER, MissingNode.getInstance());
  }

  /** Handles the answer of an unavailable service: status 503. */
  default void unavailable() {
    accept(503, Json.error("trouble"));
  }
}
