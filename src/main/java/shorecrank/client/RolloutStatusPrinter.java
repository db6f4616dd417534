package shorecrank.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import shorecrank.protocol.Json;

/** Prints the status of a rollout as text. */
final class RolloutStatusPrinter {
  private static final double MS_PER_S = 1000.0;

  private RolloutStatusPrinter() {}

  /** Prints the answer to a request for {@code OperatorPaths.ROLLOUT_STATUS}. */
  static void print(JsonNode status, PrintWriter out) {
    printLevel(status, out);
    String archive = Json.text(status.path("archive"));
    out.printf("newest archive %s%n", archive.isEmpty() ? "none" : archive);
    out.printf("%-16s %-14s %-8s %-12s %s%n", "MEMBER", "BUILD", "LEVELS", "HEARD", "SETTINGS");
    for (JsonNode member : status.path("members")) {
      printMember(member, out);
    }
    for (JsonNode reason : status.path("waitingFor")) {
      out.println("waits for " + reason.asText());
    }
  }

  private static void printLevel(JsonNode status, PrintWriter out) {
    String phase = Json.text(status.path("phase"));
    out.printf("level %d, %s", status.path("level").asInt(), phase);
    if (!phase.equals("stable")) {
      out.printf(" to %d", status.path("target").asInt());
    }
    out.printf(", written at most %d%n", status.path("writeLevel").asInt());
    boolean isHeld = status.path("held").asBoolean();
    boolean isAutomatic = status.path("automatic").asBoolean();
    String rises = isAutomatic && !isHeld ? "by itself" : "by finalize only";
    out.printf("rises %s%n", rises + (isHeld ? " (held back)" : ""));
  }

  /** Prints one member. Members of earlier versions announce neither their build nor levels. */
  private static void printMember(JsonNode member, PrintWriter out) {
    boolean announcesLevels = member.has("lowest");
    long heardMsAgo = member.path("heardMsAgo").asLong();
    out.printf(
        "%-16s %-14s %-8s %-12s %s%n",
        Json.text(member.path("label")),
        announcesLevels ? Json.text(member.path("build")) : "-",
        announcesLevels ? member.path("lowest") + "-" + member.path("highest") : "none",
        heardMsAgo < 0 ? "never" : "%.1f s ago".formatted(heardMsAgo / MS_PER_S),
        member.path("settingsDiffer").asBoolean() ? "DIFFER" : "ok");
  }
}
