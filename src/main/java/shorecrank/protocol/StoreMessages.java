package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import shorecrank.protocol.Ids.Revision;

/** Keys, values and changes of the state service, and transactions on it. */
public final class StoreMessages {
  /**
   * Size up to which a transaction is filled, in bytes. The state service accepts 64 KiB including
   * guards; the rest is a margin.
   */
  public static final int MAX_BATCH_BYTES = 56 * 1024;

  private StoreMessages() {}

  /**
   * Reports whether an HTTP status shows that the request was not carried out and will not be
   * later. Other failures leave it open whether the request was carried out.
   */
  public static boolean isNotCarriedOut(int status) {
    return status == HttpStatus.BAD_REQUEST
        || status == HttpStatus.CONFLICT
        || status == HttpStatus.TOO_MANY_REQUESTS
        || status == HttpStatus.UNAVAILABLE;
  }

  /**
   * A key and its value.
   *
   * @param revision the revision of the key's last change
   * @param grantId the grant that the key is attached to and is removed with; 0 if none
   */
  public record Entry(String key, JsonNode value, Revision revision, long grantId) {}

  /**
   * A change that a watch reports.
   *
   * @param value the new value; null if the key was deleted
   */
  public record Change(String key, JsonNode value, Revision revision) {}

  /**
   * A transaction under construction. The state service applies all its operations if every guard
   * holds, and none otherwise. Not thread-safe.
   */
  public static final class Transaction {
    private final ObjectNode body = Json.object();
    private final ArrayNode guards = body.putArray(StoreCodec.GUARDS);
    private final ArrayNode operations = body.putArray(StoreCodec.OPERATIONS);

    /**
     * Requires that a key's revision is {@code revision}; {@link Revision#ABSENT} requires that the
     * key does not exist.
     */
    public Transaction guard(String key, Revision revision) {
      guards.addObject().put(StoreCodec.KEY, key).put(StoreCodec.REVISION, revision.value());
      return this;
    }

    /** Writes a key's value and detaches the key from its grant. */
    public Transaction write(String key, JsonNode value) {
      operations.addObject().put(StoreCodec.WRITE, key).set(StoreCodec.VALUE, value);
      return this;
    }

    /** Writes a key's value and attaches the key to a grant. */
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

    /** Returns the number of writes and deletions. */
    public int operationCount() {
      return operations.size();
    }

    /** Returns the body of the request that carries out the transaction. */
    public ObjectNode body() {
      return body;
    }
  }
}
