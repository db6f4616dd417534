package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shorecrank.protocol.CloudMessages.ListedMachine;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.MachineName;

/** Encodes and decodes the messages exchanged with the cloud as JSON. */
public final class CloudCodec {
  private static final String TYPES = "hosttypes";
  private static final String TYPE_NAME = "sku";
  private static final String CPUS = "cpus";
  private static final String GPUS = "accelerators";
  private static final String MEMORY_GB = "memoryGb";
  private static final String CACHE_GB = "localGb";
  private static final String FETCH_GB_PER_S = "fetchGbPerS";
  private static final String PRICE = "hourly";
  private static final String SPOT_PRICE = "spotPrice";
  private static final String BOOT_S = "startupS";
  private static final String ZONES = "sites";

  private static final String CLAIM = "claim";
  private static final String COUNT = "count";
  private static final String MACHINES = "hosts";
  private static final String MACHINE_NAME = "nameId";
  private static final String TYPE = "hosttype";
  private static final String ZONE = "site";
  private static final String SPOT = "loaner";
  private static final String STATE = "phase";
  private static final String AGE_S = "ageS";
  private static final String HAS_MORE = "truncated";

  private CloudCodec() {}

  /**
   * Reads the catalog of machine types.
   *
   * @return the types by name, without those that lack a name or their processors; empty if the
   *     answer holds none
   */
  public static Map<String, MachineType> readCatalog(JsonNode answer) {
    Map<String, MachineType> catalog = new TreeMap<>();
    for (JsonNode type : answer.path(TYPES)) {
      String name = Json.text(type.path(TYPE_NAME));
      if (!name.isEmpty() && type.path(CPUS).isNumber()) {
        catalog.put(name, readType(name, type));
      }
    }
    return catalog;
  }

  private static MachineType readType(String name, JsonNode type) {
    List<String> zones = new ArrayList<>();
    type.path(ZONES).forEach(zone -> zones.add(zone.asText()));
    return new MachineType(
        name,
        type.path(CPUS).asDouble(),
        type.path(GPUS).asDouble(),
        type.path(MEMORY_GB).asDouble(),
        type.path(CACHE_GB).asDouble(),
        type.path(FETCH_GB_PER_S).asDouble(),
        type.path(PRICE).asDouble(),
        type.path(SPOT_PRICE).asDouble(),
        type.path(BOOT_S).asDouble(),
        List.copyOf(zones));
  }

  /**
   * Writes a request that rents machines.
   *
   * @param claim the idempotency key: repeating a request with the same key rents no further
   *     machines
   */
  public static ObjectNode writeRental(String claim, Offer offer, int count) {
    return Json.object()
        .put(CLAIM, claim)
        .put(TYPE, offer.type())
        .put(ZONE, offer.zone())
        .put(SPOT, offer.spot())
        .put(COUNT, count);
  }

  /** Reports whether an answer holds a list of machines or of their names, which may be empty. */
  public static boolean hasMachines(JsonNode answer) {
    return answer.path(MACHINES).isArray();
  }

  /** Reads the names of the machines that a request has rented. */
  public static List<MachineName> readRented(JsonNode answer) {
    List<MachineName> machines = new ArrayList<>();
    answer.path(MACHINES).forEach(name -> machines.add(new MachineName(name.asText())));
    return machines;
  }

  /** Writes a request that returns machines to the cloud. */
  public static ObjectNode writeRelease(Collection<MachineName> machines) {
    ObjectNode message = Json.object();
    ArrayNode names = message.putArray(MACHINES);
    machines.forEach(machine -> names.add(machine.value()));
    return message;
  }

  /** Reads one page of the list of machines; machines without a name are left out. */
  public static List<ListedMachine> readListed(JsonNode answer) {
    List<ListedMachine> machines = new ArrayList<>();
    for (JsonNode machine : answer.path(MACHINES)) {
      String name = Json.text(machine.path(MACHINE_NAME));
      if (!name.isEmpty()) {
        machines.add(
            new ListedMachine(
                new MachineName(name),
                Json.text(machine.path(TYPE)),
                Json.text(machine.path(ZONE)),
                machine.path(SPOT).asBoolean(),
                Json.text(machine.path(STATE)),
                machine.path(AGE_S).asDouble()));
      }
    }
    return machines;
  }

  /** Reports whether another page of the list follows. */
  public static boolean hasMore(JsonNode answer) {
    return answer.path(HAS_MORE).asBoolean(false);
  }
}
