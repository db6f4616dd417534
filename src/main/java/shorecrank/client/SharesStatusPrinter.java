package shorecrank.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import shorecrank.protocol.Json;

/** Prints the assignment of machines to shards, and the moves between shards, as text. */
final class SharesStatusPrinter {
  private SharesStatusPrinter() {}

  /** Prints the answer to a request for {@code OperatorPaths.SHARES_STATUS}. */
  static void print(JsonNode status, PrintWriter out) {
    String reason = Json.text(status.path("reason"));
    out.println(reason.isEmpty() ? "machines may move" : "no machine moves: " + reason);
    printShards(status.path("shards"), out);
    printTeams(status.path("teams"), out);
    printMoves(status.path("moves"), out);
    printEndedMoves(status.path("ended"), out);
  }

  private static void printShards(JsonNode shards, PrintWriter out) {
    String rowFormat = "%-6s %-16s %9s %9s %9s %9s %9s  %s%n";
    out.printf(
        rowFormat, "SHARD", "OWNER", "MACHINES", "CPUS", "TARGET", "RUNNING", "WAITING", "TEAMS");
    for (JsonNode shard : shards) {
      List<String> teams = new ArrayList<>();
      shard.path("teams").forEach(team -> teams.add(team.asText()));
      String owner = Json.text(shard.path("owner"));
      out.printf(
          rowFormat,
          shard.path("shard").asInt(),
          owner.isEmpty() ? "-" : owner,
          shard.path("machines").asInt(),
          formatNumber(shard, "cpus"),
          formatNumber(shard, "target"),
          formatNumber(shard, "running"),
          formatNumber(shard, "waiting"),
          String.join(",", teams));
    }
  }

  private static void printTeams(JsonNode teams, PrintWriter out) {
    out.printf("%-24s %9s %9s %9s%n", "TEAM", "WEIGHT", "MIN", "MAX");
    for (JsonNode team : teams) {
      boolean isLimited = team.path("maxCpus").asDouble() > 0;
      out.printf(
          "%-24s %9s %9s %9s%n",
          Json.text(team.path("team")),
          formatNumber(team, "weight"),
          formatNumber(team, "minCpus"),
          isLimited ? formatNumber(team, "maxCpus") : "none");
    }
  }

  private static void printMoves(JsonNode moves, PrintWriter out) {
    for (JsonNode move : moves) {
      out.printf(
          "move %d: %s from %d to %d, %s for %.0f s, waits for %s%n",
          move.path("id").asLong(),
          Json.text(move.path("machine")),
          move.path("from").asInt(),
          move.path("to").asInt(),
          Json.text(move.path("phase")),
          move.path("ageS").asDouble(),
          Json.text(move.path("waitsFor")));
    }
  }

  private static void printEndedMoves(JsonNode moves, PrintWriter out) {
    for (JsonNode move : moves) {
      String reason = Json.text(move.path("reason"));
      out.printf(
          "ended %d: %s from %d to %d, %s%s%n",
          move.path("id").asLong(),
          Json.text(move.path("machine")),
          move.path("from").asInt(),
          move.path("to").asInt(),
          Json.text(move.path("phase")),
          reason.isEmpty() ? "" : ": " + reason);
    }
  }

  /** Returns a field's number: whole numbers without decimals, others with one decimal. */
  private static String formatNumber(JsonNode row, String field) {
    double value = row.path(field).asDouble();
    return value == Math.rint(value) ? Long.toString((long) value) : "%.1f".formatted(value);
  }
}
