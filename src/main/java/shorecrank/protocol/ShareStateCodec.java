package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.MovePhase;
import shorecrank.protocol.ShareStateMessages.ShareOutcome;
import shorecrank.protocol.ShareStateMessages.SharesState;
import shorecrank.protocol.ShareStateMessages.TeamShare;

/** Encodes and decodes the value of the key that holds shares and moves, as JSON. */
public final class ShareStateCodec {
  static final String MOVES = "moves";
  static final String ENDED = "ended";
  static final String TEAMS = "teams";

  private static final String FORMAT = "v";
  private static final String SHARDS = "parts";
  private static final String NEXT_MOVE = "next";
  private static final String OUTCOMES = "orders";

  private static final String TEAM = "team";
  private static final String WEIGHT = "weight";
  private static final String MIN_CPUS = "minCpus";
  private static final String MAX_CPUS = "maxCpus";

  private static final String ORDER_ID = "id";
  private static final String CONTENT = "content";
  private static final String ACCEPTED = "accepted";
  private static final String TEXT = "text";

  /** Version of the stored value's format; values of other versions are not read. */
  private static final long FORMAT_VERSION = 1;

  private static final int MAX_ELEMENTS = 4096;
  private static final double MAX_AMOUNT = 1e9;

  private ShareStateCodec() {}

  /** Writes the key's value as JSON. */
  public static ObjectNode write(SharesState state) {
    ObjectNode value = Json.object().put(FORMAT, FORMAT_VERSION);
    value.put(SHARDS, state.shards()).put(NEXT_MOVE, state.nextMove());
    ArrayNode moves = value.putArray(MOVES);
    state.active().forEach(move -> moves.add(writeColumns(move)));
    ArrayNode ended = value.putArray(ENDED);
    state.ended().forEach(move -> ended.add(writeColumns(move)));
    ArrayNode teams = value.putArray(TEAMS);
    state.teams().forEach(share -> teams.add(writeTeamShare(share)));
    ArrayNode outcomes = value.putArray(OUTCOMES);
    state.recentOrders().forEach(outcome -> outcomes.add(writeOutcome(outcome)));
    return value;
  }

  /** Writes a move as an array without field names, so that many moves fit into one value. */
  private static ArrayNode writeColumns(Move move) {
    ArrayNode columns = Json.array().add(move.id().value()).add(move.machine().value());
    columns.add(move.from().value()).add(move.to().value()).add(move.assignmentEpoch().value());
    columns.add(move.phase().wireName()).add(move.order());
    return columns.add(move.beganMs()).add(move.reason());
  }

  /** Writes a team's share as JSON. */
  static ObjectNode writeTeamShare(TeamShare share) {
    return Json.object()
        .put(TEAM, share.team())
        .put(WEIGHT, share.weight())
        .put(MIN_CPUS, share.minCpus())
        .put(MAX_CPUS, share.maxCpus());
  }

  /** Writes an order's outcome, as it is stored and as the client receives it. */
  public static ObjectNode writeOutcome(ShareOutcome outcome) {
    ObjectNode object =
        Json.object().put(ORDER_ID, outcome.id()).put(CONTENT, outcome.contentDigest());
    object.put(ACCEPTED, outcome.accepted()).put(TEXT, outcome.text());
    ArrayNode moves = object.putArray(MOVES);
    outcome.moves().forEach(move -> moves.add(move.value()));
    return object;
  }

  /**
   * Reads the key's value.
   *
   * @return the state, or empty if the value has another format or holds what no version writes
   */
  public static Optional<SharesState> read(JsonNode value) {
    try {
      return Optional.of(readChecked(value));
    } catch (MalformedMessageException malformed) {
      return Optional.empty();
    }
  }

  private static SharesState readChecked(JsonNode value) throws MalformedMessageException {
    if (Json.countOrMinusOne(value.path(FORMAT)) != FORMAT_VERSION) {
      throw new MalformedMessageException(FORMAT, "must be " + FORMAT_VERSION);
    }
    long next = Fields.readCount(value.path(NEXT_MOVE), NEXT_MOVE);
    List<Move> active = new ArrayList<>();
    for (JsonNode columns : readList(value, MOVES)) {
      Move move = readMove(columns, MOVES);
      boolean isAlreadyMoving =
          active.stream().anyMatch(other -> other.machine().equals(move.machine()));
      if (move.phase().isEnd() || move.id().value() >= next || isAlreadyMoving) {
        throw new MalformedMessageException(
            MOVES, "must be under way, below the next number, and one a machine");
      }
      active.add(move);
    }
    List<Move> ended = new ArrayList<>();
    for (JsonNode columns : readList(value, ENDED)) {
      ended.add(readMove(columns, ENDED));
    }
    List<TeamShare> teams = new ArrayList<>();
    for (JsonNode share : readList(value, TEAMS)) {
      teams.add(readTeamShare(share));
    }
    List<ShareOutcome> outcomes = new ArrayList<>();
    for (JsonNode outcome : readList(value, OUTCOMES)) {
      outcomes.add(readOutcome(outcome));
    }
    return new SharesState(
        Fields.readShardId(value.path(SHARDS), SHARDS).value(),
        next,
        List.copyOf(active),
        List.copyOf(ended),
        List.copyOf(teams),
        List.copyOf(outcomes));
  }

  private static JsonNode readList(JsonNode value, String field) throws MalformedMessageException {
    return Fields.readList(value.path(field), field, MAX_ELEMENTS);
  }

  private static Move readMove(JsonNode columns, String field) throws MalformedMessageException {
    return new Move(
        Fields.readMoveId(columns.path(0), field),
        Fields.readMachineName(columns.path(1), field),
        Fields.readShardId(columns.path(2), field),
        Fields.readShardId(columns.path(3), field),
        new Epoch(Fields.readCount(columns.path(4), field)),
        readPhase(columns.path(5), field),
        Json.text(columns.path(6)),
        Fields.readCount(columns.path(7), field),
        Json.text(columns.path(8)));
  }

  private static MovePhase readPhase(JsonNode value, String field)
      throws MalformedMessageException {
    for (MovePhase phase : MovePhase.values()) {
      if (phase.wireName().equals(Json.text(value))) {
        return phase;
      }
    }
    throw new MalformedMessageException(field, "must name a known phase");
  }

  private static TeamShare readTeamShare(JsonNode share) throws MalformedMessageException {
    return new TeamShare(
        Fields.readText(share.path(TEAM), TEAM),
        Fields.readAmount(share.path(WEIGHT), WEIGHT, MAX_AMOUNT),
        Fields.readAmount(share.path(MIN_CPUS), MIN_CPUS, MAX_AMOUNT),
        Fields.readAmount(share.path(MAX_CPUS), MAX_CPUS, MAX_AMOUNT));
  }

  private static ShareOutcome readOutcome(JsonNode outcome) throws MalformedMessageException {
    List<MoveId> moves = new ArrayList<>();
    for (JsonNode move : readList(outcome, MOVES)) {
      moves.add(Fields.readMoveId(move, MOVES));
    }
    return new ShareOutcome(
        Fields.readText(outcome.path(ORDER_ID), ORDER_ID),
        Json.text(outcome.path(CONTENT)),
        outcome.path(ACCEPTED).asBoolean(),
        Json.text(outcome.path(TEXT)),
        List.copyOf(moves));
  }
}
