package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import shorecrank.protocol.Ids.Revision;

/** What the state service holds, and transactions on it. */
public final class StoreMessages {
  /** A transaction is filled up to here: the service takes 64 KiB, guards included. */
  public static final int MAX_BATCH_BYTES = 56 * 1024;

  private StoreMessages() {}

  /** Whether a status says that the request was not carried out and never will be. */
  public static boolean isNotCarriedOut(int status) {
    return status == HttpStatus.BAD_REQUEST
        || status == HttpStatus.CONFLICT
        || status == HttpStatus.TOO_MANY_REQUESTS
        || status == HttpStatus.UNAVAILABLE;
  }

  /**
   * A key and its value.
   *
   * @param revision of the key's last change
   * @param grantId the grant that the key is attached to and is removed with; 0 if none
   */
  public record Entry(String key, JsonNode value, Revision revision, long grantId) {}

  /**
   * A change that a watch has seen.
   *
   * @param value null if the key was deleted
   */
  public record Change(String key, JsonNode value, Revision revision) {}

  /**
   * A transaction while it is put together. It is carried out as a whole, if every guard holds, or
   * not at all. Not safe for use by several threads.
   */
  public static final class Transaction {
    private final ObjectNode body = Json.object();
    private final ArrayNode guards = body.putArray(StoreCodec.GUARDS);
    private final ArrayNode operations = body.putArray(StoreCodec.OPERATIONS);

    /** Requires a key's revision; {@link Revision#ABSENT} requires that it does not exist. */
    public Transaction guard(String key, Revision revision) {
      guards.addObject().put(StoreCodec.KEY, key).put(StoreCodec.REVISION, revision.value());
      return this;
    }

    /** Writes a key's value and detaches it from its grant. */
    public Transaction write(String key, JsonNode value) {
      operations.addObject().put(StoreCodec.WRITE, key).set(StoreCodec.VALUE, value);
      return this;
    }

    /** Writes a key's value and attaches it to a grant. */
    public Transaction write(String key, JsonNode value, long grantId) {
      ObjectNode operation = operations.addObject();
      operation.put(StoreCodec.WRITE, key).put(StoreCodec.GRANT_ID, grantId);
      operation.set(StoreCodec.VALUE, value);
      return this;
    }

    /** Deletes a key. */
    public Transaction delete(String key) {
      operations.addObject().put(StoreCodec.DELETE, key);
      return this;
    }

    /** The number of writes and deletions. */
    public int operationCount() {
      return operations.size();
    }

    /** The request's body. */
    public ObjectNode body() {
      return body;
    }
  }
}
