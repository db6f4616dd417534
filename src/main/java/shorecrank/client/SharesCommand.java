package shorecrank.client;

import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.OperatorPaths;
import shorecrank.protocol.ShareOrderCodec;
import shorecrank.protocol.ShareOrderMessages.AbortMoves;
import shorecrank.protocol.ShareOrderMessages.MoveMachines;
import shorecrank.protocol.ShareOrderMessages.SetShare;
import shorecrank.protocol.ShareOrderMessages.ShareOrder;

/** The subcommands that show and change the assignment of machines to shards. */
@Command(name = "shares", description = "Watches and steers which shard has which machines.")
final class SharesCommand {
  /** The option with which an order is only checked, not carried out. */
  static final class DryRunOption {
    @Option(names = "--dry-run", description = "say what would be done, and do nothing")
    private boolean dryRun;
  }

  /** Prints the shards with their machines and targets, the teams' shares, and the moves. */
  @Command(name = "show", description = "Shows shards, their machines and targets, and moves.")
  int show(@Mixin ClientOptions options) {
    return options.showStatus(OperatorPaths.SHARES_STATUS, SharesStatusPrinter::print);
  }

  /** Orders the leader to change a team's weight, minimum or maximum. */
  @Command(name = "set", description = "Sets a team's weight, minimum or maximum.")
  int set(
      @Mixin ClientOptions options,
      @Option(names = "--team", paramLabel = "TEAM", required = true, description = "the team")
          String team,
      @Option(names = "--weight", paramLabel = "W", description = "of its need beside others'")
          Double weight,
      @Option(names = "--min", paramLabel = "CPUS", description = "processors that it keeps")
          Double min,
      @Option(
              names = "--max",
              paramLabel = "CPUS",
              description = "processors that it gets at the most; 0 for no bound")
          Double max,
      @Mixin DryRunOption dryRun,
      @Mixin OrderOptions order) {
    if (weight == null && min == null && max == null) {
      throw options.usageError("one of --weight, --min, --max is needed");
    }
    return send(options, new SetShare(order.orderId(), dryRun.dryRun, team, weight, min, max));
  }

  /** Orders the leader to move machines, selected by name or by shard and number of machines. */
  @Command(name = "move", description = "Moves machines to a shard.")
  int move(
      @Mixin ClientOptions options,
      @Option(names = "--to", paramLabel = "SHARD", required = true, description = "the shard")
          int to,
      @Option(
              names = "--machine",
              split = ",",
              paramLabel = "NAME",
              description = "the machines, by name")
          List<String> machines,
      @Option(names = "--from", paramLabel = "SHARD", description = "or: of this shard")
          Integer from,
      @Option(
              names = "--count",
              paramLabel = "N",
              defaultValue = "0",
              description = "so many, the soonest empty first")
          int count,
      @Mixin DryRunOption dryRun,
      @Mixin OrderOptions order) {
    List<MachineName> names = new ArrayList<>();
    if (machines != null) {
      machines.forEach(name -> names.add(new MachineName(name)));
    }
    boolean byName = !names.isEmpty() && from == null && count == 0;
    boolean byNumber = names.isEmpty() && from != null && count > 0;
    if (!byName && !byNumber) {
      throw options.usageError("either --machine, or --from and --count above 0, is needed");
    }
    if (to < 0 || (from != null && from < 0)) {
      throw options.usageError("a shard must be 0 or more");
    }
    ShardId source = from == null ? null : new ShardId(from);
    return send(
        options,
        new MoveMachines(order.orderId(), dryRun.dryRun, names, source, count, new ShardId(to)));
  }

  /** Orders the leader to abort moves. */
  @Command(
      name = "abort",
      description = "Aborts moves whose machines have not been handed over yet.")
  int abort(
      @Mixin ClientOptions options,
      @Option(names = "--move", paramLabel = "N", defaultValue = "0", description = "one move")
          long move,
      @Option(
              names = "--order",
              paramLabel = "ID",
              defaultValue = "",
              description = "all moves of an order")
          String moveOrderId,
      @Option(names = "--all", description = "all moves") boolean all,
      @Mixin DryRunOption dryRun,
      @Mixin OrderOptions order) {
    int selectors = (move > 0 ? 1 : 0) + (moveOrderId.isEmpty() ? 0 : 1) + (all ? 1 : 0);
    if (selectors != 1) {
      throw options.usageError("one of --move, --order, --all is needed");
    }
    return send(
        options,
        new AbortMoves(order.orderId(), dryRun.dryRun, new MoveId(move), moveOrderId, all));
  }

  private static int send(ClientOptions options, ShareOrder order) {
    return options.sendOrder(OperatorPaths.SHARES_ORDERS, order.id(), ShareOrderCodec.write(order));
  }
}
