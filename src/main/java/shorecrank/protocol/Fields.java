package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;

/**
 * Reads and validates single JSON values. Each method takes the value and the field's name, which
 * the exception names if the value is not valid.
 */
final class Fields {
  /** Maximum length, in characters, of a text in operators' messages and in stored values. */
  static final int MAX_TEXT = 300;

  private Fields() {}

  /** Reads a whole number from 0 up. */
  static long readCount(JsonNode value, String field) throws MalformedMessageException {
    return readCount(value, field, Long.MAX_VALUE);
  }

  /** Reads a whole number from 0 to {@code max}. */
  static long readCount(JsonNode value, String field, long max) throws MalformedMessageException {
    long count = Json.countOrMinusOne(value);
    if (count < 0 || count > max) {
      throw new MalformedMessageException(field, "must be a whole number from 0 to " + max);
    }
    return count;
  }

  /**
   * Reads a whole number from 0 up; one that an int can't hold is read as {@link
   * Integer#MAX_VALUE}.
   */
  static int readCappedCount(JsonNode value, String field) throws MalformedMessageException {
    return (int) Math.min(Integer.MAX_VALUE, readCount(value, field));
  }

  /** Reads a whole or fractional number from 0 to {@code max}. */
  static double readAmount(JsonNode value, String field, double max)
      throws MalformedMessageException {
    double amount = value.isNumber() ? value.doubleValue() : -1;
    if (!(amount >= 0 && amount <= max)) {
      throw new MalformedMessageException(field, "must be a number from 0 to " + max);
    }
    return amount;
  }

  /** Reads a text that is not empty, of any length. */
  static String readNonEmptyText(JsonNode value, String field) throws MalformedMessageException {
    String name = Json.text(value);
    if (name.isEmpty()) {
      throw new MalformedMessageException(field, "must be a text that is not empty");
    }
    return name;
  }

  /** Reads a text of 1 to {@link #MAX_TEXT} characters. */
  static String readText(JsonNode value, String field) throws MalformedMessageException {
    String text = Json.text(value);
    if (text.isEmpty() || text.length() > MAX_TEXT) {
      throw new MalformedMessageException(
          field, "must be a text of 1 to " + MAX_TEXT + " characters");
    }
    return text;
  }

  /** Reads a machine's name of 1 to {@link #MAX_TEXT} characters. */
  static MachineName readMachineName(JsonNode value, String field)
      throws MalformedMessageException {
    return new MachineName(readText(value, field));
  }

  /** Reads a move's id, a whole number from 1 up. */
  static MoveId readMoveId(JsonNode value, String field) throws MalformedMessageException {
    long id = readCount(value, field);
    if (id == 0) {
      throw new MalformedMessageException(field, "must be the number of a move");
    }
    return new MoveId(id);
  }

  /** Reads a move's id; {@link MoveId#NONE} if the value is not a whole number from 1 up. */
  static MoveId readMoveIdOrNone(JsonNode value) {
    return new MoveId(Math.max(0, Json.countOrMinusOne(value)));
  }

  /** Reads a shard's number, from 0 up. */
  static ShardId readShardId(JsonNode value, String field) throws MalformedMessageException {
    return new ShardId((int) readCount(value, field, Integer.MAX_VALUE));
  }

  /**
   * Checks that a list has at most {@code max} elements, and returns it. A value that is absent, or
   * is not a list, counts as one without elements.
   */
  static JsonNode readList(JsonNode value, String field, int max) throws MalformedMessageException {
    if (value.size() > max) {
      throw new MalformedMessageException(field, "must have at most " + max + " elements");
    }
    return value;
  }
}
