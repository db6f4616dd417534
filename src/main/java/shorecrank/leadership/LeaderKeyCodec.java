package shorecrank.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * Where a value that the leader owns is stored, and in which form.
 *
 * @param <V> the value's type
 */
public interface LeaderKeyCodec<V> {
  /** The key in the state service. */
  String key();

  /** The value that holds while the key does not exist. */
  V initial();

  /** Reads a stored value; empty if it is malformed or of a form that this build does not know. */
  Optional<V> read(JsonNode stored);

  /** Puts a value into its stored form. */
  JsonNode write(V value);
}
