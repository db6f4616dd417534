package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Encodes the messages of one type as JSON.
 *
 * @param <T> the type of the messages
 */
@FunctionalInterface
public interface MessageEncoder<T> {
  /**
   * Encodes a message.
   *
   * @param message the message, not null
   */
  JsonNode encode(T message);
}
