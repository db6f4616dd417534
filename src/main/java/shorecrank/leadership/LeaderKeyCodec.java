package shorecrank.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Function;

/**
 * Where a value that the leader owns is stored, and in which form.
 *
 * @param key the key in the state service
 * @param initial the value that holds while the key does not exist
 * @param reader reads a stored value; its result is empty if that is malformed or of a form that
 *     this build does not know
 * @param writer puts a value into its stored form
 * @param <V> the value's type
 */
public record LeaderKeyCodec<V>(
    String key,
    V initial,
    Function<JsonNode, Optional<V>> reader,
    Function<V, ? extends JsonNode> writer) {

  /** Reads a stored value; empty if it is not one that this build reads. */
  Optional<V> read(JsonNode stored) {
    return reader.apply(stored);
  }

  /** Puts a value into its stored form. */
  JsonNode write(V value) {
    return writer.apply(value);
  }
}
