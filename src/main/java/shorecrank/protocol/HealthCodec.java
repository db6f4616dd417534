package shorecrank.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** The answer to a load balancer that asks for a controller's health, as JSON. */
public final class HealthCodec {
  private static final String STATUS = "status";

  private HealthCodec() {}

  /** Says whether the controller serves users. */
  public static ObjectNode write(boolean isHealthy) {
    return Json.object().put(STATUS, isHealthy ? "serving" : "not serving");
  }
}
