package shorecrank.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import shorecrank.protocol.Json;
import shorecrank.protocol.RolloutMessages;
import shorecrank.protocol.RolloutMessages.Order;
import shorecrank.protocol.RolloutMessages.OrderKind;

/** Watches and steers the feature level of a fleet. */
@Command(name = "rollout", description = "Watches and steers the feature level of a fleet.")
final class RolloutCommand {
  @Command(name = "status", description = "Shows the level, the members and what is waited for.")
  int status(@Mixin ClientOptions options) {
    return options.status(RolloutMessages.STATUS, RolloutCommand::print);
  }

  @Command(name = "finalize", description = "Raises the level, once all members support it.")
  int finalizeLevel(
      @Mixin ClientOptions options,
      @Option(
              names = "--level",
              paramLabel = "N",
              description = "the level; by default the highest that the leader supports")
          Integer level,
      @Mixin OrderOptions order) {
    return order(options, OrderKind.FINALIZE, level, order);
  }

  @Command(
      name = "downgrade",
      description = "Puts records back into earlier forms, then lowers the level.")
  int downgrade(
      @Mixin ClientOptions options,
      @Option(names = "--level", paramLabel = "N", description = "the level; by default 0")
          Integer level,
      @Mixin OrderOptions order) {
    return order(options, OrderKind.DOWNGRADE, level, order);
  }

  @Command(name = "abort", description = "Stops a rise or a fall; the level stays what it is.")
  int abort(@Mixin ClientOptions options, @Mixin OrderOptions order) {
    return order(options, OrderKind.ABORT, null, order);
  }

  private static int order(
      ClientOptions options, OrderKind kind, Integer level, OrderOptions named) {
    if (level != null && level < 0) {
      throw options.usage("--level must be 0 or more");
    }
    Order order = new Order(named.idOrNew(), kind, level == null ? -1 : level);
    return options.order(RolloutMessages.ORDERS, order.id(), RolloutMessages.write(order));
  }

  private static void print(JsonNode status, PrintWriter out) {
    String phase = Json.text(status.path("phase"));
    out.printf("level %d, %s", status.path("level").asInt(), phase);
    if (!phase.equals("stable")) {
      out.printf(" to %d", status.path("target").asInt());
    }
    out.printf(", written at most %d%n", status.path("writeLevel").asInt());
    boolean held = status.path("held").asBoolean();
    boolean automatic = status.path("automatic").asBoolean();
    out.printf(
        "rises %s%n",
        automatic && !held ? "by itself" : "by finalize only" + (held ? " (held back)" : ""));
    String archive = Json.text(status.path("archive"));
    out.printf("newest archive %s%n", archive.isEmpty() ? "none" : archive);
    out.printf("%-16s %-14s %-8s %-12s %s%n", "MEMBER", "BUILD", "LEVELS", "HEARD", "SETTINGS");
    for (JsonNode m : status.path("members")) {
      boolean announces = m.has("lowest");
      long heard = m.path("heardMsAgo").asLong();
      out.printf(
          "%-16s %-14s %-8s %-12s %s%n",
          Json.text(m.path("label")),
          announces ? Json.text(m.path("build")) : "-",
          announces ? m.path("lowest") + "-" + m.path("highest") : "none",
          heard < 0 ? "never" : "%.1f s ago".formatted(heard / 1000.0),
          m.path("settingsDiffer").asBoolean() ? "DIFFER" : "ok");
    }
    for (JsonNode w : status.path("waitingFor")) {
      out.println("waits for " + w.asText());
    }
  }
}
