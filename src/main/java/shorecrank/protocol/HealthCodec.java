package shorecrank.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Encodes the answer to a load balancer's health check as JSON. */
public final class HealthCodec {
  private static final String STATUS = "status";

  private HealthCodec() {}

  /**
   * Writes the answer.
   *
   * @param isHealthy whether the controller serves users
   */
  public static ObjectNode write(boolean isHealthy) {
    return Json.object().put(STATUS, isHealthy ? "serving" : "not serving");
  }
}
