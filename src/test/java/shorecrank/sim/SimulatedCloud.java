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
import shorecrank.protocol.Json;

/** A simulated cloud that implements the protocol of the real one. */
final class SimulatedCloud {
  /** Age of the machine list that the cloud returns, in seconds. */
  static final double LIST_LAG_S = 3;

  private static final double MS_PER_S = 1000;
  private static final long SNAPSHOT_EVERY_MS = 1000;
  private static final int SNAPSHOTS_KEPT = 100;
  private static final double MIN_BOOT_FACTOR = 0.6;
  private static final double BOOT_FACTOR_RANGE = 0.9;
  private static final double PRICE_PER_CPU = 0.04;
  private static final double SPOT_PRICE_PER_CPU = 0.015;

  /** A rented machine; its worker is null until it has booted. */
  private static final class Machine {
    private final String name;
    private final String type;
    private final String zone;
    private final boolean spot;
    private final long rentedAtMs;
    private SimulatedWorker worker;

    Machine(String name, String type, String zone, boolean spot, long rentedAtMs) {
      this.name = name;
      this.type = type;
      this.zone = zone;
      this.spot = spot;
      this.rentedAtMs = rentedAtMs;
    }

    ObjectNode write(long nowMs) {
      return Json.object()
          .put("nameId", name)
          .put("hosttype", type)
          .put("site", zone)
          .put("loaner", spot)
          .put("phase", worker == null ? "starting" : "running")
          .put("ageS", (nowMs - rentedAtMs) / MS_PER_S);
    }
  }

  /** The machine list at a point in time. */
  private record Snapshot(long atMs, List<ObjectNode> machines) {}

  private final World world;
  private final Simulation sim;
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, List<String>> machinesOfClaim = new HashMap<>();
  private final Map<String, String> requestOfClaim = new HashMap<>();
  private final List<Snapshot> snapshots = new ArrayList<>();
  private final Set<String> released = new HashSet<>();
  private int nextNumber = 1;
  private long outageUntilMs = -1;
  private int capacity = 100;
  private int bootsToFail;
  private int largestSize;

  SimulatedCloud(World world) {
    this.world = world;
    this.sim = world.sim;
    takeSnapshot();
  }

  /** Sets how many machines can be rented at a time; requests beyond that are refused. */
  void setCapacity(int count) {
    capacity = count;
  }

  /**
   * Makes the next machines fail to boot.
   *
   * @param count how many
   */
  void failBoots(int count) {
    bootsToFail = count;
  }

  /** Refuses all requests for the given time. */
  void beginOutage(long durationMs) {
    outageUntilMs = sim.now() + durationMs;
  }

  /** Returns the number of rented machines, including those that are booting. */
  int size() {
    return machines.size();
  }

  /** Returns the largest number of machines that were rented at a time. */
  int largestSize() {
    return largestSize;
  }

  /** Reports whether a controller has ever released the machine. */
  boolean wasReleased(String machine) {
    return released.contains(machine);
  }

  private void takeSnapshot() {
    snapshots.add(
        new Snapshot(
            sim.now(),
            machines.values().stream().map(machine -> machine.write(sim.now())).toList()));
    if (snapshots.size() > SNAPSHOTS_KEPT) {
      snapshots.remove(0);
    }
    sim.after(SNAPSHOT_EVERY_MS, this::takeSnapshot);
  }

  /**
   * Adds a machine.
   *
   * @param bootS nominal boot time in seconds; 0 if it is up at once
   * @return the machine's name
   */
  String addMachine(String type, String zone, boolean spot, double bootS) {
    String name = String.format("n-%06d", nextNumber++);
    Machine machine = new Machine(name, type, zone, spot, sim.now());
    machines.put(name, machine);
    largestSize = Math.max(largestSize, machines.size());
    if (bootS <= 0) {
      finishBoot(machine);
    } else if (bootsToFail > 0) {
      bootsToFail--;
    } else {
      double factor = MIN_BOOT_FACTOR + sim.random().nextDouble() * BOOT_FACTOR_RANGE;
      sim.after((long) (bootS * MS_PER_S * factor), () -> finishBoot(machine));
    }
    return name;
  }

