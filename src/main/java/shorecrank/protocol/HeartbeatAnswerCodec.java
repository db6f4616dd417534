package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import shorecrank.protocol.HeartbeatMessages.HeartbeatAnswer;
import shorecrank.protocol.HeartbeatMessages.Lease;
import shorecrank.protocol.HeartbeatMessages.MachineAssignment;
import shorecrank.protocol.HeartbeatMessages.UnavailableOffer;
import shorecrank.protocol.Ids.Epoch;

/** Encodes and decodes the leader's answers to heartbeats as JSON. */
public final class HeartbeatAnswerCodec {
  /** The leader's term in an answer, or the required epoch in a machine's assignment. */
  private static final String TERM = "term";

  private static final String STORE_REACHABLE_BY_OTHERS = "othersOk";
  private static final String STORE_REACHABLE = "stateOk";
  private static final String ASSIGNMENT_VERSION = "ver";
  private static final String LEASES = "leases";
  private static final String TTL_MS = "ttlMs";
  private static final String IS_COMPLETE = "whole";
  private static final String ASSIGNED = "lent";
  private static final String AGE_MS = "age";
  private static final String HANDOVER_REQUESTED = "recall";
  private static final String MOVE = "move";
  private static final String UNASSIGNED = "off";
  private static final String RELEASED = "gone";
  private static final String OFFERS_WITHOUT_CAPACITY = "blocked";
  private static final String RETRY_AFTER_MS = "ms";

  /** Upper bound for a lease's duration, one day; no leader grants a longer lease. */
  private static final long MAX_LEASE_MS = 86_400_000;

  private HeartbeatAnswerCodec() {}

  /** Writes an answer as JSON. */
  public static ObjectNode write(HeartbeatAnswer answer) {
    ObjectNode message = Json.object();
    message.put(TERM, answer.term());
    message.put(STORE_REACHABLE_BY_OTHERS, answer.storeReachableByOthers());
    message.put(ASSIGNMENT_VERSION, answer.assignmentVersion());
    ArrayNode leases = message.putArray(LEASES);
    for (Lease lease : answer.leases()) {
      leases
          .addObject()
          .put(PeerFields.SHARD, lease.shard().value())
          .put(PeerFields.EPOCH, lease.epoch().value())
          .put(TTL_MS, lease.ttlMs());
    }
    PeerFields.putOwners(message, answer.owners());
    message.put(IS_COMPLETE, answer.isComplete());
    ArrayNode assigned = message.putArray(ASSIGNED);
    for (MachineAssignment assignment : answer.assigned()) {
      putAssignment(assigned.addObject(), assignment);
    }
    PeerFields.putMachineNames(message, UNASSIGNED, answer.unassigned());
    PeerFields.putMachineNames(message, RELEASED, answer.released());
    ArrayNode offers = message.putArray(OFFERS_WITHOUT_CAPACITY);
    for (UnavailableOffer offer : answer.offersWithoutCapacity()) {
      PeerFields.putOffer(offers.addObject(), offer.offer())
          .put(RETRY_AFTER_MS, offer.retryAfterMs());
    }
    if (answer.rolloutNotice() != null) {
      message.set(RolloutCodec.HEARTBEAT_FIELD, RolloutCodec.writeNotice(answer.rolloutNotice()));
    }
    return message;
  }

  private static void putAssignment(ObjectNode object, MachineAssignment assignment) {
    PeerFields.putMachine(object, assignment.machine());
    object.put(PeerFields.SHARD, assignment.shard().value());
    object.put(AGE_MS, assignment.ageMs());
    object.put(HANDOVER_REQUESTED, assignment.handoverRequested());
    if (assignment.requiredEpoch().value() > 0) {
      object.put(TERM, assignment.requiredEpoch().value());
    }
    if (assignment.move().isSet()) {
      object.put(MOVE, assignment.move().value());
    }
  }

  /** Reads an answer; empty if it is malformed. */
  public static Optional<HeartbeatAnswer> read(JsonNode message) {
    try {
      return Optional.of(readChecked(message));
    } catch (MalformedMessageException malformed) {
      return Optional.empty();
    }
  }

  private static HeartbeatAnswer readChecked(JsonNode message) throws MalformedMessageException {
    long term = Fields.readCount(message.path(TERM), TERM);
    List<Lease> leases = new ArrayList<>();
    for (JsonNode lease : message.path(LEASES)) {
      long ttlMs = Fields.readCount(lease.path(TTL_MS), TTL_MS, MAX_LEASE_MS);
      leases.add(new Lease(PeerFields.readShard(lease), PeerFields.readEpoch(lease), ttlMs));
    }
    List<MachineAssignment> assigned = new ArrayList<>();
    for (JsonNode assignment : message.path(ASSIGNED)) {
      assigned.add(readAssignment(assignment));
    }
    List<UnavailableOffer> offers = new ArrayList<>();
    for (JsonNode offer : message.path(OFFERS_WITHOUT_CAPACITY)) {
      offers.add(
          new UnavailableOffer(PeerFields.readOffer(offer), offer.path(RETRY_AFTER_MS).asLong()));
    }
    return new HeartbeatAnswer(
        term,
        message.path(STORE_REACHABLE_BY_OTHERS).asBoolean(),
        leases,
        PeerFields.readOwners(message),
        message.path(ASSIGNMENT_VERSION).asLong(),
        message.path(IS_COMPLETE).asBoolean(),
        assigned,
        PeerFields.readMachineNames(message, UNASSIGNED),
        PeerFields.readMachineNames(message, RELEASED),
        offers,
        RolloutCodec.readNotice(message.path(RolloutCodec.HEARTBEAT_FIELD)).orElse(null));
  }

  private static MachineAssignment readAssignment(JsonNode object)
      throws MalformedMessageException {
    return new MachineAssignment(
        PeerFields.readMachine(object),
        PeerFields.readShard(object),
        object.path(AGE_MS).asLong(),
        new Epoch(Math.max(0, Json.countOrMinusOne(object.path(TERM)))),
        object.path(HANDOVER_REQUESTED).asBoolean(),
        Fields.readMoveIdOrNone(object.path(MOVE)));
  }

  /**
   * Writes the answer of a controller that grants no leases because it is not the leader.
   *
   * @param storeReachable whether the state service answers the controller
   */
  public static ObjectNode writeRefusal(boolean storeReachable) {
    return Json.object().put(STORE_REACHABLE, storeReachable);
  }

  /**
   * Reports whether the state service answers the controller that sent a refusal; true if the
   * refusal does not say.
   */
  public static boolean isStoreReachable(JsonNode refusal) {
    return refusal.path(STORE_REACHABLE).asBoolean(true);
  }
}
