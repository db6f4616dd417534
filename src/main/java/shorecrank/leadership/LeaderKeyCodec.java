package shorecrank.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Function;

/**
 * The key under which the leader stores a value, and the conversion between the value and its
 * stored form.
 *
 * @param key the key in the state service
 * @param initial the value that applies while the key does not exist
 * @param reader converts a stored value; its result is empty if the stored value is malformed or
 *     has a form that this build does not know
 * @param writer converts a value to its stored form
 * @param <V> the value's type
 */
public record LeaderKeyCodec<V>(
    String key,
    V initial,
    Function<JsonNode, Optional<V>> reader,
    Function<V, ? extends JsonNode> writer) {

  /** Converts a stored value; empty if this build cannot read it. */
  Optional<V> read(JsonNode stored) {
    return reader.apply(stored);
  }

  /** Converts a value to its stored form. */
  JsonNode write(V value) {
    return writer.apply(value);
  }
}
