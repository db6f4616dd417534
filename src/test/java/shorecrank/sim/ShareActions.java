package shorecrank.sim;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShareOrderMessages.AbortMoves;
import shorecrank.protocol.ShareOrderMessages.MoveMachines;
import shorecrank.protocol.ShareOrderMessages.SetShare;
import shorecrank.protocol.ShareOrderMessages.ShareOrder;

/** Actions that send operators' orders about shares and moves of machines. */
final class ShareActions {
  static final Map<String, Action.Reader> ACTIONS = Map.of("share-order", ShareActions::order);

  private static final String DRY_RUN = "dry-run";

  private ShareActions() {}

  /**
   * Parses {@code share-order WHO ID set|move|abort key=value...}: an order that is sent until it
   * is answered.
   */
  private static Action order(ScenarioLine line) {
    ControllerSelector who = ControllerSelector.read(line, 1);
    String id = line.word(2);
    ScenarioOptions options = line.options(4);
    ShareOrder order =
        switch (line.word(3)) {
          case "set" -> set(id, options);
          case "move" -> move(line, id, options);
          case "abort" -> abort(line, id, options);
          default -> throw line.error("an order of shares is one of set, move, abort");
        };
    return world -> who.forEach(world, node -> world.shares.sendOrder(node.index(), order));
  }

  private static SetShare set(String id, ScenarioOptions options) {
    options.allow("team", "weight", "min", "max", DRY_RUN);
    return new SetShare(
        id,
        options.has(DRY_RUN),
        options.text("team", null),
        optionalDecimal(options, "weight"),
        optionalDecimal(options, "min"),
        optionalDecimal(options, "max"));
  }

  private static Double optionalDecimal(ScenarioOptions options, String name) {
    return options.has(name) ? (Double) options.decimal(name, 0) : null;
  }

  private static MoveMachines move(ScenarioLine line, String id, ScenarioOptions options) {
    options.allow("machines", "from", "count", "to", DRY_RUN);
    List<MachineName> machines =
        options
            .text("machines")
            .map(names -> Arrays.stream(names.split(",")).map(MachineName::new).toList())
            .orElse(List.of());
    ShardId from = options.has("from") ? shard(line, options, "from") : null;
    int count = options.integer("count", 0);
    ShardId to = shard(line, options, "to");
    return new MoveMachines(id, options.has(DRY_RUN), machines, from, count, to);
  }

  private static ShardId shard(ScenarioLine line, ScenarioOptions options, String name) {
    if (!options.has(name)) {
      throw line.error("option " + name + " is missing");
    }
    return new ShardId(options.integer(name, 0));
  }

  private static AbortMoves abort(ScenarioLine line, String id, ScenarioOptions options) {
    options.allow("move", "of", "all", DRY_RUN);
    long move = line.parse(options.text("move", "0"), "the number of a move", Long::valueOf);
    return new AbortMoves(
        id, options.has(DRY_RUN), new MoveId(move), options.text("of", ""), options.has("all"));
  }
}
