package shorecrank.coordination.step;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.protocol.Ids.ControllerName;

/** An action that the state machine requests in a step, carried out after the step ends. */
public sealed interface Output {
  /**
   * A reply to a request.
   *
   * @param reply the number of the {@link Input.Request} that is answered
   * @param status the HTTP status
   * @param retryAfterS after how many seconds the sender may repeat the request; 0 to leave this
   *     unspecified
   */
  record Reply(long reply, int status, JsonNode body, int retryAfterS) implements Output {}

  /**
   * A call to another process.
   *
   * @param call the number of the call; the {@link Input.Answer} to it carries the same number
   * @param body the body to send, or null if there is none
   */
  record Call(long call, Target target, String method, String path, JsonNode body, int timeoutMs)
      implements Output {}

  /** A log line. */
  record Log(Level level, String text) implements Output {}

  /** An increment of a counter. */
  record Count(String metric, long by) implements Output {}

  /** A new value of a gauge. */
  record Gauge(String metric, double value) implements Output {}

  /** A measured duration, added to the metric's distribution. */
  record Duration(String metric, long ms) implements Output {}

  /** The severity of a log line. */
  enum Level {
    ERROR,
    INFO,
    DEBUG
  }

  /** The process that a call is sent to. */
  sealed interface Target {}

  /** The external services that every controller calls: the state service and the cloud. */
  enum Service implements Target {
    STATE,
    CLOUD
  }

  /**
   * The worker of a machine.
   *
   * @param address the address that the worker has named in its heartbeat
   */
  record Worker(String address) implements Target {}

  /** Another controller. */
  record Peer(ControllerName label) implements Target {}
}
