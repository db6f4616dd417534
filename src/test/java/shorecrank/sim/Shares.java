package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import shorecrank.config.InvalidConfigException;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Json;
import shorecrank.protocol.ShareMessages;
import shorecrank.protocol.ShareMessages.Move;
import shorecrank.protocol.ShareMessages.MovePhase;
import shorecrank.protocol.ShareMessages.ShareOrder;
import shorecrank.protocol.ShareMessages.SharesState;
import shorecrank.rebalance.ShareSettings;
import shorecrank.rollout.Feature;
import shorecrank.sim.World.Node;

/**
 * Shares in a scenario: their settings, operators' orders and what came of them, and the rule that
 * an assignment changes together with a move that was written down before.
 */
final class Shares {
  private final World world;
  private final StringBuilder file = new StringBuilder();
  private ShareSettings settings;

  /** Operators' orders and the answers to them. */
  final OrderSender orders;

  /** What controllers have counted, by metric. */
  final Map<String, Long> counts = new TreeMap<>();

  /** The latest values of gauges, by metric. */
  final Map<String, Double> gauges = new TreeMap<>();

  /** Machines whose only assignment so far was carried out late. */
  private final Set<String> neverTold = new HashSet<>();

  /** Changes of the state service in transactions that change moves. */
  int storeOperations;

  Shares(World world) {
    this.world = world;
    this.orders = new OrderSender(world, ShareMessages.ORDERS);
  }

  /** A line of the operators' file. */
  void line(String text) {
    file.append(text).append('\n');
  }

  boolean enabled() {
    return !file.isEmpty();
  }

  /** The settings with which a controller starts; null for a version without shares. */
  ShareSettings start(Node node) {
    if (!enabled() || !world.rollouts.knowsShares(node)) {
      return null;
    }
    if (settings == null) {
      try {
        settings = ShareSettings.read(file.toString());
      } catch (InvalidConfigException e) {
        throw new IllegalArgumentException(e);
      }
    }
    return settings;
  }

  void count(String metric, long by) {
    if (metric.startsWith("shares.") || metric.startsWith("foreign.")) {
      counts.merge(metric, by, Long::sum);
    }
  }

  void gauge(String metric, double value) {
    if (metric.startsWith("shares.")) {
      gauges.put(metric, value);
    }
  }

  SharesState state() {
    JsonNode value = world.store.peek(ShareMessages.KEY);
    SharesState state = value.isMissingNode() ? null : ShareMessages.readState(value);
    return state == null ? SharesState.INITIAL : state;
  }

  /** Machines by shard, as the state service has them. */
  Map<Integer, List<String>> assigned() {
    Map<Integer, List<String>> byShard = new TreeMap<>();
    for (String key : world.store.keys("hosts/")) {
      for (JsonNode m : world.store.peek(key).path("m")) {
        int shard = m.path(4).asInt();
        byShard.computeIfAbsent(shard, s -> new ArrayList<>()).add(m.path(0).asText());
      }
    }
    return byShard;
  }

  // ---- rules -----------------------------------------------------------------------------------

  /** Called before a transaction is applied, with what it writes. */
  void applying(JsonNode operations) {
    // Below the level an earlier version may lead, which writes assignments without moves.
    boolean inForce = world.rollouts.state().level().includes(Feature.SHARES.level());
    if (!enabled() || !inForce) {
      return;
    }
    SharesState before = state();
    SharesState after = before;
    for (JsonNode o : operations) {
      if (o.path("write").asText().equals(ShareMessages.KEY)) {
        storeOperations += operations.size();
        after = ShareMessages.readState(o.path("data"));
      }
    }
    if (after == null) {
      world.checker.broken("shares_unreadable: written by a controller");
      return;
    }
    for (Move move : after.active()) {
      Move earlier = before.moveOf(move.machine());
      boolean same = earlier != null && earlier.id().equals(move.id());
      if (!same && move.id().value() < before.nextMove()) {
        world.checker.broken("move_id_reused: " + move.id());
      }
      if (same && move.phase().compareTo(earlier.phase()) < 0) {
        world.checker.broken("move_went_back: " + move.id() + " to " + move.phase());
      }
    }
    Map<Integer, List<String>> now = assigned();
    for (JsonNode o : operations) {
      if (o.path("write").asText().startsWith("hosts/")) {
        for (JsonNode m : o.path("data").path("m")) {
          assignment(m, now, before, after);
        }
      }
    }
  }

  /** Only a move that hands the machine over changes the assignment, in the same transaction. */
  private void assignment(
      JsonNode m, Map<Integer, List<String>> now, SharesState before, SharesState after) {
    String name = m.path(0).asText();
    int shard = m.path(4).asInt();
    boolean known = now.values().stream().anyMatch(names -> names.contains(name));
    if (!known && world.store.lateByMs > 0) {
      // First written by a write whose sender has no answer: it has told nobody.
      neverTold.add(name);
    }
    if (neverTold.contains(name)) {
      if (world.store.lateByMs == 0) {
        neverTold.remove(name);
      }
      return;
    }
    now.forEach(
        (was, names) -> {
          if (was == shard || !names.contains(name)) {
            return;
          }
          Move move = after.moveOf(new MachineName(name));
          Move earlier = before.moveOf(new MachineName(name));
          boolean handedOver =
              move != null
                  && earlier != null
                  && move.phase() == MovePhase.HANDED_OVER
                  && earlier.phase() != MovePhase.HANDED_OVER
                  && move.from().value() == was
                  && move.to().value() == shard;
          if (!handedOver) {
            world.checker.broken("moved_unwritten: " + name + " from " + was + " to " + shard);
          }
        });
  }

  // ---- orders ----------------------------------------------------------------------------------

  /** Sends an order to a controller until it is answered, like an operator's client. */
  void order(int index, ShareOrder order) {
    orders.send(index, order.id(), ShareMessages.write(order));
  }

  @Override
  public String toString() {
    return Json.object()
        .put("state", ShareMessages.write(state()).toString())
        .put("assigned", assigned().toString())
        .put("counts", counts.toString())
        .put("outcomes", orders.outcomes.toString())
        .toString();
  }
}
