package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import shorecrank.config.InvalidConfigException;
import shorecrank.config.Settings;
import shorecrank.config.SettingsFile;
import shorecrank.protocol.Json;
import shorecrank.protocol.RolloutMessages;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.LevelRange;
import shorecrank.protocol.RolloutMessages.Order;
import shorecrank.protocol.RolloutMessages.OrderKind;
import shorecrank.protocol.RolloutMessages.RolloutState;
import shorecrank.rollout.Feature;
import shorecrank.rollout.RolloutSettings;
import shorecrank.rollout.RolloutSetup;
import shorecrank.sim.World.Node;
import shorecrank.storage.JobRecord;

/**
 * Controllers of different feature levels, operators' orders, and the rules of a rollout: no form
 * above the level in force is written, no controller owns a shard or leads below that level, and
 * the level rises only when all support it.
 */
final class Rollouts {
  /** An announcement may be so old when the level rises. */
  private static final long ANNOUNCED_LATELY_MS = 6000;

  /** A version; {@code supported} is null for those from before levels. */
  record Version(LevelRange supported) {
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
  private final Map<Integer, Version> next = new HashMap<>();
  private final Map<Integer, Version> running = new HashMap<>();
  private final Map<Integer, Long> runningSince = new HashMap<>();
  private final Map<Integer, String> otherSettings = new HashMap<>();
  private RolloutSettings settings;

  /** Operators' orders and the answers to them. */
  final OrderSender orders;

  int mostLevel;
  int rises;
  int falls;

  Rollouts(World world) {
    this.world = world;
    this.orders = new OrderSender(world, RolloutMessages.ORDERS);
  }

  void enable(String text) throws InvalidConfigException {
    settings = RolloutSettings.read(text);
  }

  /** Watches the level and the forms only: what runs is not known here. */
  void observe() throws InvalidConfigException {
    enable("");
  }

  boolean enabled() {
    return settings != null;
  }

  /** What a controller runs as from its next start on. */
  void version(int index, Version version) {
    next.put(index, version);
  }

  /** A controller has other settings from its next start on. */
  void settings(int index, String text) {
    otherSettings.put(index, text);
  }

