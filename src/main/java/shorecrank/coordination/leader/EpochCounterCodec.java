package shorecrank.coordination.leader;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.protocol.Json;

/** The fleet's epoch counter as the state service holds it. */
final class EpochCounterCodec {
  static final String KEY = "epoch";
  private static final String VALUE = "v";

  private EpochCounterCodec() {}

  /** The value that says that this is the highest epoch. */
  static JsonNode write(long epoch) {
    return Json.object().put(VALUE, epoch);
  }

  /** The highest epoch that was allocated; negative if the value can't be read. */
  static long read(JsonNode value) {
    return Json.count(value.path(VALUE));
  }
}
