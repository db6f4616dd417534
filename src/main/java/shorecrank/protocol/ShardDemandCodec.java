package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.ShardDemandMessages.DrainCandidate;
import shorecrank.protocol.ShardDemandMessages.DrainProgress;
import shorecrank.protocol.ShardDemandMessages.DrainState;
import shorecrank.protocol.ShardDemandMessages.ShardDemand;

/**
 * Encodes and decodes a shard's demand, a part of heartbeats, as JSON. Offers, candidates and the
 * progress of draining machines are written as arrays without field names.
 */
final class ShardDemandCodec {
  private static final String CAPACITY = "capacity";
  private static final String RUNNING = "running";
  private static final String WAITING = "waiting";
  private static final String GUARANTEED = "guaranteed";
  private static final String OLDEST_WAIT_S = "oldestWaitS";
  private static final String USABLE_OFFERS = "kinds";
  private static final String CANDIDATES = "candidates";
  private static final String DRAINING = "draining";
  private static final String ARRIVED = "arrived";

  private static final int MAX_ELEMENTS = 4096;
  private static final double MAX_CPUS = 1e9;
  private static final double MAX_SECONDS = 1e9;

  private ShardDemandCodec() {}

  /** Writes a demand as JSON. */
  static ObjectNode write(ShardDemand demand) {
    ObjectNode message = Json.object();
    message.put(CAPACITY, demand.capacity()).put(RUNNING, demand.running());
    ArrayNode waiting = message.putArray(WAITING);
    demand.waiting().forEach(waiting::add);
    message.put(GUARANTEED, demand.guaranteed()).put(OLDEST_WAIT_S, demand.oldestWaitS());
    ArrayNode offers = message.putArray(USABLE_OFFERS);
    for (Offer offer : demand.usableOffers()) {
      offers.addArray().add(offer.type()).add(offer.zone()).add(offer.spot());
    }
    ArrayNode candidates = message.putArray(CANDIDATES);
    for (DrainCandidate candidate : demand.candidates()) {
      ArrayNode columns = candidates.addArray().add(candidate.machine().value());
      columns.add(candidate.cpus()).add(candidate.emptyInS());
    }
    ArrayNode draining = message.putArray(DRAINING);
    for (DrainProgress progress : demand.draining()) {
      ArrayNode columns = draining.addArray().add(progress.move().value());
      columns.add(wireName(progress.state())).add(progress.tasks()).add(progress.emptyInS());
    }
    ArrayNode arrived = message.putArray(ARRIVED);
    demand.arrived().forEach(move -> arrived.add(move.value()));
    return message;
  }

  /**
   * Reads a demand.
   *
   * @return the demand, or empty if there is none or it is malformed; the shard then neither gives
   *     nor gets machines
   */
  static Optional<ShardDemand> read(JsonNode message) {
    if (!message.isObject()) {
      return Optional.empty();
    }
    try {
      return Optional.of(readChecked(message));
    } catch (MalformedMessageException malformed) {
      return Optional.empty();
    }
  }

  private static ShardDemand readChecked(JsonNode message) throws MalformedMessageException {
    List<Double> waiting = new ArrayList<>();
    for (JsonNode cpus : readList(message, WAITING)) {
      waiting.add(Fields.readAmount(cpus, WAITING, MAX_CPUS));
    }
    List<Offer> offers = new ArrayList<>();
    for (JsonNode columns : readList(message, USABLE_OFFERS)) {
      String type = Fields.readText(columns.path(0), USABLE_OFFERS);
      offers.add(new Offer(type, Json.text(columns.path(1)), columns.path(2).asBoolean()));
    }
    List<DrainCandidate> candidates = new ArrayList<>();
    for (JsonNode columns : readList(message, CANDIDATES)) {
      candidates.add(
          new DrainCandidate(
              Fields.readMachineName(columns.path(0), CANDIDATES),
              Fields.readAmount(columns.path(1), CANDIDATES, MAX_CPUS),
              Fields.readAmount(columns.path(2), CANDIDATES, MAX_SECONDS)));
    }
    List<DrainProgress> draining = new ArrayList<>();
    for (JsonNode columns : readList(message, DRAINING)) {
      draining.add(
          new DrainProgress(
              Fields.readMoveId(columns.path(0), DRAINING),
              readState(columns.path(1)),
              Fields.readCappedCount(columns.path(2), DRAINING),
              Fields.readAmount(columns.path(3), DRAINING, MAX_SECONDS)));
    }
    List<MoveId> arrived = new ArrayList<>();
    for (JsonNode move : readList(message, ARRIVED)) {
      arrived.add(Fields.readMoveId(move, ARRIVED));
    }
    return new ShardDemand(
        readCpus(message, CAPACITY),
        readCpus(message, RUNNING),
        List.copyOf(waiting),
        readCpus(message, GUARANTEED),
        Fields.readAmount(message.path(OLDEST_WAIT_S), OLDEST_WAIT_S, MAX_SECONDS),
        List.copyOf(offers),
        List.copyOf(candidates),
        List.copyOf(draining),
        List.copyOf(arrived));
  }

  private static JsonNode readList(JsonNode message, String field)
      throws MalformedMessageException {
    return Fields.readList(message.path(field), field, MAX_ELEMENTS);
  }

  private static double readCpus(JsonNode message, String field) throws MalformedMessageException {
    return Fields.readAmount(message.path(field), field, MAX_CPUS);
  }

  private static String wireName(DrainState state) {
    return state.name().toLowerCase(Locale.ROOT);
  }

  private static DrainState readState(JsonNode value) throws MalformedMessageException {
    for (DrainState state : DrainState.values()) {
      if (wireName(state).equals(Json.text(value))) {
        return state;
      }
    }
    throw new MalformedMessageException(DRAINING, "must name a known state");
  }
}
