package shorecrank.sim;

import java.util.Map;

/** Scenario actions that crash or freeze controllers. */
final class ControllerFaults {
  static final Map<String, Action.Reader> ACTIONS =
      Map.of("crash", ControllerFaults::crash, "freeze", ControllerFaults::freeze);

  private static final long RESTART_MS = 4000;

  private ControllerFaults() {}

  /**
   * Parses {@code crash WHO [SECONDS]}: kills the controllers and restarts them after this time, by
   * default 4 s.
   */
  private static Action crash(ScenarioLine line) {
    ControllerSelector selector = ControllerSelector.read(line, 1);
    long restartMs = line.has(2) ? line.milliseconds(2) : RESTART_MS;
    return world -> selector.forEach(world, node -> node.crash(restartMs));
  }

  /**
   * Parses {@code freeze WHO SECONDS}: suspends the controllers for this time; they then continue
   * with the state that they had.
   */
  private static Action freeze(ScenarioLine line) {
    ControllerSelector selector = ControllerSelector.read(line, 1);
    long durationMs = line.milliseconds(2);
    return world -> {
      world.faults.addFault(durationMs);
      selector.forEach(world, node -> node.freeze(durationMs));
    };
  }
}
