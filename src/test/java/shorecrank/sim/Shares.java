package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shorecrank.config.InvalidConfigException;
import shorecrank.protocol.Json;
import shorecrank.protocol.OperatorPaths;
import shorecrank.protocol.ShareOrderCodec;
import shorecrank.protocol.ShareOrderMessages.ShareOrder;
import shorecrank.protocol.ShareStateCodec;
import shorecrank.protocol.ShareStateMessages;
import shorecrank.protocol.ShareStateMessages.SharesState;
import shorecrank.rebalance.ShareSettings;

/**
 * The settings of shares, operators' orders about shares and moves, and what the controllers have
 * stored of both.
 */
final class Shares {
  /**
   * Prefix of the keys that hold the machines' assignments. Each machine's entry is an array, with
   * its name and shard at the indexes below.
   */
  static final String ASSIGNMENT_PREFIX = "hosts/";

  static final int NAME_INDEX = 0;
  static final int SHARD_INDEX = 4;

  private final World world;
  private final StringBuilder settingsText = new StringBuilder();
  private ShareSettings settings;

  private final OrderSender orders;

  Shares(World world) {
    this.world = world;
    this.orders = new OrderSender(world, OperatorPaths.SHARES_ORDERS);
  }

  /** Adds a line to the operators' settings file. */
  void addSetting(String text) {
    settingsText.append(text).append('\n');
  }

  boolean isEnabled() {
    return !settingsText.isEmpty();
  }

  /**
   * Returns the settings for a controller that starts now; null if shares are not enabled or its
   * version has none.
   */
  ShareSettings settingsFor(ControllerNode node) {
    if (!isEnabled() || !world.rollouts.supportsShares(node)) {
      return null;
    }
    if (settings == null) {
      try {
        settings = ShareSettings.read(settingsText.toString());
      } catch (InvalidConfigException e) {
        throw new IllegalArgumentException(e);
      }
    }
    return settings;
  }

  /** Returns the shares and moves that the state service holds. */
  SharesState state() {
    JsonNode value = world.store.peek(ShareStateMessages.KEY);
    SharesState state = value.isMissingNode() ? null : ShareStateCodec.read(value).orElse(null);
    return state == null ? SharesState.INITIAL : state;
  }

  /**
   * Returns the machines assigned to each shard in the state service; a shard without machines has
   * no entry.
   */
  Map<Integer, List<String>> machinesByShard() {
    Map<Integer, List<String>> byShard = new TreeMap<>();
    for (String key : world.store.keys(ASSIGNMENT_PREFIX)) {
      for (JsonNode machine : world.store.peek(key).path("m")) {
        int shard = machine.path(SHARD_INDEX).asInt();
        byShard
            .computeIfAbsent(shard, k -> new ArrayList<>())
            .add(machine.path(NAME_INDEX).asText());
      }
    }
    return byShard;
  }

  /** Sends an order to a controller until it is answered, as an operator's client does. */
  void sendOrder(int index, ShareOrder order) {
    orders.send(index, order.id(), ShareOrderCodec.write(order));
  }

  /** Returns the sender of share orders, which also holds the answers. */
  OrderSender orders() {
    return orders;
  }

  /** Returns the state of shares and moves as text for a failure report. */
  String describe() {
    return Json.object()
        .put("state", ShareStateCodec.write(state()).toString())
        .put("assigned", machinesByShard().toString())
        .put("counts", world.counters.countsWithPrefix("shares.").toString())
        .put("outcomes", orders.describe())
        .toString();
  }
}
