package shorecrank.coordination.step;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.protocol.Ids.MonotonicTime;

/** Collects the outputs of the current step, in the order in which they are added. */
final class StepOutputs {
  /** The shortest time between two logged errors that are counted in the same metric. */
  private static final int ERROR_LOG_PAUSE_MS = 5000;

  private final Map<String, MonotonicTime> errorLoggedAt = new HashMap<>();
  private List<Output> outputs = new ArrayList<>();

  /** Removes and returns all outputs. */
  List<Output> removeAll() {
    List<Output> removed = outputs;
    outputs = new ArrayList<>();
    return removed;
  }

  /**
   * Adds a reply; {@code retryAfterS} is 0 if the reply says nothing about repeating the request.
   */
  void reply(long reply, int status, JsonNode body, int retryAfterS) {
    outputs.add(new Output.Reply(reply, status, body, retryAfterS));
  }

  /** Adds a call. */
  void call(Output.Call call) {
    outputs.add(call);
  }

  /** Adds a log line. */
  void log(Output.Level level, String text) {
    outputs.add(new Output.Log(level, text));
  }

  /** Adds an increment of a counter. */
  void count(String metric, long by) {
    outputs.add(new Output.Count(metric, by));
  }

  /** Adds a new value of a gauge. */
  void gauge(String metric, double value) {
    outputs.add(new Output.Gauge(metric, value));
  }

  /** Adds a measured duration. */
  void duration(String metric, long ms) {
    outputs.add(new Output.Duration(metric, ms));
  }

  /**
   * Counts an error, and logs it unless an error with the same metric was logged within {@link
   * #ERROR_LOG_PAUSE_MS}.
   */
  void reportError(String metric, String event, MonotonicTime now) {
    count(metric, 1);
    MonotonicTime loggedAt = errorLoggedAt.getOrDefault(metric, MonotonicTime.NEVER);
    if (now.since(loggedAt) >= ERROR_LOG_PAUSE_MS) {
      errorLoggedAt.put(metric, now);
      log(Output.Level.ERROR, event);
    }
  }
}
