package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** What operators' requests have in common, and questions for keys, as JSON. */
public final class OperatorRequestCodec {
  private static final String FORWARDED = "forwarded";
  private static final String PREFIX = "prefix";
  private static final String AFTER = "after";
  private static final String UNKNOWN = "unknown";
  private static final String REASON = "reason";

  private OperatorRequestCodec() {}

  /**
   * A question for a page of keys of the state service.
   *
   * @param prefix of all keys asked for
   * @param after the key behind which the page begins; empty for the first page
   */
  public record KeysQuery(String prefix, String after) {}

  /** A request marked as one that a controller forwards to the leader. */
  public static ObjectNode markForwarded(JsonNode request) {
    ObjectNode marked = request.isObject() ? ((ObjectNode) request).deepCopy() : Json.object();
    return marked.put(FORWARDED, true);
  }

  /** Whether another controller forwarded the request. */
  public static boolean isForwarded(JsonNode request) {
    return request.path(FORWARDED).asBoolean(false);
  }

  /** Asks for the keys that begin with {@code prefix}, behind {@code after}. */
  public static ObjectNode writeKeysQuery(String prefix, String after) {
    return Json.object().put(PREFIX, prefix).put(AFTER, after);
  }

  /** Reads a question for keys; what the message does not hold is empty. */
  public static KeysQuery readKeysQuery(JsonNode message) {
    return new KeysQuery(Json.text(message.path(PREFIX)), Json.text(message.path(AFTER)));
  }

  /**
   * The answer when no controller can tell.
   *
   * @param reason one line
   */
  public static ObjectNode writeUnknown(String reason) {
    return Json.object().put(UNKNOWN, true).put(REASON, reason);
  }
}
