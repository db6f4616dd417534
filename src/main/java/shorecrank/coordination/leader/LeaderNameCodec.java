package shorecrank.coordination.leader;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.Json;
import shorecrank.protocol.RolloutMessages.FeatureLevel;

/** Encodes and decodes the values of the keys that name the leader. */
final class LeaderNameCodec {
  private static final String LABEL = "label";
  private static final String WRITER = "writer";
  private static final String MOVED_TO = "moved";
  private static final String LEVEL = "level";
  private static final int LOWEST_PROTECTED_LEVEL = 1;

  private LeaderNameCodec() {}

  /** Encodes the leader's name and process. */
  static JsonNode write(ControllerName leader, WriterId writer) {
    return fields(leader, writer);
  }

  /**
   * Encodes the value of {@link Election#KEY} while the leader's grant is attached to another key.
   *
   * @param movedTo the key to which the leader's grant is attached
   * @param level the feature level in force
   */
  static JsonNode writeMoved(
      ControllerName leader, WriterId writer, String movedTo, FeatureLevel level) {
    return fields(leader, writer).put(MOVED_TO, movedTo).put(LEVEL, level.value());
  }

  private static ObjectNode fields(ControllerName leader, WriterId writer) {
    return Json.object().put(LABEL, leader.value()).put(WRITER, writer.value());
  }

  /** Returns the leader's name in a value; empty if there is none. */
  static Optional<ControllerName> readLeader(JsonNode value) {
    String label = Json.text(value.path(LABEL));
    return label.isEmpty() ? Optional.empty() : Optional.of(new ControllerName(label));
  }

  /** Reports whether a value says that the leader's grant is attached to {@code key} instead. */
  static boolean isMovedTo(JsonNode value, String key) {
    return key.equals(Json.text(value.path(MOVED_TO)));
  }

  /**
   * Returns the feature level in the value of {@link Election#KEY} while the leader's grant is
   * attached to {@link Election#PROTECTED_KEY}; at least the lowest level at which that is the
   * case.
   */
  static FeatureLevel readLevel(JsonNode value) {
    long level = Json.countOrMinusOne(value.path(LEVEL));
    return new FeatureLevel((int) Math.max(LOWEST_PROTECTED_LEVEL, level));
  }
}
