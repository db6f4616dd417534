package shorecrank.coordination.step;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.protocol.Ids.ControllerName;

/** What the state machine wants done after a step. */
public sealed interface Output {
  /**
   * An answer to a request.
   *
   * @param reply where it goes, as the request has named it
   * @param status of HTTP
   * @param retryAfterS the seconds after which the request may be repeated; 0 to say nothing of it
   */
  record Reply(long reply, int status, JsonNode body, int retryAfterS) implements Output {}

  /**
   * A call of another process; its answer is an {@link Input.Answer} of the same number.
   *
   * @param body null if there is none
   */
  record Call(long call, Target target, String method, String path, JsonNode body, int timeoutMs)
      implements Output {}

  /** A line of the log. */
  record Log(Level level, String text) implements Output {}

  /** A counter rises. */
  record Count(String metric, long by) implements Output {}

  /** A gauge has a new value. */
  record Gauge(String metric, double value) implements Output {}

  /** How serious a line of the log is. */
  enum Level {
    ERROR,
    INFO,
    DEBUG
  }

  /** Whom a call goes to. */
  sealed interface Target {}

  /** The services that every controller calls. */
  enum Service implements Target {
    STATE,
    CLOUD
  }

  /** A machine's worker, where its heartbeat said that it can be reached. */
  record Worker(String address) implements Target {}

  /** Another controller. */
  record Peer(ControllerName label) implements Target {}
}
