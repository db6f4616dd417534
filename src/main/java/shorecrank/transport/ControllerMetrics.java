package shorecrank.transport;

import io.micrometer.core.instrument.Measurement;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import shorecrank.coordination.step.Input;

/** Records the controller's metrics, renders them for operators, and logs their changes. */
final class ControllerMetrics {
  private static final Logger LOG = LoggerFactory.getLogger("shorecrank");
  private static final String REPORT_PATH = "/v1/report";

  private final MeterRegistry registry;
  private final Timer roundDelays;
  private final Map<String, Timer> stepTimers = new HashMap<>();
  private final Object2DoubleOpenHashMap<String> gauges = new Object2DoubleOpenHashMap<>();
  private final Map<String, Double> lastLogged = new TreeMap<>();

  ControllerMetrics(MeterRegistry registry) {
    this.registry = registry;
    this.roundDelays = registry.timer("round.late");
    registry.gauge("heap.used", this, metrics -> usedHeapBytes());
  }

  private static double usedHeapBytes() {
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /**
   * Registers a gauge that is computed from an object. The registry holds the object by a weak
   * reference, so it has to be reachable from elsewhere.
   */
  <T> void registerGauge(String metric, T object, ToDoubleFunction<T> value) {
    registry.gauge(metric, object, value);
  }

  /** Records by how many nanoseconds a scheduling round began later than planned. */
  void recordRoundDelay(long nanos) {
    roundDelays.record(nanos, TimeUnit.NANOSECONDS);
  }

  /** Records how many nanoseconds the state machine took to process an input. */
  void recordStep(Input input, long nanos) {
    stepTimers
        .computeIfAbsent(inputKind(input), kind -> registry.timer("step." + kind))
        .record(nanos, TimeUnit.NANOSECONDS);
  }

  /** Returns the kind of an input; the processing time is recorded for each kind separately. */
  private static String inputKind(Input input) {
    if (input instanceof Input.Request request) {
      if (request.fromPeer()) {
        return "peer";
      }
      return request.path().equals(REPORT_PATH) ? "report" : "user";
    }
    return input instanceof Input.Tick ? "round" : "answer";
  }

  /** Adds a duration to a timer, which is created if it does not exist. */
  void recordDuration(String metric, long ms) {
    registry.timer(metric).record(ms, TimeUnit.MILLISECONDS);
  }

  /** Adds a number to a counter, which is created if it does not exist. */
  void increment(String metric, long by) {
    registry.counter(metric).increment(by);
  }

  /** Sets a gauge, which is created if it does not exist. */
  void updateGauge(String metric, double value) {
    if (!gauges.containsKey(metric)) {
      registry.gauge(metric, gauges, values -> values.getDouble(metric));
    }
    gauges.put(metric, value);
  }

  /** Returns all metrics as text, with the name and value of one metric on each line. */
  String text() {
    StringBuilder text = new StringBuilder();
    values().forEach((name, value) -> text.append(name).append(' ').append(value).append('\n'));
    return text.toString();
  }

  /**
   * Logs the metrics that have changed since the last call: of a gauge set by {@link #updateGauge}
   * the value, of any other metric the difference from the last logged value.
   */
  void logChanges() {
    StringBuilder changes = new StringBuilder();
    values()
        .forEach(
            (name, value) -> {
              Double previous = lastLogged.put(name, value);
              if (previous == null || previous.doubleValue() != value) {
                double logged =
                    gauges.containsKey(name) ? value : value - (previous == null ? 0 : previous);
                changes.append(' ').append(name).append('=').append(String.format("%.4g", logged));
              }
            });
    LOG.debug("metrics.changed{}", changes);
  }

  private Map<String, Double> values() {
    Map<String, Double> values = new TreeMap<>();
    for (Meter meter : registry.getMeters()) {
      for (Measurement measurement : meter.measure()) {
        String name = meter.getId().getName();
        if (meter.getId().getType() == Meter.Type.TIMER) {
          name += "." + measurement.getStatistic().getTagValueRepresentation();
        }
        values.put(name, measurement.getValue());
      }
    }
    return values;
  }
}
