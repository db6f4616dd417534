package shorecrank.sim;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.Output;
import shorecrank.protocol.Json;

/** Processor time of the controllers' steps and sizes of the messages that they send, by kind. */
final class Measurements {
  private static final double NANOS_PER_MS = 1e6;

  /** Count and processor time of the steps of one kind. */
  private static final class Steps {
    long count;
    long nanos;
    long longestNanos;
  }

  private final Map<String, Steps> steps = new TreeMap<>();
  private final Map<String, Integer> largestBodyBytes = new TreeMap<>();

  /**
   * Records a controller's step and the sizes of the messages in its output.
   *
   * @param nanos processor time of the step, in nanoseconds
   */
  void step(Input input, long nanos, List<Output> outputs) {
    Steps s = steps.computeIfAbsent(kind(input), k -> new Steps());
    s.count++;
    s.nanos += nanos;
    s.longestNanos = Math.max(s.longestNanos, nanos);
    for (Output o : outputs) {
      if (o instanceof Output.Call c && c.body() != null) {
        recordMessage(c.path().split("\\?")[0], Json.bytes(c.body()).length);
      } else if (o instanceof Output.Reply r && r.body() != null) {
        recordMessage("answer to " + kind(input), Json.bytes(r.body()).length);
      }
    }
  }

  private void recordMessage(String kind, int bytes) {
    largestBodyBytes.merge(kind.startsWith("/store/") ? "/store" : kind, bytes, Math::max);
  }

  private static String kind(Input input) {
    if (input instanceof Input.Request r) {
      return r.path().startsWith("/api") ? "/api" : r.path();
    }
    return input instanceof Input.Tick ? "round" : "answer";
  }

  /** Returns the size of the largest body of a kind of message, in bytes; 0 if none was sent. */
  int largestMessage(String kind) {
    return largestBodyBytes.getOrDefault(kind, 0);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    steps.forEach(
        (kind, s) ->
            text.append(
                String.format(
                    "  steps %-18s %8d, mean %.3f ms, longest %.1f ms%n",
                    kind,
                    s.count,
                    s.nanos / NANOS_PER_MS / s.count,
                    s.longestNanos / NANOS_PER_MS)));
    largestBodyBytes.forEach(
        (kind, bytes) -> text.append(String.format("  largest %-24s %7d bytes%n", kind, bytes)));
    return text.toString();
  }
}
