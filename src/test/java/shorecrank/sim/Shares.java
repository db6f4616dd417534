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

/** The settings of shares, operators' orders of them, and what controllers wrote of both. */
final class Shares {
  /** Keys of machines' assignments, and where name and shard stand in each entry. */
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

  /** Adds a line to the operators' settingsText. */
  void addSetting(String text) {
    settingsText.append(text).append('\n');
  }

  boolean isEnabled() {
    return !settingsText.isEmpty();
  }

  /** The settings with which a controller starts; null for a version without shares. */
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

  /** Shares and moves as the state service has them. */
  SharesState state() {
    JsonNode value = world.store.peek(ShareStateMessages.KEY);
    SharesState state = value.isMissingNode() ? null : ShareStateCodec.read(value).orElse(null);
    return state == null ? SharesState.INITIAL : state;
  }

  /** Machines by shard, as the state service has them. */
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

  /** Sends an order to a controller until it is answered, like an operator's client. */
  void sendOrder(int index, ShareOrder order) {
    orders.send(index, order.id(), ShareOrderCodec.write(order));
  }

  /** Operators' orders and the answers to them. */
  OrderSender orders() {
    return orders;
  }

  /** What there is, for the report of a failure. */
  String describe() {
    return Json.object()
        .put("state", ShareStateCodec.write(state()).toString())
        .put("assigned", machinesByShard().toString())
        .put("counts", world.counters.countsWithPrefix("shares.").toString())
        .put("outcomes", orders.describe())
        .toString();
  }
}
