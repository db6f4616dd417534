package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShareOrderMessages.AbortMoves;
import shorecrank.protocol.ShareOrderMessages.MoveMachines;
import shorecrank.protocol.ShareOrderMessages.SetShare;
import shorecrank.protocol.ShareOrderMessages.ShareOrder;

/** Encodes and decodes operators' orders on shares and moves as JSON. */
public final class ShareOrderCodec {
  private static final String ID = "id";
  private static final String DRY_RUN = "dryRun";

  private static final String KIND = "order";
  private static final String SET = "set";
  private static final String MOVE = "move";
  private static final String ABORT = "abort";

  private static final String TEAM = "team";
  private static final String WEIGHT = "weight";
  private static final String MIN_CPUS = "minCpus";
  private static final String MAX_CPUS = "maxCpus";

  private static final String MACHINES = "machines";
  private static final String FROM = "from";
  private static final String TO = "to";
  private static final String COUNT = "count";

  private static final String ABORTED_MOVE = "move";
  private static final String ABORTED_ORDER = "of";
  private static final String ABORT_ALL = "all";

  private static final int MAX_MACHINES = 4096;

  private ShareOrderCodec() {}

  /** Writes an order as the client sends it. */
  public static ObjectNode write(ShareOrder order) {
    ObjectNode message = Json.object().put(ID, order.id()).put(DRY_RUN, order.dryRun());
    if (order instanceof SetShare set) {
      putSetShare(message, set);
    } else if (order instanceof MoveMachines move) {
      putMoveMachines(message, move);
    } else if (order instanceof AbortMoves abort) {
      message.put(KIND, ABORT).put(ABORTED_MOVE, abort.move().value());
      message.put(ABORTED_ORDER, abort.order()).put(ABORT_ALL, abort.all());
    }
    return message;
  }

  private static void putSetShare(ObjectNode message, SetShare order) {
    message.put(KIND, SET).put(TEAM, order.team());
    putUnlessNull(message, WEIGHT, order.weight());
    putUnlessNull(message, MIN_CPUS, order.minCpus());
    putUnlessNull(message, MAX_CPUS, order.maxCpus());
  }

  private static void putUnlessNull(ObjectNode message, String field, Double value) {
    if (value != null) {
      message.put(field, value);
    }
  }

  private static void putMoveMachines(ObjectNode message, MoveMachines order) {
    message.put(KIND, MOVE).put(TO, order.to().value()).put(COUNT, order.count());
    ArrayNode machines = message.putArray(MACHINES);
    order.machines().forEach(machine -> machines.add(machine.value()));
    if (order.from() != null) {
      message.put(FROM, order.from().value());
    }
  }

  /**
   * Reads an order.
   *
   * @throws MalformedMessageException if it is of no known kind, or a field is missing or not of
   *     its type
   */
  public static ShareOrder read(JsonNode message) throws MalformedMessageException {
    String id = Fields.readText(message.path(ID), ID);
    boolean dryRun = message.path(DRY_RUN).asBoolean(false);
    return switch (Json.text(message.path(KIND))) {
      case SET ->
          new SetShare(
              id,
              dryRun,
              Fields.readText(message.path(TEAM), TEAM),
              readNumberOrNull(message, WEIGHT),
              readNumberOrNull(message, MIN_CPUS),
              readNumberOrNull(message, MAX_CPUS));
      case MOVE -> readMoveMachines(id, dryRun, message);
      case ABORT ->
          new AbortMoves(
              id,
              dryRun,
              Fields.readMoveIdOrNone(message.path(ABORTED_MOVE)),
              Json.text(message.path(ABORTED_ORDER)),
              message.path(ABORT_ALL).asBoolean(false));
      default -> throw new MalformedMessageException(KIND, "must be set, move or abort");
    };
  }

  private static MoveMachines readMoveMachines(String id, boolean dryRun, JsonNode message)
      throws MalformedMessageException {
    List<MachineName> machines = new ArrayList<>();
    for (JsonNode machine : Fields.readList(message.path(MACHINES), MACHINES, MAX_MACHINES)) {
      machines.add(Fields.readMachineName(machine, MACHINES));
    }
    ShardId from = message.has(FROM) ? Fields.readShardId(message.path(FROM), FROM) : null;
    int count = Fields.readCappedCount(message.path(COUNT), COUNT);
    boolean isByName = from == null && count == 0 && !machines.isEmpty();
    boolean isByCount = from != null && count > 0 && machines.isEmpty();
    if (!isByName && !isByCount) {
      throw new MalformedMessageException(
          MACHINES, "must be named, or a number of them with the shard that gives them");
    }
    return new MoveMachines(
        id, dryRun, machines, from, count, Fields.readShardId(message.path(TO), TO));
  }

  /**
   * Reads a number; null if the field is absent. A negative number is left to the order's handler,
   * which refuses it with a reason for the operator.
   */
  private static Double readNumberOrNull(JsonNode message, String field)
      throws MalformedMessageException {
    JsonNode value = message.path(field);
    if (value.isMissingNode() || value.isNull()) {
      return null;
    }
    if (!value.isNumber()) {
      throw new MalformedMessageException(field, "must be a number");
    }
    return value.doubleValue();
  }
}
