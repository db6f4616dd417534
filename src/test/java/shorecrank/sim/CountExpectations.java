package shorecrank.sim;

import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Bounds of what was counted, and what controllers logged. */
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
          Map.entry("owner-exists", line -> plain(world -> world.owner(0).isPresent())));

  private CountExpectations() {}

  private static Expectation plain(Expectation.Condition condition) {
    return Expectation.of(condition, world -> "");
  }

  private static double epoch(World world) {
    return world.store.peek("epoch").path("v").asLong();
  }

  private static Expectation epochAtLeast(ScenarioLine line) {
    long least = line.longInteger(1);
    return Expectation.of(world -> epoch(world) >= least, world -> " [" + epoch(world) + "]");
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

  /** {@code returned MACHINE}: a controller has returned it to the cloud. */
  private static Expectation returned(ScenarioLine line) {
    String machine = line.word(1);
    return plain(world -> world.cloud.wasReturned(machine));
  }

  /** {@code log TEXT} or {@code nolog TEXT}: whether any controller has logged it so far. */
  private static Expectation logged(ScenarioLine line, boolean expected) {
    String text = line.textFrom(1);
    return Expectation.of(
        world -> world.log.firstContaining(text).isPresent() == expected,
        world -> world.log.firstContaining(text).map(log -> " [" + log + "]").orElse(""));
  }
}
