package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A request to a controller.
 *
 * @param peer whether it comes to the address of the peers and not to that of users and workers
 * @param body null for none
 */
record ControllerRequest(boolean peer, String method, String path, JsonNode body) {
  /** A worker's heartbeat. */
  static ControllerRequest heartbeat(JsonNode body) {
    return new ControllerRequest(false, "POST", "/v1/report", body);
  }

  /** An operator's order. */
  static ControllerRequest order(String path, JsonNode body) {
    return new ControllerRequest(true, "POST", path, body);
  }
}
