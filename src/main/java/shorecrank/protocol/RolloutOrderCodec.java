package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import shorecrank.protocol.RolloutMessages.OrderKind;
import shorecrank.protocol.RolloutMessages.OrderOutcome;
import shorecrank.protocol.RolloutMessages.RolloutOrder;

/** Encodes and decodes operators' orders on the feature level, and their outcomes, as JSON. */
public final class RolloutOrderCodec {
  private static final String ID = "id";
  private static final String KIND = "order";
  private static final String LEVEL = "level";
  private static final String ACCEPTED = "accepted";
  private static final String TEXT = "text";
  private static final String ARCHIVE = "archive";

  /** Stands for the target of an order that names no level. */
  private static final int NO_LEVEL = -1;

  private RolloutOrderCodec() {}

  /** Writes an order as the client sends it. */
  public static ObjectNode write(RolloutOrder order) {
    ObjectNode message = Json.object().put(ID, order.id()).put(KIND, order.kind().wireName());
    return order.target() < 0 ? message : message.put(LEVEL, order.target());
  }

  /**
   * Reads an order.
   *
   * @throws MalformedMessageException if it has no id, is of no known kind, or its level is out of
   *     range
   */
  public static RolloutOrder read(JsonNode message) throws MalformedMessageException {
    OrderKind kind = readKind(message.path(KIND));
    String id = Fields.readText(message.path(ID), ID);
    int target =
        message.has(LEVEL) ? RolloutCodec.readLevel(message.path(LEVEL), LEVEL).value() : NO_LEVEL;
    return new RolloutOrder(id, kind, target);
  }

  /** Writes an order's outcome, as it is stored and as the client receives it. */
  public static ObjectNode writeOutcome(OrderOutcome outcome) {
    return Json.object()
        .put(ID, outcome.id())
        .put(KIND, outcome.kind().wireName())
        .put(ACCEPTED, outcome.accepted())
        .put(TEXT, outcome.text())
        .put(ARCHIVE, outcome.archive());
  }

  /**
   * Reads an order's outcome.
   *
   * @throws MalformedMessageException if it has no id, does not say whether the order was accepted,
   *     or is of no known kind
   */
  static OrderOutcome readOutcome(JsonNode message) throws MalformedMessageException {
    OrderKind kind = readKind(message.path(KIND));
    String id = Fields.readText(message.path(ID), ID);
    if (!message.path(ACCEPTED).isBoolean()) {
      throw new MalformedMessageException(ACCEPTED, "must be true or false");
    }
    return new OrderOutcome(
        id,
        kind,
        message.path(ACCEPTED).booleanValue(),
        Json.text(message.path(TEXT)),
        Json.text(message.path(ARCHIVE)));
  }

  private static OrderKind readKind(JsonNode value) throws MalformedMessageException {
    for (OrderKind kind : OrderKind.values()) {
      if (kind.wireName().equals(Json.text(value))) {
        return kind;
      }
    }
    throw new MalformedMessageException(KIND, "must name a known order");
  }
}
