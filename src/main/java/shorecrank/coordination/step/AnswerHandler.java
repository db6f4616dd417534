package shorecrank.coordination.step;

import com.fasterxml.jackson.databind.JsonNode;

/** What to do with the answer to a call. */
@FunctionalInterface
public interface AnswerHandler {
  /**
   * Takes the answer.
   *
   * @param status of HTTP; 0 if there was none in time, and the call may still be carried out
   * @param body a missing node if there is none
   */
  void answer(int status, JsonNode body);
}
