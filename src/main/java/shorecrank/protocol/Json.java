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

/** The one JSON mapper, with bounds for messages from senders that are not trusted. */
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

  /** A new object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** A new array. */
  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  /** Parses a body; anything that is not JSON becomes a missing node, never an exception. */
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

  /** JSON text in UTF-8. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The body of an answer that refuses a request; the reason is one line. */
  public static ObjectNode error(String reason) {
    return object().put("error", reason);
  }

  /** A whole number from 0 up, or -1 if the field holds anything else. */
  public static long countOrMinusOne(JsonNode value) {
    boolean isCount =
        value.isIntegralNumber() && value.canConvertToLong() && value.longValue() >= 0;
    return isCount ? value.longValue() : -1;
  }

  /** A text, or an empty one if the field holds anything else. */
  public static String text(JsonNode value) {
    return value.isTextual() ? value.textValue() : "";
  }
}
