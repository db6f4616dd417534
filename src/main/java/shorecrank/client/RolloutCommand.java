package shorecrank.client;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import shorecrank.protocol.OperatorPaths;
import shorecrank.protocol.RolloutMessages.OrderKind;
import shorecrank.protocol.RolloutMessages.RolloutOrder;
import shorecrank.protocol.RolloutOrderCodec;

/** The subcommands that show and change the feature level of a fleet. */
@Command(name = "rollout", description = "Watches and steers the feature level of a fleet.")
final class RolloutCommand {
  /**
   * The value of {@link RolloutOrder#target} in an order that names no level. The leader then uses
   * the default level, if this kind of order has one.
   */
  private static final int NO_LEVEL = -1;

  /** Prints the feature level and the members of the fleet. */
  @Command(name = "status", description = "Shows the level, the members and what is waited for.")
  int status(@Mixin ClientOptions options) {
    return options.showStatus(OperatorPaths.ROLLOUT_STATUS, RolloutStatusPrinter::print);
  }

  /** Orders the leader to raise the level. */
  @Command(name = "finalize", description = "Raises the level, once all members support it.")
  int finalizeLevel(
      @Mixin ClientOptions options,
      @Option(
              names = "--level",
              paramLabel = "N",
              description = "the level; by default the highest that the leader supports")
          Integer level,
      @Mixin OrderOptions order) {
    return send(options, OrderKind.FINALIZE, level, order);
  }

  /** Orders the leader to lower the level. */
  @Command(
      name = "downgrade",
      description = "Puts records back into earlier forms, then lowers the level.")
  int downgrade(
      @Mixin ClientOptions options,
      @Option(names = "--level", paramLabel = "N", description = "the level; by default 0")
          Integer level,
      @Mixin OrderOptions order) {
    return send(options, OrderKind.DOWNGRADE, level, order);
  }

  /** Orders the leader to stop raising or lowering the level. */
  @Command(name = "abort", description = "Stops a rise or a fall; the level stays what it is.")
  int abort(@Mixin ClientOptions options, @Mixin OrderOptions order) {
    return send(options, OrderKind.ABORT, null, order);
  }

  private static int send(
      ClientOptions options, OrderKind kind, Integer level, OrderOptions orderOptions) {
    if (level != null && level < 0) {
      throw options.usageError("--level must be 0 or more");
    }
    RolloutOrder order =
        new RolloutOrder(orderOptions.orderId(), kind, level == null ? NO_LEVEL : level);
    return options.sendOrder(
        OperatorPaths.ROLLOUT_ORDERS, order.id(), RolloutOrderCodec.write(order));
  }
}
