package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import shorecrank.protocol.Json;

/** A stand-in for the cloud. */
final class CloudSim {
  private static final class Machine {
    String name;
    String type;
    String zone;
    boolean spot;
    long since;
    boolean running;
    Worker worker;
  }

  private record View(long at, List<ObjectNode> hosts) {}

  private final World world;
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, List<String>> claims = new HashMap<>();
  private final Map<String, String> claimShapes = new HashMap<>();
  private final List<View> views = new ArrayList<>();
  final Set<String> releasedEver = new HashSet<>();
  private int next = 1;
  private long outageUntil = -1;
  int capacity = 100;
  int bootFails;

  /** The most machines that were there at one moment. */
  int most;

  CloudSim(World world) {
    this.world = world;
    view();
  }

  void outage(long ms) {
    outageUntil = world.sim.now + ms;
  }

  private void view() {
    List<ObjectNode> l = new ArrayList<>();
    for (Machine m : machines.values()) {
      l.add(
          Json.object()
              .put("nameId", m.name)
              .put("hosttype", m.type)
              .put("site", m.zone)
              .put("loaner", m.spot)
              .put("phase", m.running ? "running" : "starting")
              .put("ageS", (world.sim.now - m.since) / 1000.0));
    }
    views.add(new View(world.sim.now, l));
    if (views.size() > 100) {
      views.remove(0);
    }
    world.sim.after(1000, this::view);
  }

  String boot(String type, String zone, boolean spot, double bootS) {
    Machine m = new Machine();
    m.name = String.format("n-%06d", next++);
    m.type = type;
    m.zone = zone;
    m.spot = spot;
    m.since = world.sim.now;
    machines.put(m.name, m);
    most = Math.max(most, machines.size());
    if (bootFails > 0 && bootS > 0) {
      bootFails--;
      return m.name;
    }
    Runnable up =
        () -> {
          if (machines.get(m.name) == m) {
            m.running = true;
            m.worker = new Worker(world, m.name, m.type, m.zone, m.spot);
            world.workers.put(m.name, m.worker);
          }
        };
    if (bootS <= 0) {
      up.run();
    } else {
      world.sim.after((long) (bootS * 1000 * (0.6 + world.sim.random.nextDouble() * 0.9)), up);
    }
    return m.name;
  }

  void take(String name) {
    Machine m = machines.remove(name);
    if (m != null && m.worker != null) {
      m.worker.gone();
      world.workers.remove(name);
    }
  }

  void handle(String method, String path, JsonNode body, BiConsumer<Integer, JsonNode> answer) {
    if (world.sim.now < outageUntil) {
      answer.accept(503, Json.error("trouble"));
      return;
    }
    if (path.equals("/catalog")) {
      ObjectNode n = Json.object();
      ArrayNode a = n.putArray("hosttypes");
      world.types.forEach(
          (name, t) -> {
            ObjectNode o = a.addObject().put("sku", name).put("cpus", t.cpus());
            o.put("accelerators", 0).put("memoryGb", t.memoryGb()).put("localGb", 50);
            o.put("fetchGbPerS", 1.0)
                .put("hourly", t.cpus() * 0.04)
                .put("spotPrice", t.cpus() * 0.015);
            ArrayNode z = o.put("startupS", t.bootS()).putArray("sites");
            t.zones().forEach(z::add);
          });
      answer.accept(200, n);
    } else if (path.equals("/hosts/release")) {
      for (JsonNode h : body.path("hosts")) {
        releasedEver.add(h.asText());
        take(h.asText());
      }
      answer.accept(200, Json.object());
    } else if (path.equals("/hosts")) {
      rent(body, answer);
    } else if (path.startsWith("/hosts?")) {
      long at = world.sim.now - (long) (world.listLagS * 1000);
      View v = views.get(0);
      for (View x : views) {
        if (x.at <= at) {
          v = x;
        }
      }
      ObjectNode n = Json.object();
      ArrayNode a = n.putArray("hosts");
      v.hosts.forEach(a::add);
      answer.accept(200, n.put("truncated", false));
    } else {
      answer.accept(404, Json.object());
    }
  }

  private void rent(JsonNode body, BiConsumer<Integer, JsonNode> answer) {
    String claim = body.path("claim").asText();
    String shape = body.toString();
    String before = claimShapes.putIfAbsent(claim, shape);
    if (before != null && !before.equals(shape)) {
      world.checker.broken("claim " + claim + " used for another request");
    }
    List<String> got = claims.get(claim);
    if (got == null) {
      int n = Math.min(body.path("count").asInt(), capacity - machines.size());
      if (n <= 0) {
        answer.accept(503, Json.error("no capacity"));
        return;
      }
      got = new ArrayList<>();
      for (int i = 0; i < n; i++) {
        got.add(
            boot(
                body.path("hosttype").asText(),
                body.path("site").asText(),
                body.path("loaner").asBoolean(),
                world.types.get(body.path("hosttype").asText()).bootS()));
      }
      claims.put(claim, got);
    }
    ObjectNode n = Json.object();
    ArrayNode a = n.putArray("hosts");
    got.forEach(a::add);
    answer.accept(200, n);
  }

  int size() {
    return machines.size();
  }
}
