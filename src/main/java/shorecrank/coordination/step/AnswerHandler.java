package shorecrank.coordination.step;

import com.fasterxml.jackson.databind.JsonNode;

/** Handles the answer to a call to another process. */
@FunctionalInterface
public interface AnswerHandler {
  /**
   * Handles the answer.
   *
   * @param status the HTTP status; 0 if no answer came within the timeout, in which case the other
   *     process may still carry the call out
   * @param body the parsed body, or a missing node if there is none
   */
  void handle(int status, JsonNode body);
}
