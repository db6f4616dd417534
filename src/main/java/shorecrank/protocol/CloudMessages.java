package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shorecrank.protocol.Ids.MachineName;

/** Messages to and from the cloud. */
public final class CloudMessages {
  private CloudMessages() {}

  public static final int MAX_RENT = 50;
  public static final int MAX_RELEASE = 100;
  public static final int MAX_PAGE = 500;

  public record MachineType(
      String name,
      double cpus,
      double gpus,
      double memoryGb,
      double cacheGb,
      double fetchGbPerS,
      double price,
      double spotPrice,
      double bootS,
      List<String> zones) {
    public double price(boolean spot) {
      return spot ? spotPrice : price;
    }
  }

  public record ListedMachine(
      MachineName name, String type, String zone, boolean spot, String state, double ageS) {}

  /** A kind of machine that can be rented. */
  public record Offer(String type, String zone, boolean spot) {
    @Override
    public String toString() {
      return type + "@" + zone + (spot ? "/spot" : "/ordinary");
    }
  }

  public static final String CATALOG = "/catalog";
  public static final String RENT = "/hosts";
  public static final String RELEASE = "/hosts/release";

  public static String list(String after) {
    return "/hosts?page=" + MAX_PAGE + (after.isEmpty() ? "" : "&from=" + after);
  }

  /** Empty if the answer makes no sense. */
  public static Map<String, MachineType> catalog(JsonNode n) {
    Map<String, MachineType> m = new TreeMap<>();
    for (JsonNode t : n.path("hosttypes")) {
      String name = Json.text(t.path("sku"));
      List<String> zones = new ArrayList<>();
      t.path("sites").forEach(z -> zones.add(z.asText()));
      if (!name.isEmpty() && t.path("cpus").isNumber()) {
        m.put(
            name,
            new MachineType(
                name,
                t.path("cpus").asDouble(),
                t.path("accelerators").asDouble(),
                t.path("memoryGb").asDouble(),
                t.path("localGb").asDouble(),
                t.path("fetchGbPerS").asDouble(),
                t.path("hourly").asDouble(),
                t.path("spotPrice").asDouble(),
                t.path("startupS").asDouble(),
                List.copyOf(zones)));
      }
    }
    return m;
  }

  public static ObjectNode rent(String claim, Offer o, int count) {
    return Json.object()
        .put("claim", claim)
        .put("hosttype", o.type())
        .put("site", o.zone())
        .put("loaner", o.spot())
        .put("count", count);
  }

  public static List<MachineName> rented(JsonNode n) {
    List<MachineName> l = new ArrayList<>();
    n.path("hosts").forEach(h -> l.add(new MachineName(h.asText())));
    return l;
  }

  public static ObjectNode release(Collection<MachineName> hosts) {
    ObjectNode n = Json.object();
    ArrayNode a = n.putArray("hosts");
    hosts.forEach(h -> a.add(h.value()));
    return n;
  }

  public static boolean more(JsonNode n) {
    return n.path("truncated").asBoolean(false);
  }

  public static List<ListedMachine> listed(JsonNode n) {
    List<ListedMachine> l = new ArrayList<>();
    for (JsonNode h : n.path("hosts")) {
      String name = Json.text(h.path("nameId"));
      if (!name.isEmpty()) {
        l.add(
            new ListedMachine(
                new MachineName(name),
                Json.text(h.path("hosttype")),
                Json.text(h.path("site")),
                h.path("loaner").asBoolean(),
                Json.text(h.path("phase")),
                h.path("ageS").asDouble()));
      }
    }
    return l;
  }
}
