package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Encodes and decodes queries for keys of the state service as JSON, and for operators' requests of
 * every kind the mark of a forwarded request and the answer that the result is unknown.
 */
public final class OperatorRequestCodec {
  private static final String FORWARDED = "forwarded";
  private static final String PREFIX = "prefix";
  private static final String AFTER = "after";
  private static final String UNKNOWN = "unknown";
  private static final String REASON = "reason";

  private OperatorRequestCodec() {}

  /**
   * A query for a page of keys of the state service.
   *
   * @param prefix the prefix of all keys of the page
   * @param after the last key of the page before; empty for the first page
   */
  public record KeysQuery(String prefix, String after) {}

  /** Returns a copy of a request with the mark that a controller has forwarded it. */
  public static ObjectNode markForwarded(JsonNode request) {
    ObjectNode marked = request.isObject() ? ((ObjectNode) request).deepCopy() : Json.object();
    return marked.put(FORWARDED, true);
  }

  /** Reports whether another controller forwarded the request. */
  public static boolean isForwarded(JsonNode request) {
    return request.path(FORWARDED).asBoolean(false);
  }

  /** Writes a query for the keys after {@code after} that begin with {@code prefix}. */
  public static ObjectNode writeKeysQuery(String prefix, String after) {
    return Json.object().put(PREFIX, prefix).put(AFTER, after);
  }

  /** Reads a query for keys; parts that the message lacks are empty. */
  public static KeysQuery readKeysQuery(JsonNode message) {
    return new KeysQuery(Json.text(message.path(PREFIX)), Json.text(message.path(AFTER)));
  }

  /**
   * Writes the answer to a request that no controller can answer at present.
   *
   * @param reason why no controller can answer, one line
   */
  public static ObjectNode writeUnknown(String reason) {
    return Json.object().put(UNKNOWN, true).put(REASON, reason);
  }
}
