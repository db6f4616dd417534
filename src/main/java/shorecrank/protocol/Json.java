package shorecrank.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Parses and writes JSON with one shared mapper. It limits the nesting depth and the length of
 * numbers, because some messages come from untrusted senders.
 */
public final class Json {
  private static final int MAX_NESTING_DEPTH = 32;
  private static final int MAX_NUMBER_LENGTH = 40;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  static {
    MAPPER
        .getFactory()
        .setStreamReadConstraints(
            StreamReadConstraints.builder()
                .maxNestingDepth(MAX_NESTING_DEPTH)
                .maxNumberLength(MAX_NUMBER_LENGTH)
                .build());
  }

  private Json() {}

  /** Returns a new empty object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Returns a new empty array. */
  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  /**
   * Parses a body. One that is null, empty or not JSON becomes a missing node, never an exception.
   */
  public static JsonNode parse(byte[] body) {
    if (body == null || body.length == 0) {
      return MissingNode.getInstance();
    }
    try {
      JsonNode node = MAPPER.readTree(body);
      return node == null ? MissingNode.getInstance() : node;
    } catch (IOException e) {
      return MissingNode.getInstance();
    }
  }

  /** Returns a value as JSON text in UTF-8. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Returns the body of an answer that rejects a request.
   *
   * @param reason the reason, one line
   */
  public static ObjectNode error(String reason) {
    return object().put("error", reason);
  }

  /** Returns a whole number from 0 up, or -1 if the value is anything else. */
  public static long countOrMinusOne(JsonNode value) {
    boolean isCount =
        value.isIntegralNumber() && value.canConvertToLong() && value.longValue() >= 0;
    return isCount ? value.longValue() : -1;
  }

  /** Returns a text, or an empty one if the value is anything else. */
  public static String text(JsonNode value) {
    return value.isTextual() ? value.textValue() : "";
  }
}
