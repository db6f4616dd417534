package shorecrank.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.ContainerNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;

/**
 * Reads one JSON text into a tree. Any sound text can be read, however its numbers, names and texts
 * are spelled. The cost in time, stack and memory grows with the length of the text only, which the
 * receiver of a message limits: numbers are converted in linear time, and nothing recurses.
 */
final class JsonReader implements AutoCloseable {
  /**
   * The depth down to which a tree is built; no message has a field below it. Objects and arrays
   * below are skipped, and the tree holds empty ones in their place.
   */
  private static final int MAX_TREE_DEPTH = 32;

  /** The most levels that a request's body, of at most 64 KiB, can have. */
  private static final int MAX_NESTING_DEPTH = 64 * 1024;

  /** The most characters of a whole number that a long can hold. */
  private static final int MAX_LONG_LENGTH = 20;

  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          // Senders choose the names, so they must not stay in memory or refuse a message.
          .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
          .disable(JsonFactory.Feature.FAIL_ON_SYMBOL_HASH_OVERFLOW)
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(MAX_NESTING_DEPTH)
                  .maxNumberLength(Integer.MAX_VALUE)
                  .maxStringLength(Integer.MAX_VALUE)
                  .maxNameLength(Integer.MAX_VALUE)
                  .build())
          .build();

  private final JsonParser parser;

  /** The names of the top-level fields to read; null to read all fields. */
  private final Set<String> fields;

  private JsonReader(byte[] text, Set<String> fields) throws IOException {
    this.parser = FACTORY.createParser(text);
    this.fields = fields;
  }

  /**
   * Reads a text that holds one value.
   *
   * @param fields the names of the fields to read if the value is an object: all others are skipped
   *     without being built; null to read all fields
   * @throws MalformedMessageException if the text is not JSON; the exception names the place
   */
  static JsonNode read(byte[] text, Set<String> fields) throws MalformedMessageException {
    try (JsonReader reader = new JsonReader(text, fields)) {
      return reader.readOnlyValue();
    } catch (JsonProcessingException e) {
      throw malformed(e);
    } catch (IOException e) {
      throw new MalformedMessageException("body", "must be JSON in UTF-8");
    }
  }

  private static MalformedMessageException malformed(JsonProcessingException error) {
    long offset = error.getLocation() == null ? -1 : error.getLocation().getByteOffset();
    String place = offset < 0 ? "" : ", but is not at byte " + offset;
    return new MalformedMessageException("body", "must be JSON" + place);
  }

  @Override
  public void close() throws IOException {
    parser.close();
  }

  private JsonNode readOnlyValue() throws IOException, MalformedMessageException {
    JsonToken first = parser.nextToken();
    if (first == null) {
      throw new MalformedMessageException("body", "must not be empty");
    }
    JsonNode value = first.isStructStart() ? readTree(newContainer(first)) : readScalar(first);
    if (parser.nextToken() != null) {
      throw new MalformedMessageException("body", "must hold nothing after its JSON value");
    }
    return value;
  }

  /** Reads the content of an object or array whose start is the current token. */
  private JsonNode readTree(ContainerNode<?> root) throws IOException {
    Deque<ContainerNode<?>> open = new ArrayDeque<>();
    open.push(root);
    while (!open.isEmpty()) {
      JsonToken token = parser.nextToken();
      if (token.isStructEnd()) {
        open.pop();
      } else if (token == JsonToken.FIELD_NAME) {
        readField(open);
      } else {
        ((ArrayNode) open.peek()).add(readValue(token, open));
      }
    }
    return root;
  }

  private void readField(Deque<ContainerNode<?>> open) throws IOException {
    String name = parser.currentName();
    JsonToken token = parser.nextToken();
    if (fields != null && open.size() == 1 && !fields.contains(name)) {
      parser.skipChildren();
      return;
    }
    ObjectNode object = (ObjectNode) open.peek();
    object.set(name, readValue(token, open));
  }

  /**
   * Reads the value at the current token. An object or array is returned empty; if it is to be
   * built, it becomes the innermost of the open ones.
   */
  private JsonNode readValue(JsonToken token, Deque<ContainerNode<?>> open) throws IOException {
    if (!token.isStructStart()) {
      return readScalar(token);
    }
    ContainerNode<?> container = newContainer(token);
    if (open.size() < MAX_TREE_DEPTH) {
      open.push(container);
    } else {
      parser.skipChildren();
    }
    return container;
  }

  private static ContainerNode<?> newContainer(JsonToken start) {
    return start == JsonToken.START_OBJECT ? Json.object() : Json.array();
  }

  private JsonNode readScalar(JsonToken token) throws IOException {
    return switch (token) {
      case VALUE_STRING -> TextNode.valueOf(parser.getText());
      case VALUE_NUMBER_INT -> readInteger(parser.getText());
      case VALUE_NUMBER_FLOAT -> readDecimal(parser.getText());
      case VALUE_TRUE, VALUE_FALSE -> BooleanNode.valueOf(token == JsonToken.VALUE_TRUE);
      case VALUE_NULL -> NullNode.getInstance();
      default -> throw new IOException("unexpected token " + token);
    };
  }

  private static JsonNode readInteger(String digits) {
    if (digits.length() > MAX_LONG_LENGTH) {
      return readDecimal(digits);
    }
    try {
      long value = Long.parseLong(digits);
      return value == (int) value ? IntNode.valueOf((int) value) : LongNode.valueOf(value);
    } catch (NumberFormatException e) {
      return readDecimal(digits);
    }
  }

  /**
   * Reads a number as a double: one beyond the range of a double as the largest one, and a negative
   * zero as zero.
   */
  private static DoubleNode readDecimal(String number) {
    double value = Double.parseDouble(number);
    double finite = Math.max(-Double.MAX_VALUE, Math.min(Double.MAX_VALUE, value));
    return DoubleNode.valueOf(finite + 0.0);
  }
}
