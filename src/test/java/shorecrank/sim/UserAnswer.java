package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import shorecrank.sim.UserRequest.Kind;

/**
 * An answer to a user.
 *
 * @param toldBefore what users had been told when the request was sent
 */
record UserAnswer(Kind kind, String job, int status, JsonNode body, KnownJobState toldBefore) {
  boolean isOk() {
    return status == 200 || status == 201;
  }

  /** Where the job stands by this answer; empty if it does not say. */
  String phase() {
    return body.path("phase").asText();
  }

  /** What it answers, for reports. */
  String describe() {
    return kind.name().toLowerCase(Locale.ROOT) + " " + job;
  }
}
