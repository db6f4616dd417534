package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.protocol.Json;

/**
 * Checks the rule {@code message_size}: a worker's heartbeat, the answer to it and a direct command
 * have at most 64 KiB.
 */
final class MessageSizeRule {
  private static final int MAX_BYTES = 64 * 1024;

  /**
   * Messages with fewer tasks or commands are not measured: none of these takes more than 200
   * bytes.
   */
  private static final int MIN_ENTRIES = 300;

  private final Violations violations;

  MessageSizeRule(Violations violations) {
    this.violations = violations;
  }

  /**
   * Checks a message.
   *
   * @param list the tasks or commands in it
   */
  void check(String kind, SimulatedWorker worker, JsonNode message, JsonNode list) {
    if (list.size() < MIN_ENTRIES) {
      return;
    }
    int bytes = Json.bytes(message).length;
    if (bytes > MAX_BYTES) {
      violations.add("message_size: %s of %s has %d bytes".formatted(kind, worker.name(), bytes));
    }
  }
}
