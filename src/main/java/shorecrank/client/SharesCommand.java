package shorecrank.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Json;
import shorecrank.protocol.ShareMessages;
import shorecrank.protocol.ShareMessages.AbortMoves;
import shorecrank.protocol.ShareMessages.MoveMachines;
import shorecrank.protocol.ShareMessages.SetShare;
import shorecrank.protocol.ShareMessages.ShareOrder;

/** Watches and steers which shard has which machines. */
@Command(name = "shares", description = "Watches and steers which shard has which machines.")
final class SharesCommand {
  /** Whether an order is only to be judged. */
  static final class DryRun {
    @Option(names = "--dry-run", description = "say what would be done, and do nothing")
    private boolean dryRun;
  }

  @Command(name = "show", description = "Shows shards, their machines and targets, and moves.")
  int show(@Mixin ClientOptions options) {
    return options.status(ShareMessages.SHOW, SharesCommand::print);
  }

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
      @Mixin DryRun dryRun,
      @Mixin OrderOptions order) {
    if (weight == null && min == null && max == null) {
      throw options.usage("one of --weight, --min, --max is needed");
    }
    return order(options, new SetShare(order.idOrNew(), dryRun.dryRun, team, weight, min, max));
  }

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
      @Mixin DryRun dryRun,
      @Mixin OrderOptions order) {
    List<MachineName> names = new ArrayList<>();
    if (machines != null) {
      machines.forEach(m -> names.add(new MachineName(m)));
    }
    boolean byName = !names.isEmpty() && from == null && count == 0;
    boolean byNumber = names.isEmpty() && from != null && count > 0;
    if (!byName && !byNumber) {
      throw options.usage("either --machine, or --from and --count above 0, is needed");
    }
    if (to < 0 || (from != null && from < 0)) {
      throw options.usage("a shard must be 0 or more");
    }
    ShardId source = from == null ? null : new ShardId(from);
    return order(
        options,
        new MoveMachines(order.idOrNew(), dryRun.dryRun, names, source, count, new ShardId(to)));
  }

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
          String of,
      @Option(names = "--all", description = "all moves") boolean all,
      @Mixin DryRun dryRun,
      @Mixin OrderOptions order) {
    int named = (move > 0 ? 1 : 0) + (of.isEmpty() ? 0 : 1) + (all ? 1 : 0);
    if (named != 1) {
      throw options.usage("one of --move, --order, --all is needed");
    }
    return order(
        options, new AbortMoves(order.idOrNew(), dryRun.dryRun, new MoveId(move), of, all));
  }

  private static int order(ClientOptions options, ShareOrder order) {
    return options.order(ShareMessages.ORDERS, order.id(), ShareMessages.write(order));
  }

  private static void print(JsonNode status, PrintWriter out) {
    String reason = Json.text(status.path("reason"));
    out.println(reason.isEmpty() ? "machines may move" : "no machine moves: " + reason);
    printShards(status, out);
    printTeams(status, out);
    for (JsonNode m : status.path("moves")) {
      out.printf(
          "move %d: %s from %d to %d, %s for %.0f s, waits for %s%n",
          m.path("id").asLong(),
          Json.text(m.path("machine")),
          m.path("from").asInt(),
          m.path("to").asInt(),
          Json.text(m.path("phase")),
          m.path("ageS").asDouble(),
          Json.text(m.path("waitsFor")));
    }
    for (JsonNode m : status.path("ended")) {
      String why = Json.text(m.path("reason"));
      out.printf(
          "ended %d: %s from %d to %d, %s%s%n",
          m.path("id").asLong(),
          Json.text(m.path("machine")),
          m.path("from").asInt(),
          m.path("to").asInt(),
          Json.text(m.path("phase")),
          why.isEmpty() ? "" : ": " + why);
    }
  }

  private static void printShards(JsonNode status, PrintWriter out) {
    String row = "%-6s %-16s %9s %9s %9s %9s %9s  %s%n";
    out.printf(row, "SHARD", "OWNER", "MACHINES", "CPUS", "TARGET", "RUNNING", "WAITING", "TEAMS");
    for (JsonNode p : status.path("shards")) {
      List<String> teams = new ArrayList<>();
      p.path("teams").forEach(t -> teams.add(t.asText()));
      String owner = Json.text(p.path("owner"));
      out.printf(
          row,
          p.path("shard").asInt(),
          owner.isEmpty() ? "-" : owner,
          p.path("machines").asInt(),
          amount(p, "cpus"),
          amount(p, "target"),
          amount(p, "running"),
          amount(p, "waiting"),
          String.join(",", teams));
    }
  }

  private static void printTeams(JsonNode status, PrintWriter out) {
    out.printf("%-24s %9s %9s %9s%n", "TEAM", "WEIGHT", "MIN", "MAX");
    for (JsonNode t : status.path("teams")) {
      boolean bounded = t.path("maxCpus").asDouble() > 0;
      out.printf(
          "%-24s %9s %9s %9s%n",
          Json.text(t.path("team")),
          amount(t, "weight"),
          amount(t, "minCpus"),
          bounded ? amount(t, "maxCpus") : "none");
    }
  }

  private static String amount(JsonNode n, String field) {
    double value = n.path(field).asDouble();
    return value == Math.rint(value) ? Long.toString((long) value) : "%.1f".formatted(value);
  }
}
