package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;

/**
 * Checked reading of single values. Each method takes the value and the name under which it is
 * reported when it is refused.
 */
final class Fields {
  /** The longest text that operators' messages and stored values may hold, in characters. */
  static final int MAX_TEXT = 300;

  private Fields() {}

  /** A whole number from 0 up. */
  static long readCount(JsonNode value, String field) throws MalformedMessageException {
    return readCount(value, field, Long.MAX_VALUE);
  }

  /** A whole number from 0 to {@code max}. */
  static long readCount(JsonNode value, String field, long max) throws MalformedMessageException {
    long count = Json.countOrMinusOne(value);
    if (count < 0 || count > max) {
      throw new MalformedMessageException(field, "must be a whole number from 0 to " + max);
    }
    return count;
  }

  /** A whole number from 0 up; larger ones than an int holds become the largest int. */
  static int readCappedCount(JsonNode value, String field) throws MalformedMessageException {
    return (int) Math.min(Integer.MAX_VALUE, readCount(value, field));
  }

  /** A number from 0 to {@code max}. */
  static double readAmount(JsonNode value, String field, double max)
      throws MalformedMessageException {
    double amount = value.isNumber() ? value.doubleValue() : -1;
    if (!(amount >= 0 && amount <= max)) {
      throw new MalformedMessageException(field, "must be a number from 0 to " + max);
    }
    return amount;
  }

  /** A text that is not empty, of any length. */
  static String readNonEmptyText(JsonNode value, String field) throws MalformedMessageException {
    String name = Json.text(value);
    if (name.isEmpty()) {
      throw new MalformedMessageException(field, "must be a text that is not empty");
    }
    return name;
  }

  /** A text of 1 to {@link #MAX_TEXT} characters. */
  static String readText(JsonNode value, String field) throws MalformedMessageException {
    String text = Json.text(value);
    if (text.isEmpty() || text.length() > MAX_TEXT) {
      throw new MalformedMessageException(
          field, "must be a text of 1 to " + MAX_TEXT + " characters");
    }
    return text;
  }

  /** A machine's name, of at most {@link #MAX_TEXT} characters. */
  static MachineName readMachineName(JsonNode value, String field)
      throws MalformedMessageException {
    return new MachineName(readText(value, field));
  }

  /** A move's id, from 1 up. */
  static MoveId readMoveId(JsonNode value, String field) throws MalformedMessageException {
    long id = readCount(value, field);
    if (id == 0) {
      throw new MalformedMessageException(field, "must be the number of a move");
    }
    return new MoveId(id);
  }

  /** A move's id, or {@link MoveId#NONE} if the field holds none. */
  static MoveId readMoveIdOrNone(JsonNode value) {
    return new MoveId(Math.max(0, Json.countOrMinusOne(value)));
  }

  /** A shard's number. */
  static ShardId readShardId(JsonNode value, String field) throws MalformedMessageException {
    return new ShardId((int) readCount(value, field, Integer.MAX_VALUE));
  }

  /** A list of at most {@code max} elements; one that is absent is empty. */
  static JsonNode readList(JsonNode value, String field, int max) throws MalformedMessageException {
    if (value.size() > max) {
      throw new MalformedMessageException(field, "must have at most " + max + " elements");
    }
    return value;
  }
}
