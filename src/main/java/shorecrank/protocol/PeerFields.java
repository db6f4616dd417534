package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.HeartbeatMessages.OwnerInfo;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.ShardId;

/** Reads and writes fields that several messages between controllers have in common. */
final class PeerFields {
  static final String SHARD = "part";
  static final String EPOCH = "epoch";
  static final String OWNERS = "owners";
  static final String JOB_IDS = "ids";
  private static final String CONTROLLER = "label";
  private static final String MACHINE = "h";
  private static final String TYPE = "type";
  private static final String ZONE = "zone";
  private static final String SPOT = "spot";
  private static final int MAX_SHARDS = 1_000_000;

  private PeerFields() {}

  /** Writes shard owners into a message. */
  static void putOwners(ObjectNode message, Collection<OwnerInfo> owners) {
    ArrayNode array = message.putArray(OWNERS);
    for (OwnerInfo owner : owners) {
      array
          .addObject()
          .put(SHARD, owner.shard().value())
          .put(CONTROLLER, owner.controller().value())
          .put(EPOCH, owner.epoch().value());
    }
  }

  /** Reads the shard owners of a message; empty if it holds none. */
  static List<OwnerInfo> readOwners(JsonNode message) throws MalformedMessageException {
    List<OwnerInfo> owners = new ArrayList<>();
    for (JsonNode owner : message.path(OWNERS)) {
      owners.add(
          new OwnerInfo(
              readShard(owner),
              new ControllerName(Fields.readNonEmptyText(owner.path(CONTROLLER), CONTROLLER)),
              readEpoch(owner)));
    }
    return owners;
  }

  /** Writes a machine's fields into an object. */
  static ObjectNode putMachine(ObjectNode object, MachineInfo machine) {
    return object
        .put(MACHINE, machine.name().value())
        .put(TYPE, machine.type())
        .put(ZONE, machine.zone())
        .put(SPOT, machine.spot());
  }

  /** Reads the machine whose fields an object holds. */
  static MachineInfo readMachine(JsonNode object) throws MalformedMessageException {
    return new MachineInfo(
        new MachineName(Fields.readNonEmptyText(object.path(MACHINE), MACHINE)),
        Json.text(object.path(TYPE)),
        Json.text(object.path(ZONE)),
        object.path(SPOT).asBoolean());
  }

  /** Writes an offer's fields into an object. */
  static ObjectNode putOffer(ObjectNode object, Offer offer) {
    return object.put(TYPE, offer.type()).put(ZONE, offer.zone()).put(SPOT, offer.spot());
  }

  /** Reads the offer whose fields an object holds. */
  static Offer readOffer(JsonNode object) {
    return new Offer(
        Json.text(object.path(TYPE)), Json.text(object.path(ZONE)), object.path(SPOT).asBoolean());
  }

  /** Writes machines' names as a list into a field. */
  static void putMachineNames(ObjectNode object, String field, Collection<MachineName> machines) {
    ArrayNode array = object.putArray(field);
    machines.forEach(machine -> array.add(machine.value()));
  }

  /** Reads machines' names from a field; empty if it is absent. */
  static List<MachineName> readMachineNames(JsonNode object, String field)
      throws MalformedMessageException {
    List<MachineName> names = new ArrayList<>();
    for (JsonNode name : object.path(field)) {
      names.add(new MachineName(Fields.readNonEmptyText(name, field)));
    }
    return names;
  }

  /** Reads the shard's number from an object. */
  static ShardId readShard(JsonNode object) throws MalformedMessageException {
    return new ShardId((int) Fields.readCount(object.path(SHARD), SHARD, MAX_SHARDS));
  }

  /** Reads the epoch from an object; one above {@link FencingToken#MAX_EPOCH} is malformed. */
  static Epoch readEpoch(JsonNode object) throws MalformedMessageException {
    return new Epoch(Fields.readCount(object.path(EPOCH), EPOCH, FencingToken.MAX_EPOCH));
  }
}
