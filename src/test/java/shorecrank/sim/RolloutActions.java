package shorecrank.sim;

import java.util.Map;
import shorecrank.protocol.RolloutMessages.OrderKind;
import shorecrank.sim.Rollouts.Version;

/** Upgrades of controllers, their settings, and operators' orders of the feature level. */
final class RolloutActions {
  static final Map<String, Action.Reader> ACTIONS =
      Map.of(
          "version", RolloutActions::version,
          "roll", RolloutActions::roll,
          "rollout-order", RolloutActions::order,
          "settings", RolloutActions::settings);

  private static final int NO_LEVEL = -1;

  private RolloutActions() {}

  /** {@code version WHO LEVELS}: what controllers run from their next start on. */
  private static Action version(ScenarioLine line) {
    ControllerSelector who = ControllerSelector.read(line, 1);
    Version version = readVersion(line, line.word(2));
    return world -> who.forEach(world, node -> world.rollouts.setVersion(node.index(), version));
  }

  /** {@code roll WHO LEVELS SECONDS}: controllers end, and are back as that version. */
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

  /** {@code rollout-order WHO ID KIND [LEVEL]}: sent until it is answered. */
  private static Action order(ScenarioLine line) {
    ControllerSelector who = ControllerSelector.read(line, 1);
    String id = line.word(2);
    OrderKind kind = line.constant(3, OrderKind.class);
    int level = line.has(4) ? line.integer(4) : NO_LEVEL;
    return world ->
        who.forEach(world, node -> world.rollouts.sendOrder(node.index(), id, kind, level));
  }

  /** {@code settings WHO SETTING: VALUE}: from their next start on. */
  private static Action settings(ScenarioLine line) {
    ControllerSelector who = ControllerSelector.read(line, 1);
    String text = line.textFrom(2);
    return world -> who.forEach(world, node -> world.rollouts.setSettings(node.index(), text));
  }

  /** A version as scenarios write it: {@code none}, or {@code 0-1}. */
  static Version readVersion(ScenarioLine line, String word) {
    return line.parse(word, "a range of levels", Version::of);
  }
}
