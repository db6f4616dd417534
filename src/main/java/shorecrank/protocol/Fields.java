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
  static long count(JsonNode value, String field) throws MalformedMessageException {
    return count(value, field, Long.MAX_VALUE);
  }

  /** A whole number from 0 to {@code most}. */
  static long count(JsonNode value, String field, long most) throws MalformedMessageException {
    long count = Json.countOrMinusOne(value);
    if (count < 0 || count > most) {
      throw new MalformedMessageException(field, "must be a whole number from 0 to " + most);
    }
    return count;
  }

  /** A whole number from 0 up; larger ones than an int holds become the largest int. */
  static int cappedCount(JsonNode value, String field) throws MalformedMessageException {
    return (int) Math.min(Integer.MAX_VALUE, count(value, field));
  }

  /** A number from 0 to {@code most}. */
  static double amount(JsonNode value, String field, double most) throws MalformedMessageException {
    double amount = value.isNumber() ? value.doubleValue() : -1;
    if (!(amount >= 0 && amount <= most)) {
      throw new MalformedMessageException(field, "must be a number from 0 to " + most);
    }
    return amount;
  }

  /** A text that is not empty, of any length. */
  static String name(JsonNode value, String field) throws MalformedMessageException {
    String name = Json.text(value);
    if (name.isEmpty()) {
      throw new MalformedMessageException(field, "must be a text that is not empty");
    }
    return name;
  }

  /** A text of 1 to {@link #MAX_TEXT} characters. */
  static String text(JsonNode value, String field) throws MalformedMessageException {
    String text = Json.text(value);
    if (text.isEmpty() || text.length() > MAX_TEXT) {
      throw new MalformedMessageException(
          field, "must be a text of 1 to " + MAX_TEXT + " characters");
    }
    return text;
  }

  /** A machine's name, of at most {@link #MAX_TEXT} characters. */
  static MachineName machine(JsonNode value, String field) throws MalformedMessageException {
    return new MachineName(text(value, field));
  }

  /** A move's id, from 1 up. */
  static MoveId move(JsonNode value, String field) throws MalformedMessageException {
    long id = count(value, field);
    if (id == 0) {
      throw new MalformedMessageException(field, "must be the number of a move");
    }
    return new MoveId(id);
  }

  /** A move's id, or {@link MoveId#NONE} if the field holds none. */
  static MoveId moveOrNone(JsonNode value) {
    return new MoveId(Math.max(0, Json.countOrMinusOne(value)));
  }

  /** A shard's number. */
  static ShardId shard(JsonNode value, String field) throws MalformedMessageException {
    return new ShardId((int) count(value, field, Integer.MAX_VALUE));
  }

  /** A list of at most {@code most} elements; one that is absent is empty. */
  static JsonNode list(JsonNode value, String field, int most) throws MalformedMessageException {
    if (value.size() > most) {
      throw new MalformedMessageException(field, "must have at most " + most + " elements");
    }
    return value;
  }
}
