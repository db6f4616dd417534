package shorecrank.coordination.step;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.protocol.Ids.MonotonicTime;

/** The outputs of the step under way, in their order. */
final class StepOutputs {
  /** What is refused for the same reason is logged no more often. */
  private static final int REFUSAL_LOG_PAUSE_MS = 5000;

  private final Map<String, MonotonicTime> refusalLoggedAt = new HashMap<>();
  private List<Output> outputs = new ArrayList<>();

  /** Removes all outputs. */
  List<Output> take() {
    List<Output> taken = outputs;
    outputs = new ArrayList<>();
    return taken;
  }

  /** Adds an answer; {@code retryAfterS} is 0 if it says nothing of a repetition. */
  void reply(long reply, int status, JsonNode body, int retryAfterS) {
    outputs.add(new Output.Reply(reply, status, body, retryAfterS));
  }

  /** Adds a call. */
  void call(Output.Call call) {
    outputs.add(call);
  }

  /** Adds a line of the log. */
  void log(Output.Level level, String text) {
    outputs.add(new Output.Log(level, text));
  }

  /** Raises a counter. */
  void count(String metric, long by) {
    outputs.add(new Output.Count(metric, by));
  }

  /** Sets a gauge. */
  void gauge(String metric, double value) {
    outputs.add(new Output.Gauge(metric, value));
  }

  /** Counts a refusal, and logs it unless one of the same metric was logged lately. */
  void reportRefusal(String metric, String event, MonotonicTime now) {
    count(metric, 1);
    MonotonicTime loggedAt = refusalLoggedAt.getOrDefault(metric, MonotonicTime.NEVER);
    if (now.since(loggedAt) >= REFUSAL_LOG_PAUSE_MS) {
      refusalLoggedAt.put(metric, now);
      log(Output.Level.ERROR, event);
    }
  }
}
