package shorecrank.sim;

import java.util.Map;
import shorecrank.protocol.RolloutMessages.OrderKind;
import shorecrank.sim.Rollouts.Version;

/**
 * Actions that upgrade controllers, change their settings, and send operators' orders about the
 * feature level.
 */
final class RolloutActions {
  static final Map<String, Action.Reader> ACTIONS =
      Map.of(
          "version", RolloutActions::version,
          "roll", RolloutActions::roll,
          "rollout-order", RolloutActions::order,
          "settings", RolloutActions::settings);

  private static final int NO_LEVEL = -1;

  private RolloutActions() {}

  /**
   * Parses {@code version WHO LEVELS}: the version that the controllers run from their next start
   * on.
   */
  private static Action version(ScenarioLine line) {
    ControllerSelector who = ControllerSelector.read(line, 1);
    Version version = readVersion(line, line.word(2));
    return world -> who.forEach(world, node -> world.rollouts.setVersion(node.index(), version));
  }

  /**
   * Parses {@code roll WHO LEVELS SECONDS}: the controllers crash and restart in that version after
   * the given time.
   */
  private static Action roll(ScenarioLine line) {
    ControllerSelector who = ControllerSelector.read(line, 1);
    Version version = readVersion(line, line.word(2));
    long restartMs = line.milliseconds(3);
    return world ->
        who.forEach(
            world,
            node -> {
              world.rollouts.setVersion(node.index(), version);
              node.crash(restartMs);
            });
  }

  /**
   * Parses {@code rollout-order WHO ID KIND [LEVEL]}: an order that is sent until it is answered.
   */
  private static Action order(ScenarioLine line) {
    ControllerSelector who = ControllerSelector.read(line, 1);
    String id = line.word(2);
    OrderKind kind = line.constant(3, OrderKind.class);
    int level = line.has(4) ? line.integer(4) : NO_LEVEL;
    return world ->
        who.forEach(world, node -> world.rollouts.sendOrder(node.index(), id, kind, level));
  }

  /**
   * Parses {@code settings WHO SETTING: VALUE}: the content of the settings file that the
   * controllers read from their next start on.
   */
  private static Action settings(ScenarioLine line) {
    ControllerSelector who = ControllerSelector.read(line, 1);
    String text = line.textFrom(2);
    return world -> who.forEach(world, node -> world.rollouts.setSettings(node.index(), text));
  }

  /**
   * Parses a version: {@code none} for a version without feature levels, or a range of supported
   * levels such as {@code 0-1}.
   */
  static Version readVersion(ScenarioLine line, String word) {
    return line.parse(word, "a range of levels", Version::of);
  }
}
