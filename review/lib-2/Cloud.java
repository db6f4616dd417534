package standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;

/** The cloud of PROTOCOL, "Controller nodes -> cloud". */
final class Cloud implements AutoCloseable {
  /** A type of machine. */
  record Type(
      String sku, double cpus, double memoryGb, double fetchGbPerS, double hourly, double spotPrice,
      double startupS, List<String> sites) {}

  /** A machine that was rented, or was there from the start. */
  static final class Host {
    final String name;
    final Type type;
    final String site;
    final boolean loaner;
    final double rentedAt;
    double goneAt = Double.MAX_VALUE;
    Worker worker;

    Host(String name, Type type, String site, boolean loaner, double rentedAt) {
      this.name = name;
      this.type = type;
      this.site = site;
      this.loaner = loaner;
      this.rentedAt = rentedAt;
    }
  }

  final Map<String, Type> types = new TreeMap<>();
  final ConcurrentSkipListMap<String, Host> hosts = new ConcurrentSkipListMap<>();
  /** How many more machines can be rented, by type, zone and kind; none where it is not named. */
  final Map<String, Integer> capacity = new HashMap<>();
  final List<JsonNode> rentals = new ArrayList<>();
  private final Map<String, List<String>> claims = new HashMap<>();
  private final Site site;
  private final double listLagS;
  private final Server server;
  private int lastName;
  /** Whether the cloud's interface is down. */
  volatile boolean isDown;

  /** Called once a return of machines has been carried out, after its answer was sent. */
  volatile Runnable onReleased = () -> {};

  Cloud(Site site, double listLagS) throws IOException {
    this.site = site;
    this.listLagS = listLagS;
    this.server = new Server(this::handle);
  }

  String address() {
    return server.address();
  }

  void addType(Type type) {
    types.put(type.sku(), type);
  }

  /** Adds a machine that has been up for a long time. */
  synchronized Host addRunning(String sku, String zone, boolean loaner) {
    return add(types.get(sku), zone, loaner, -1000, 0);
  }

  private Host add(Type type, String zone, boolean loaner, double rentedAt, double bootS) {
    String name = String.format("n-%06d", ++lastName);
    Host host = new Host(name, type, zone, loaner, rentedAt);
    host.worker = new Worker(site, host, rentedAt < 0 ? rentedAt : Record.now() + bootS);
    hosts.put(name, host);
    site.record.add(
        "cloud: machine %s %s in %s, up in %.1f s, worker at %s",
        name, type.sku(), zone, bootS, host.worker.address());
    return host;
  }

  private Server.Answer handle(String method, String path, byte[] body)
      throws InterruptedException {
    Thread.sleep(200);
    if (isDown) {
      return new Server.Answer(503, Jsons.object().put("error", "trouble"));
    }
    synchronized (this) {
      if (path.equals("/catalog")) {
        return catalog();
      }
      if (path.equals("/hosts/release")) {
        Jsons.read(body).path("hosts").forEach(name -> release(name.asText()));
        new Thread(onReleased).start();
        return new Server.Answer(200, Jsons.object());
      }
      if (path.equals("/hosts")) {
        return rent(Jsons.read(body));
      }
      if (path.startsWith("/hosts?")) {
        return list(path);
      }
      return new Server.Answer(400, Jsons.object());
    }
  }

  private Server.Answer catalog() {
    ObjectNode answer = Jsons.object();
    ArrayNode array = answer.putArray("hosttypes");
    for (Type type : types.values()) {
      ObjectNode node = array.addObject().put("sku", type.sku()).put("cpus", type.cpus());
      node.put("accelerators", 0).put("memoryGb", type.memoryGb()).put("localGb", 80.0);
      node.put("fetchGbPerS", type.fetchGbPerS()).put("hourly", type.hourly());
      node.put("spotPrice", type.spotPrice()).put("startupS", type.startupS());
      type.sites().forEach(node.putArray("sites")::add);
    }
    return new Server.Answer(200, answer);
  }

  private Server.Answer rent(JsonNode request) {
    String claim = request.path("claim").asText();
    ObjectNode answer = Jsons.object();
    List<String> names = claims.get(claim);
    if (names == null) {
      site.record.add("cloud: asked for %s", request);
      rentals.add(request);
      String sku = request.path("hosttype").asText();
      String zone = request.path("site").asText();
      String offer = sku + " " + zone + (request.path("loaner").asBoolean() ? " spot" : "");
      int count = Math.min(request.path("count").asInt(), capacity.getOrDefault(offer, 0));
      if (count == 0) {
        return new Server.Answer(503, answer.put("error", "no capacity"));
      }
      capacity.merge(offer, -count, Integer::sum);
      names = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        Type type = types.get(sku);
        boolean loaner = request.path("loaner").asBoolean();
        names.add(add(type, zone, loaner, Record.now(), type.startupS()).name);
      }
      claims.put(claim, names);
    }
    names.forEach(answer.putArray("hosts")::add);
    return new Server.Answer(200, answer);
  }

  private void release(String name) {
    Host host = hosts.get(name);
    if (host != null && host.goneAt == Double.MAX_VALUE) {
      site.record.add("cloud: machine %s released", name);
      host.goneAt = Record.now();
      host.worker.end();
      String offer = host.type.sku() + " " + host.site + (host.loaner ? " spot" : "");
      capacity.merge(offer, 1, Integer::sum);
    }
  }

  private Server.Answer list(String path) {
    String from = "";
    int page = 500;
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      if (part.startsWith("from=")) {
        from = part.substring("from=".length());
      } else if (part.startsWith("page=")) {
        page = Integer.parseInt(part.substring("page=".length()));
      }
    }
    double at = Record.now() - listLagS;
    ObjectNode answer = Jsons.object();
    ArrayNode array = answer.putArray("hosts");
    boolean truncated = false;
    for (Host host : hosts.tailMap(from, false).values()) {
      if (host.rentedAt > at || host.goneAt < at) {
        continue;
      }
      if (array.size() == page) {
        truncated = true;
        break;
      }
      ObjectNode node = array.addObject().put("nameId", host.name);
      node.put("addr", host.worker.address()).put("hosttype", host.type.sku());
      node.put("site", host.site).put("loaner", host.loaner);
      node.put("phase", host.worker.isUp(at) ? "running" : "starting");
      node.put("ageS", at - host.rentedAt);
    }
    return new Server.Answer(200, answer.put("truncated", truncated));
  }

  @Override
  public void close() {
    hosts.values().forEach(host -> host.worker.end());
    server.close();
  }
}
