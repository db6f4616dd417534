package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.protocol.HeartbeatMessages.CapacityRequest;
import shorecrank.protocol.HeartbeatMessages.Heartbeat;
import shorecrank.protocol.HeartbeatMessages.MachineHandover;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.HeartbeatMessages.ShardReport;
import shorecrank.protocol.HeartbeatMessages.WorkerReachability;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.WriterId;

/** Encodes and decodes the controllers' heartbeats to the leader as JSON. */
public final class HeartbeatCodec {
  private static final String SENDER = "from";
  private static final String WRITER = "writer";
  private static final String STORE_REACHABLE = "stateOk";
  private static final String ASSIGNMENT_VERSION = "ver";
  private static final String SHARDS = "parts";
  private static final String UNASSIGNED_MACHINES = "seen";
  private static final String MISROUTED_WORKERS = "strays";

  private static final String REFUSED_EPOCH = "fenced";
  private static final String HAS_QUEUED_TASKS = "queued";
  private static final String EXPECTED = "expected";
  private static final String OVERDUE = "unheard";
  private static final String UNREACHABLE_ZONES = "deafTo";
  private static final String CAPACITY_REQUESTS = "wants";
  private static final String COUNT = "count";
  private static final String MACHINES_TO_RELEASE = "retire";
  private static final String SPARE_MACHINES = "spare";
  private static final String HANDOVERS = "back";
  private static final String MOVES = "moves";
  private static final String MISPLACED = "misplaced";
  private static final String DEMAND = "demand";

  private HeartbeatCodec() {}

  /** Writes a heartbeat as JSON. */
  public static ObjectNode write(Heartbeat heartbeat) {
    ObjectNode message = Json.object();
    message.put(SENDER, heartbeat.sender().value()).put(WRITER, heartbeat.writer().value());
    message.put(STORE_REACHABLE, heartbeat.storeReachable());
    message.put(ASSIGNMENT_VERSION, heartbeat.assignmentVersion());
    ArrayNode shards = message.putArray(SHARDS);
    for (ShardReport report : heartbeat.shards()) {
      putReport(shards.addObject(), report);
    }
    ArrayNode unassigned = message.putArray(UNASSIGNED_MACHINES);
    heartbeat
        .unassignedMachines()
        .forEach(machine -> PeerFields.putMachine(unassigned.addObject(), machine));
    ArrayNode misrouted = message.putArray(MISROUTED_WORKERS);
    heartbeat
        .misroutedWorkers()
        .forEach((shard, count) -> misrouted.addArray().add(shard.value()).add(count));
    if (heartbeat.announcement() != null) {
      message.set(
          RolloutCodec.HEARTBEAT_FIELD, RolloutCodec.writeAnnouncement(heartbeat.announcement()));
    }
    return message;
  }

  private static void putReport(ObjectNode object, ShardReport report) {
    object.put(PeerFields.SHARD, report.shard().value());
    object.put(PeerFields.EPOCH, report.epoch().value());
    object.put(REFUSED_EPOCH, report.refusedEpoch().value());
    object.put(HAS_QUEUED_TASKS, report.hasQueuedTasks());
    WorkerReachability reachability = report.reachability();
    object.put(EXPECTED, reachability.expected()).put(OVERDUE, reachability.overdue());
    ArrayNode zones = object.putArray(UNREACHABLE_ZONES);
    reachability.unreachableZones().forEach(zones::add);
    ArrayNode requests = object.putArray(CAPACITY_REQUESTS);
    for (CapacityRequest request : report.capacityRequests()) {
      PeerFields.putOffer(requests.addObject(), request.offer()).put(COUNT, request.count());
    }
    PeerFields.putMachineNames(object, MACHINES_TO_RELEASE, report.machinesToRelease());
    PeerFields.putMachineNames(object, SPARE_MACHINES, report.spareMachines());
    putMoves(object, report);
  }

