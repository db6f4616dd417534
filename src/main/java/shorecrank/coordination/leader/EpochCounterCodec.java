package shorecrank.coordination.leader;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.protocol.Json;

/** Encodes and decodes the fleet's epoch counter for the state service. */
final class EpochCounterCodec {
  static final String KEY = "epoch";
  private static final String VALUE = "v";

  private EpochCounterCodec() {}

  /** Encodes the highest allocated epoch. */
  static JsonNode write(long epoch) {
    return Json.object().put(VALUE, epoch);
  }

  /** Returns the highest allocated epoch; a negative number if the value is malformed. */
  static long read(JsonNode value) {
    return Json.countOrMinusOne(value.path(VALUE));
  }
}
