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

/** Versions and settings of the controllers, and operators' orders of the feature level. */
final class Rollouts {
  /**
   * A version of the program.
   *
   * @param supported null for those from before feature levels
   */
  record Version(LevelRange supported) {
    /** Whether it can run at a level. */
    boolean supports(FeatureLevel level) {
      LevelRange range = supported == null ? LevelRange.UNANNOUNCED : supported;
      return range.supports(level);
    }

    /** As in scenarios: {@code none}, or {@code 0-1}. */
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

  /** Controllers know feature levels, with the settings of an operators' file. */
  void enable(String text) throws InvalidConfigException {
    rolloutSettings = RolloutSettings.read(text);
  }

  /** Has the level and the forms watched only: what runs is not known here. */
  void enableWithDefaults() throws InvalidConfigException {
    enable("");
  }

  boolean isEnabled() {
    return rolloutSettings != null;
  }

  /** What a controller runs as from its next start on. */
  void setVersion(int index, Version version) {
    nextVersions.put(index, version);
  }

  /** A controller has other settings from its next start on. */
  void setSettings(int index, String text) {
    settingsOverrides.put(index, text);
  }

  /** What a controller's settings file says. */
  Settings settings(ControllerNode node) {
    String other = settingsOverrides.get(node.index());
    try {
      return other == null ? world.settings() : SettingsFile.read(other);
    } catch (InvalidConfigException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** The setup with which a controller starts; null for a version from before levels. */
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

  /** What a controller runs, or ran last; null if that is not known. */
  Version runningVersion(ControllerNode node) {
    return runningVersions.get(node.index());
  }

  /** Since when a controller runs its version, in simulated time. */
  long runningSinceMs(int index) {
    return runningSinceMs.get(index);
  }

  /** All controllers that have started, by index, and what they run. */
  void forEachRunning(BiConsumer<Integer, Version> consumer) {
    runningVersions.forEach(consumer);
  }

  /** Whether the version that a controller runs knows of shares, and has them enabled. */
  boolean supportsShares(ControllerNode node) {
    Version version = runningVersion(node);
    return version != null && version.supports(Feature.SHARES.level());
  }

  private boolean readsDenseRecords(ControllerNode node) {
    Version version = runningVersion(node);
    return !isEnabled() || version == null || version.supports(Feature.DENSE_RECORDS.level());
  }

  /** What a version that knows no dense records makes of an answer: it finds no body in them. */
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

  /** The rollout as the state service has it. */
  RolloutState state() {
    JsonNode value = world.store.peek(RolloutMessages.KEY);
    RolloutState state = value.isMissingNode() ? null : RolloutCodec.readState(value).orElse(null);
    return state == null ? RolloutState.INITIAL : state;
  }

  /** How many live records are in the dense form. */
  long denseRecordCount() {
    return world.store.keys(JobRecord.LIVE_PREFIX).stream()
        .filter(key -> JobRecord.isDense(world.store.peek(key)))
        .count();
  }

  /** Sends an order to a controller until it is answered, like an operator's client. */
  void sendOrder(int index, String id, OrderKind kind, int level) {
    orders.send(index, id, RolloutOrderCodec.write(new RolloutOrder(id, kind, level)));
  }

  /** Operators' orders and the answers to them. */
  OrderSender orders() {
    return orders;
  }

  /** What there is, for the report of a failure. */
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
