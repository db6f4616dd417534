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

/** The one JSON mapper, with bounds fit for messages from strangers. */
public final class Json {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  static {
    MAPPER
        .getFactory()
        .setStreamReadConstraints(
            StreamReadConstraints.builder().maxNestingDepth(32).maxNumberLength(40).build());
  }

  private Json() {}

  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  /** Parses a body; anything that is not JSON becomes a missing node, never an exception. */
  public static JsonNode parse(byte[] body) {
    if (body == null || body.length == 0) {
      return MissingNode.getInstance();
    }
    try {
      JsonNode n = MAPPER.readTree(body);
      return n == null ? MissingNode.getInstance() : n;
    } catch (IOException e) {
      return MissingNode.getInstance();
    }
  }

  public static byte[] bytes(JsonNode n) {
    try {
      return MAPPER.writeValueAsBytes(n);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  public static ObjectNode error(String what) {
    return object().put("error", what);
  }

  /** A whole number from 0 up, or -1 if the field holds anything else. */
  public static long count(JsonNode n) {
    return n.isIntegralNumber() && n.canConvertToLong() && n.longValue() >= 0 ? n.longValue() : -1;
  }

  public static String text(JsonNode n) {
    return n.isTextual() ? n.textValue() : "";
  }
}