  Settings tuning(Node node) {
    String other = otherSettings.get(node.index);
    try {
      return other == null ? world.tuning : SettingsFile.read(other);
    } catch (InvalidConfigException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** The setup with which a controller starts; null for a version from before levels. */
  RolloutSetup start(Node node) {
    if (!enabled()) {
      return null;
    }
    Version version =
        next.getOrDefault(node.index, new Version(Feature.supported(world.shares.enabled())));
    if (!version.equals(running.get(node.index))) {
      runningSince.put(node.index, world.sim.now);
    }
    running.put(node.index, version);
    String build = "build-" + (version.supported() == null ? "old" : version.supported());
    return version.supported() == null
        ? null
        : RolloutSetup.of(settings, build, tuning(node), version.supported());
  }

  /** Whether the version that a controller runs knows of shares, and has them enabled. */
  boolean knowsShares(Node node) {
    Version version = running.get(node.index);
    return version != null && version.supports(Feature.SHARES.level());
  }

  private boolean readsDense(Node node) {
    return !enabled()
        || running.get(node.index) == null
        || running.get(node.index).supports(Feature.DENSE_RECORDS.level());
  }

  /** What a version that knows no dense records makes of an answer: it finds no body in them. */
  JsonNode asRead(Node node, JsonNode answer) {
    if (readsDense(node)) {
      return answer;
    }
    JsonNode copy = answer.deepCopy();
    hideBody(copy.path("data"));
    copy.path("entries").forEach(e -> hideBody(e.path("data")));
    copy.path("news").forEach(c -> hideBody(c.path("data")));
    return copy;
  }

  private static void hideBody(JsonNode value) {
    if (JobRecord.isDense(value)) {
      ObjectNode record = (ObjectNode) value;
      record.set("hidden", record.remove("b"));
    }
  }

  RolloutState state() {
    JsonNode value = world.store.peek(RolloutMessages.KEY);
    RolloutState state = value.isMissingNode() ? null : RolloutMessages.readState(value);
    return state == null ? RolloutState.INITIAL : state;
  }

  long dense() {
    return world.store.keys(JobRecord.LIVE).stream()
        .filter(key -> JobRecord.isDense(world.store.peek(key)))
        .count();
  }

  // ---- orders ----------------------------------------------------------------------------------

  /** Sends an order to a controller until it is answered, like an operator's client. */
  void order(int index, String id, OrderKind kind, int level) {
    orders.send(index, id, RolloutMessages.write(new Order(id, kind, level)));
  }

  // ---- rules -----------------------------------------------------------------------------------

  /** Called before a transaction is applied, with what it writes. */
  void applying(JsonNode operations) {
    if (!enabled()) {
      return;
    }
    RolloutState before = state();
    RolloutState after = before;
    for (JsonNode o : operations) {
      if (o.path("write").asText().equals(RolloutMessages.KEY)) {
        after = RolloutMessages.readState(o.path("data"));
      }
    }
    for (JsonNode o : operations) {
      boolean record = o.path("write").asText().startsWith(JobRecord.LIVE);
      boolean dense = record && JobRecord.isDense(o.path("data"));
      if (dense && !before.writeLevel().includes(Feature.DENSE_RECORDS.level())) {
        world.checker.broken("form_above_level: " + o.path("write").asText());
      }
      if (o.path("drop").asText().equals("leader")) {
        world.checker.broken("leadership_vacant: dropped by a transaction");
      }
    }
    if (after.level().compareTo(before.level()) > 0) {
      rises++;
      rise(after.level());
    } else if (after.level().compareTo(before.level()) < 0) {
      falls++;
      boolean denseAllowed = after.level().includes(Feature.DENSE_RECORDS.level());
      if (dense() > 0 && !denseAllowed) {
        world.checker.broken("fell_too_early: " + dense() + " dense records left");
      }
      boolean movesAllowed = after.level().includes(Feature.SHARES.level());
      if (!movesAllowed && !world.shares.state().active().isEmpty()) {
        world.checker.broken("fell_too_early: moves are under way");
      }
    }
    mostLevel = Math.max(mostLevel, after.level().value());
  }

  private void rise(FeatureLevel to) {
    running.forEach(
        (index, version) -> {
          long since = runningSince.get(index);
          // What counts is what was known when the change was sent.
          long sentAt = world.sim.now - world.store.lateByMs;
          boolean lately = sentAt - since < ANNOUNCED_LATELY_MS;
          if (!version.supports(to) && !lately) {
            world.checker.broken("raised_without_support: n" + index + " to " + to);
          }
        });
  }

  /** Once a step of a controller. */
  void check(Node node) {
    if (!enabled()) {
      return;
    }
    RolloutState state = state();
    Version version = running.get(node.index);
    if (!node.commanded().isEmpty() && !version.supports(state.level())) {
      world.checker.broken("owner_below_level: " + node.label + " at " + state.level());
    }
    boolean isProtected = state.level().includes(Feature.PROTECTED_LEADERSHIP.level());
    if (isProtected && world.store.peek("leader").isMissingNode()) {
      world.checker.broken("leadership_vacant: no leader key at level " + state.level());
    }
    String leading = world.store.peek("leadership").path("label").asText("");
    boolean leads = isProtected && node.label.equals(leading);
    if (leads && node.up && !version.supports(state.level())) {
      // Only a process that is back in an earlier version under the label of the one that led.
      boolean lately = world.sim.now - runningSince.get(node.index) < ANNOUNCED_LATELY_MS;
      if (!lately) {
        world.checker.broken("leader_below_level: " + node.label + " at " + state.level());
      }
    }
  }

  @Override
  public String toString() {
    return Json.object()
        .put("rises", rises)
        .put("falls", falls)
        .put("dense", dense())
        .put("state", RolloutMessages.write(state()).toString())
        .put("outcomes", orders.outcomes.toString())
        .toString();
  }
}
