package shorecrank.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** The answer to a load balancer that asks for a controller's health. */
public final class HealthMessages {
  private HealthMessages() {}

  /** Writes whether the controller serves users. */
  public static ObjectNode write(boolean isHealthy) {
    return Json.object().put("status", isHealthy ? "serving" : "not serving");
  }
}
