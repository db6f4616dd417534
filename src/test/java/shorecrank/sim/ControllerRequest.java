package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A request to a controller.
 *
 * @param peer whether it goes to the address for peers, not to the one for users and workers
 * @param body null for a request without a body
 */
record ControllerRequest(boolean peer, String method, String path, JsonNode body) {
  /** Creates a worker's heartbeat. */
  static ControllerRequest heartbeat(JsonNode body) {
    return new ControllerRequest(false, "POST", "/v1/report", body);
  }

  /** Creates an operator's order. */
  static ControllerRequest order(String path, JsonNode body) {
    return new ControllerRequest(true, "POST", path, body);
  }
}
