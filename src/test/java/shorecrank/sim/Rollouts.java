package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import shorecrank.config.InvalidConfigException;
import shorecrank.config.Settings;
import shorecrank.config.SettingsFile;
import shorecrank.protocol.Json;
import shorecrank.protocol.OperatorPaths;
import shorecrank.protocol.RolloutCodec;
import shorecrank.protocol.RolloutMessages;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.LevelRange;
import shorecrank.protocol.RolloutMessages.OrderKind;
import shorecrank.protocol.RolloutMessages.RolloutOrder;
import shorecrank.protocol.RolloutMessages.RolloutState;
import shorecrank.protocol.RolloutOrderCodec;
import shorecrank.rollout.Feature;
import shorecrank.rollout.RolloutSettings;
import shorecrank.rollout.RolloutSetup;
import shorecrank.storage.JobRecord;

/**
 * The versions and settings of the simulated controllers, and operators' orders about the feature
 * level.
 */
final class Rollouts {
  /**
   * A version of the program.
   *
   * @param supported the feature levels it supports; null for a version that has no feature levels
   */
  record Version(LevelRange supported) {
    /** Reports whether the version can run at a feature level. */
    boolean supports(FeatureLevel level) {
      LevelRange range = supported == null ? LevelRange.UNANNOUNCED : supported;
      return range.supports(level);
    }

    /** Parses a version as written in scenarios: {@code none}, or a range such as {@code 0-1}. */
    static Version of(String text) {
      if (text.equals("none")) {
        return new Version(null);
      }
      String[] ends = text.split("-");
      return new Version(
          new LevelRange(
              new FeatureLevel(Integer.parseInt(ends[0])),
              new FeatureLevel(Integer.parseInt(ends[1]))));
    }
  }

  private final World world;
  private final Map<Integer, Version> nextVersions = new HashMap<>();
  private final Map<Integer, Version> runningVersions = new HashMap<>();
  private final Map<Integer, Long> runningSinceMs = new HashMap<>();
  private final Map<Integer, String> settingsOverrides = new HashMap<>();
  private RolloutSettings rolloutSettings;

  private final OrderSender orders;

  Rollouts(World world) {
    this.world = world;
    this.orders = new OrderSender(world, OperatorPaths.ROLLOUT_ORDERS);
  }

  /**
   * Enables feature levels in the controllers.
   *
   * @param text contents of the operators' rollout settings file
   */
  void enable(String text) throws InvalidConfigException {
    rolloutSettings = RolloutSettings.read(text);
  }

  /**
   * Enables the checks of feature level and record forms with default settings, for real processes
   * whose versions are not known here.
   */
  void enableWithDefaults() throws InvalidConfigException {
    enable("");
  }

  boolean isEnabled() {
    return rolloutSettings != null;
  }

  /** Sets the version that a controller's next start uses. */
  void setVersion(int index, Version version) {
    nextVersions.put(index, version);
  }

  /** Sets other settings for a controller, from its next start on. */
  void setSettings(int index, String text) {
    settingsOverrides.put(index, text);
  }

  /** Returns the contents of a controller's settings file. */
  Settings settings(ControllerNode node) {
    String other = settingsOverrides.get(node.index());
    try {
      return other == null ? world.settings() : SettingsFile.read(other);
    } catch (InvalidConfigException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /**
   * Returns the rollout setup for a controller that starts now, and records the version that it
   * runs.
   *
   * @return null if feature levels are not enabled or the version has none
   */
  RolloutSetup setupForStart(ControllerNode node) {
    if (!isEnabled()) {
      return null;
    }
    int index = node.index();
    Version version =
        nextVersions.getOrDefault(
            index, new Version(Feature.supportedLevels(world.shares.isEnabled())));
    if (!version.equals(runningVersions.put(index, version))) {
      runningSinceMs.put(index, world.sim.now());
    }
    LevelRange supported = version.supported();
    return supported == null
        ? null
        : RolloutSetup.of(rolloutSettings, "build-" + supported, settings(node), supported);
  }

  /** Returns the version that a controller runs, or ran last; null if it is not known. */
  Version runningVersion(ControllerNode node) {
    return runningVersions.get(node.index());
  }

  /** Returns the simulated time since when a controller has run its version, in milliseconds. */
  long runningSinceMs(int index) {
    return runningSinceMs.get(index);
  }

  /** Passes the index and version of each controller that has started to a consumer. */
  void forEachRunning(BiConsumer<Integer, Version> consumer) {
    runningVersions.forEach(consumer);
  }

  /** Reports whether a controller runs a version that supports shares. */
  boolean supportsShares(ControllerNode node) {
    Version version = runningVersion(node);
    return version != null && version.supports(Feature.SHARES.level());
  }

  private boolean readsDenseRecords(ControllerNode node) {
    Version version = runningVersion(node);
    return !isEnabled() || version == null || version.supports(Feature.DENSE_RECORDS.level());
  }

  /**
   * Returns an answer as a controller's version reads it: a version without dense records finds no
   * body in them.
   */
  JsonNode asReadBy(ControllerNode node, JsonNode answer) {
    if (readsDenseRecords(node)) {
      return answer;
    }
    JsonNode copy = answer.deepCopy();
    hideBody(copy.path("data"));
    copy.path("entries").forEach(entry -> hideBody(entry.path("data")));
    copy.path("news").forEach(change -> hideBody(change.path("data")));
    return copy;
  }

  private static void hideBody(JsonNode value) {
    if (JobRecord.isDense(value)) {
      ObjectNode record = (ObjectNode) value;
      record.set("hidden", record.remove("b"));
    }
  }

  /** Returns the rollout state that the state service holds. */
  RolloutState state() {
    JsonNode value = world.store.peek(RolloutMessages.KEY);
    RolloutState state = value.isMissingNode() ? null : RolloutCodec.readState(value).orElse(null);
    return state == null ? RolloutState.INITIAL : state;
  }

  /** Returns how many live job records are in the dense form. */
  long denseRecordCount() {
    return world.store.keys(JobRecord.LIVE_PREFIX).stream()
        .filter(key -> JobRecord.isDense(world.store.peek(key)))
        .count();
  }

  /** Sends an order to a controller until it is answered, as an operator's client does. */
  void sendOrder(int index, String id, OrderKind kind, int level) {
    orders.send(index, id, RolloutOrderCodec.write(new RolloutOrder(id, kind, level)));
  }

  /** Returns the sender of rollout orders, which also holds the answers. */
  OrderSender orders() {
    return orders;
  }

  /** Returns the state of the rollout as text for a failure report. */
  String describe() {
    RolloutRule rule = world.checker.rollout();
    return Json.object()
        .put("rises", rule.rises())
        .put("falls", rule.falls())
        .put("dense", denseRecordCount())
        .put("state", RolloutCodec.writeState(state()).toString())
        .put("outcomes", orders.describe())
        .toString();
  }
}
