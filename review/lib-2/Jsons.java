package standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes JSON. */
final class Jsons {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Jsons() {}

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Reads a text; one that is empty or not JSON becomes an empty object. */
  static JsonNode read(byte[] text) {
    try {
      JsonNode node = text.length == 0 ? null : MAPPER.readTree(text);
      return node == null ? object() : node;
    } catch (IOException e) {
      return object();
    }
  }

  static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
