package shorecrank.sim;

import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Expectations about counters and gauges of the run, and about lines that controllers logged. */
final class CountExpectations {
  static final Map<String, Expectation.Reader> EXPECTATIONS =
      Map.ofEntries(
          Map.entry("epoch-at-least", CountExpectations::epochAtLeast),
          Map.entry("epoch-below", line -> below(line, CountExpectations::epoch)),
          Map.entry(
              "lease-expiries-below",
              line -> below(line, world -> world.counters.leaseExpiriesWithTasks())),
          Map.entry("machines-below", line -> below(line, world -> world.cloud.size())),
          Map.entry("machines-above", line -> above(line, world -> world.cloud.size())),
          Map.entry("starts-below", line -> below(line, world -> world.checker.tasks().starts())),
          Map.entry("starts-above", line -> above(line, world -> world.checker.tasks().starts())),
          Map.entry(
              "starts-after-cancel-below",
              line -> below(line, world -> world.checker.tasks().startsAfterCancel())),
          Map.entry(
              "looks-per-round-below",
              line -> below(line, world -> world.counters.itemsScannedPerRound())),
          Map.entry(
              "watch-changes-below",
              line -> below(line, world -> world.counters.mostWatchChanges())),
          Map.entry("requests-below", line -> below(line, world -> world.store.meter().requests())),
          Map.entry(
              "refused-full-below",
              line -> below(line, world -> world.counters.startsRefusedForResources())),
          Map.entry("returned", CountExpectations::returned),
          Map.entry("log", line -> logged(line, true)),
          Map.entry("nolog", line -> logged(line, false)),
          Map.entry("owner-exists", line -> withoutDetail(world -> world.owner(0).isPresent())));

  private CountExpectations() {}

  private static Expectation withoutDetail(Expectation.Condition condition) {
    return Expectation.of(condition, world -> "");
  }

  private static double epoch(World world) {
    return world.store.peek("epoch").path("v").asLong();
  }

  private static Expectation epochAtLeast(ScenarioLine line) {
    long minimum = line.longInteger(1);
    return Expectation.of(world -> epoch(world) >= minimum, world -> " [" + epoch(world) + "]");
  }

  private static Expectation below(ScenarioLine line, ToDoubleFunction<World> value) {
    int bound = line.integer(1);
    return Expectation.of(
        world -> value.applyAsDouble(world) < bound,
        world -> " [" + value.applyAsDouble(world) + "]");
  }

  private static Expectation above(ScenarioLine line, ToDoubleFunction<World> value) {
    int bound = line.integer(1);
    return Expectation.of(
        world -> value.applyAsDouble(world) > bound,
        world -> " [" + value.applyAsDouble(world) + "]");
  }

  /** Parses {@code returned MACHINE}: a controller has returned the machine to the cloud. */
  private static Expectation returned(ScenarioLine line) {
    String machine = line.word(1);
    return withoutDetail(world -> world.cloud.wasReleased(machine));
  }

  /**
   * Parses {@code log TEXT} or {@code nolog TEXT}: some controller has, or none has, logged the
   * text so far.
   */
  private static Expectation logged(ScenarioLine line, boolean expected) {
    String text = line.textFrom(1);
    return Expectation.of(
        world -> world.log.firstContaining(text).isPresent() == expected,
        world -> world.log.firstContaining(text).map(log -> " [" + log + "]").orElse(""));
  }
}
