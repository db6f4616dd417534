package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import shorecrank.protocol.Json;

/** Takes the answer to a request. */
@FunctionalInterface
interface ReplyHandler {
  /** The status when there was no answer in time, or no connection. */
  int NO_ANSWER = 0;

  /** Nobody waits for the answer. */
  ReplyHandler IGNORE = (status, body) -> {};

  /**
   * Takes it.
   *
   * @param status of HTTP, or {@link #NO_ANSWER}
   * @param body never null, but maybe missing
   */
  void accept(int status, JsonNode body);

  /** There was no answer. */
  default void noAnswer() {
    accept(NO_ANSWER, MissingNode.getInstance());
  }

  /** The answer of a service that is not available. */
  default void unavailable() {
    accept(503, Json.error("trouble"));
  }
}
