package shorecrank.coordination.step;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.protocol.Ids.ControllerName;

/** What the core wants done. */
public sealed interface Output {
  record Reply(long reply, int status, JsonNode body, int retryAfterS) implements Output {}

  record Call(long call, Target target, String method, String path, JsonNode body, int timeoutMs)
      implements Output {}

  record Log(Level level, String text) implements Output {}

  record Count(String metric, long by) implements Output {}

  record Gauge(String metric, double value) implements Output {}

  enum Level {
    ERROR,
    INFO,
    DEBUG
  }

  sealed interface Target {}

  enum Service implements Target {
    STATE,
    CLOUD
  }

  /** A machine's worker, where its report said it can be reached. */
  record Worker(String address) implements Target {}

  record Peer(ControllerName label) implements Target {}
}
