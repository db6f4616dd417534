package shorecrank.coordination.leader;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.Json;
import shorecrank.protocol.RolloutMessages.FeatureLevel;

/** The values of the keys that name the leader. */
final class LeaderNameCodec {
  private static final String LABEL = "label";
  private static final String WRITER = "writer";
  private static final String MOVED_TO = "moved";
  private static final String LEVEL = "level";
  private static final int LOWEST_PROTECTED_LEVEL = 1;

  private LeaderNameCodec() {}

  /** The value that names the leader. */
  static JsonNode write(ControllerName leader, WriterId writer) {
    return fields(leader, writer);
  }

  /** The value that names the leader while its grant hangs on another key, at a feature level. */
  static JsonNode writeMoved(
      ControllerName leader, WriterId writer, String movedTo, FeatureLevel level) {
    return fields(leader, writer).put(MOVED_TO, movedTo).put(LEVEL, level.value());
  }

  private static ObjectNode fields(ControllerName leader, WriterId writer) {
    return Json.object().put(LABEL, leader.value()).put(WRITER, writer.value());
  }

  /** The leader that a value names; empty if it names none. */
  static Optional<ControllerName> readLeader(JsonNode value) {
    String label = Json.text(value.path(LABEL));
    return label.isEmpty() ? Optional.empty() : Optional.of(new ControllerName(label));
  }

  /** Whether the grant hangs on another key, namely this one. */
  static boolean isMovedTo(JsonNode value, String key) {
    return key.equals(Json.text(value.path(MOVED_TO)));
  }

  /** The feature level that a value with a moved grant names. */
  static FeatureLevel readLevel(JsonNode value) {
    long level = Json.count(value.path(LEVEL));
    return new FeatureLevel((int) Math.max(LOWEST_PROTECTED_LEVEL, level));
  }
}
