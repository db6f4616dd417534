package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import shorecrank.sim.UserRequest.Kind;

/**
 * An answer to a user.
 *
 * @param toldBefore what users already knew about the job when the request was sent
 */
record UserAnswer(Kind kind, String job, int status, JsonNode body, KnownJobState toldBefore) {
  boolean isOk() {
    return status == 200 || status == 201;
  }

  /** Returns the job's phase in this answer; empty if the answer names none. */
  String phase() {
    return body.path("phase").asText();
  }

  /** Returns the kind of request and the job as text for a failure report. */
  String describe() {
    return kind.name().toLowerCase(Locale.ROOT) + " " + job;
  }
}
