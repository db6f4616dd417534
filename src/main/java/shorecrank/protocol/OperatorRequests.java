package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Operators' requests as controllers take them and pass them on. */
public final class OperatorRequests {
  private OperatorRequests() {}

  /**
   * A request for a page of keys.
   *
   * @param prefix of all keys asked for
   * @param after the key behind which the page begins; empty for the first page
   */
  public record KeysQuery(String prefix, String after) {}

  /** Reads a request for keys; fields that are missing are empty. */
  public static KeysQuery readKeysQuery(byte[] body) {
    JsonNode message = Json.parse(body);
    return new KeysQuery(RolloutMessages.keysPrefix(message), RolloutMessages.keysAfter(message));
  }

  /** Whether another controller passed the request on. */
  public static boolean isForwarded(byte[] body) {
    return RolloutMessages.isForwarded(Json.parse(body));
  }

  /** The request as it is passed on, so that it is not passed on again. */
  public static ObjectNode forwarded(byte[] body) {
    return RolloutMessages.forwarded(Json.parse(body));
  }
}