  /**
   * Writes the fields about moves. Earlier versions do not know {@code moves}, {@code misplaced}
   * and {@code demand}, so these are left out unless the report needs them.
   */
  private static void putMoves(ObjectNode object, ShardReport report) {
    ArrayNode machines = object.putArray(HANDOVERS);
    report.handovers().forEach(handover -> machines.add(handover.machine().value()));
    if (report.echoesMoveIds()) {
      ArrayNode moves = object.putArray(MOVES);
      report.handovers().forEach(handover -> moves.add(handover.move().value()));
    }
    if (!report.misplaced().isEmpty()) {
      PeerFields.putMachineNames(object, MISPLACED, report.misplaced());
    }
    if (report.demand() != null) {
      object.set(DEMAND, ShardDemandCodec.write(report.demand()));
    }
  }

  /**
   * Reads a heartbeat.
   *
   * @throws MalformedMessageException if a name or number is missing or out of range
   */
  public static Heartbeat read(JsonNode message) throws MalformedMessageException {
    ControllerName sender =
        new ControllerName(Fields.readNonEmptyText(message.path(SENDER), SENDER));
    WriterId writer = new WriterId(Fields.readNonEmptyText(message.path(WRITER), WRITER));
    List<ShardReport> shards = new ArrayList<>();
    for (JsonNode report : message.path(SHARDS)) {
      shards.add(readReport(report));
    }
    List<MachineInfo> unassigned = new ArrayList<>();
    for (JsonNode machine : message.path(UNASSIGNED_MACHINES)) {
      unassigned.add(PeerFields.readMachine(machine));
    }
    Map<ShardId, Integer> misrouted = new HashMap<>();
    for (JsonNode pair : message.path(MISROUTED_WORKERS)) {
      misrouted.put(new ShardId(pair.path(0).asInt()), Math.max(0, pair.path(1).asInt()));
    }
    return new Heartbeat(
        sender,
        writer,
        message.path(STORE_REACHABLE).asBoolean(),
        message.path(ASSIGNMENT_VERSION).asLong(-1),
        shards,
        unassigned,
        misrouted,
        RolloutCodec.readAnnouncement(message.path(RolloutCodec.HEARTBEAT_FIELD)).orElse(null));
  }

  private static ShardReport readReport(JsonNode object) throws MalformedMessageException {
    List<CapacityRequest> requests = new ArrayList<>();
    for (JsonNode request : object.path(CAPACITY_REQUESTS)) {
      requests.add(new CapacityRequest(PeerFields.readOffer(request), readInt(request, COUNT)));
    }
    List<String> zones = new ArrayList<>();
    object.path(UNREACHABLE_ZONES).forEach(zone -> zones.add(zone.asText()));
    return new ShardReport(
        PeerFields.readShard(object),
        PeerFields.readEpoch(object),
        // This epoch comes from a stored record, which may be damaged, so any non-negative long is
        // valid.
        new Epoch(Fields.readCount(object.path(REFUSED_EPOCH), REFUSED_EPOCH)),
        object.path(HAS_QUEUED_TASKS).asBoolean(),
        new WorkerReachability(readInt(object, EXPECTED), readInt(object, OVERDUE), zones),
        requests,
        PeerFields.readMachineNames(object, MACHINES_TO_RELEASE),
        PeerFields.readMachineNames(object, SPARE_MACHINES),
        readHandovers(object),
        PeerFields.readMachineNames(object, MISPLACED),
        object.path(MOVES).isArray(),
        ShardDemandCodec.read(object.path(DEMAND)).orElse(null));
  }

  private static List<MachineHandover> readHandovers(JsonNode object)
      throws MalformedMessageException {
    List<MachineName> machines = PeerFields.readMachineNames(object, HANDOVERS);
    JsonNode moves = object.path(MOVES);
    if (moves.isArray() && moves.size() != machines.size()) {
      throw new MalformedMessageException(MOVES, "must have an element for each of " + HANDOVERS);
    }
    List<MachineHandover> handovers = new ArrayList<>();
    for (int i = 0; i < machines.size(); i++) {
      handovers.add(new MachineHandover(machines.get(i), Fields.readMoveIdOrNone(moves.path(i))));
    }
    return handovers;
  }

  private static int readInt(JsonNode object, String field) throws MalformedMessageException {
    return (int) Fields.readCount(object.path(field), field, Integer.MAX_VALUE);
  }
}