  private void finishBoot(Machine machine) {
    if (machines.get(machine.name) == machine) {
      machine.worker =
          new SimulatedWorker(world, machine.name, machine.type, machine.zone, machine.spot);
      world.addWorker(machine.worker);
    }
  }

  /** Removes a machine and everything on it. */
  void removeMachine(String name) {
    Machine machine = machines.remove(name);
    if (machine != null && machine.worker != null) {
      machine.worker.remove();
      world.removeWorker(name);
    }
  }

  // ---- requests --------------------------------------------------------------------------------

  /** Handles a request immediately. */
  void handle(String path, JsonNode body, ReplyHandler reply) {
    if (sim.now() < outageUntilMs) {
      reply.unavailable();
    } else if (path.equals("/catalog")) {
      reply.accept(200, catalog());
    } else if (path.equals("/hosts/release")) {
      for (JsonNode name : body.path("hosts")) {
        released.add(name.asText());
        removeMachine(name.asText());
      }
      reply.accept(200, Json.object());
    } else if (path.equals("/hosts")) {
      rent(body, reply);
    } else if (path.startsWith("/hosts?")) {
      reply.accept(200, machineList());
    } else {
      reply.accept(404, Json.object());
    }
  }

  private ObjectNode catalog() {
    ObjectNode catalog = Json.object();
    ArrayNode types = catalog.putArray("hosttypes");
    world
        .site
        .types()
        .forEach(
            (name, type) -> {
              ObjectNode entry = types.addObject().put("sku", name).put("cpus", type.cpus());
              entry.put("accelerators", 0).put("memoryGb", type.memoryGb()).put("localGb", 50);
              entry.put("fetchGbPerS", 1.0);
              entry.put("hourly", type.cpus() * PRICE_PER_CPU);
              entry.put("spotPrice", type.cpus() * SPOT_PRICE_PER_CPU);
              ArrayNode zones = entry.put("startupS", type.bootS()).putArray("sites");
              type.zones().forEach(zones::add);
            });
    return catalog;
  }

  private ObjectNode machineList() {
    long atMs = sim.now() - (long) (LIST_LAG_S * MS_PER_S);
    Snapshot shown = snapshots.get(0);
    for (Snapshot snapshot : snapshots) {
      if (snapshot.atMs <= atMs) {
        shown = snapshot;
      }
    }
    ObjectNode list = Json.object();
    ArrayNode listed = list.putArray("hosts");
    shown.machines.forEach(listed::add);
    return list.put("truncated", false);
  }

  private void rent(JsonNode body, ReplyHandler reply) {
    String claim = body.path("claim").asText();
    String request = body.toString();
    String earlier = requestOfClaim.putIfAbsent(claim, request);
    if (earlier != null && !earlier.equals(request)) {
      world.checker.report("claim_reused: " + claim + " used for another request");
    }
    List<String> rented = machinesOfClaim.get(claim);
    if (rented == null) {
      int count = Math.min(body.path("count").asInt(), capacity - machines.size());
      if (count <= 0) {
        reply.accept(503, Json.error("no capacity"));
        return;
      }
      rented = addMachines(body, count);
      machinesOfClaim.put(claim, rented);
    }
    ObjectNode answer = Json.object();
    ArrayNode names = answer.putArray("hosts");
    rented.forEach(names::add);
    reply.accept(200, answer);
  }

  private List<String> addMachines(JsonNode body, int count) {
    String type = body.path("hosttype").asText();
    String zone = body.path("site").asText();
    boolean spot = body.path("loaner").asBoolean();
    List<String> names = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      names.add(addMachine(type, zone, spot, world.site.type(type).bootS()));
    }
    return names;
  }
}
