package shorecrank.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;

/**
 * Reads and writes JSON. A text that cannot be read is an exception of its own, which no caller can
 * take for an empty message.
 */
public final class Json {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** The largest whole number up to which doubles hold every whole number. */
  private static final double MAX_EXACT_DOUBLE = 1L << 53;

  private Json() {}

  /** Returns a new empty object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Returns a new empty array. */
  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  /** Returns the value that stands for a message without a body. */
  public static JsonNode missing() {
    return MissingNode.getInstance();
  }

  /**
   * Reads a text that holds one JSON value.
   *
   * @throws MalformedMessageException if the text is empty or not JSON; the exception names the
   *     place
   */
  public static JsonNode read(byte[] text) throws MalformedMessageException {
    return JsonReader.read(text, null);
  }

  /**
   * Reads a text that holds one JSON value; if it is an object, without the fields that are not
   * among the named ones, whatever these hold.
   *
   * @throws MalformedMessageException if the text is empty or not JSON; the exception names the
   *     place
   */
  public static JsonNode readFields(byte[] text, Set<String> fields)
      throws MalformedMessageException {
    return JsonReader.read(text, fields);
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

  /** Returns a whole number from 0 up, however it is spelled, or -1 if the value is another. */
  public static long countOrMinusOne(JsonNode value) {
    if (value.isIntegralNumber()) {
      return value.canConvertToLong() && value.longValue() >= 0 ? value.longValue() : -1;
    }
    double number = value.isNumber() ? value.doubleValue() : -1;
    boolean isCount = number >= 0 && number <= MAX_EXACT_DOUBLE && number == Math.rint(number);
    return isCount ? (long) number : -1;
  }

  /** Returns a text, or an empty one if the value is anything else. */
  public static String text(JsonNode value) {
    return value.isTextual() ? value.textValue() : "";
  }
}
