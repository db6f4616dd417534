package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.StoreMessages.Change;
import shorecrank.protocol.StoreMessages.Entry;

/**
 * Encodes and decodes the messages exchanged with the state service as JSON, except transactions,
 * which {@link StoreMessages.Transaction} encodes.
 */
public final class StoreCodec {
  static final String KEY = "k";
  static final String VALUE = "data";
  static final String REVISION = "stamp";
  static final String GRANT_ID = "hold";
  static final String GUARDS = "guards";
  static final String OPERATIONS = "apply";
  static final String WRITE = "write";
  static final String DELETE = "drop";

  private static final String TTL_MS = "ttlMs";
  private static final String STORE_REVISION = "ledgerRev";
  private static final String ENTRIES = "entries";
  private static final String HAS_MORE = "truncated";
  private static final String FAILED_KEYS = "failed";
  private static final String CHANGES = "news";

  private StoreCodec() {}

  /**
   * Writes a request for a grant that expires after {@code ttlMs} milliseconds unless it is
   * renewed.
   */
  public static ObjectNode writeGrantRequest(long ttlMs) {
    return Json.object().put(TTL_MS, ttlMs);
  }

  /** Reads the id of a new grant; -1 if the answer holds none. */
  public static long readGrantId(JsonNode answer) {
    return Json.countOrMinusOne(answer.path(GRANT_ID));
  }

  /** Reads the state service's revision at the time of an answer; -1 if the answer holds none. */
  public static long readRevision(JsonNode answer) {
    return Json.countOrMinusOne(answer.path(STORE_REVISION));
  }

  /** Reads a key with its value. */
  public static Entry readEntry(JsonNode answer) {
    return new Entry(
        Json.text(answer.path(KEY)),
        answer.path(VALUE),
        new Revision(answer.path(REVISION).asLong()),
        answer.path(GRANT_ID).asLong());
  }

  /** Reports whether an answer holds a value with its revision. */
  public static boolean isEntry(JsonNode answer) {
    return answer.has(VALUE) && Json.countOrMinusOne(answer.path(REVISION)) >= 0;
  }

  /** Reports whether an answer is a page of a list of keys, which may be empty. */
  public static boolean isPage(JsonNode answer) {
    return answer.path(ENTRIES).isArray() && readRevision(answer) >= 0;
  }

  /** Reports whether an answer is a list of changes, which may be empty. */
  public static boolean isChanges(JsonNode answer) {
    return answer.path(CHANGES).isArray() && readRevision(answer) >= 0;
  }

  /** Reads one page of a list of keys. */
  public static List<Entry> readEntries(JsonNode answer) {
    List<Entry> entries = new ArrayList<>();
    answer.path(ENTRIES).forEach(entry -> entries.add(readEntry(entry)));
    return entries;
  }

  /** Reports whether another page of the list follows. */
  public static boolean hasMore(JsonNode answer) {
    return answer.path(HAS_MORE).asBoolean(false);
  }

  /** Reads the keys whose guards made a transaction fail. */
  public static Set<String> readFailedKeys(JsonNode answer) {
    Set<String> keys = new HashSet<>();
    answer.path(FAILED_KEYS).forEach(key -> keys.add(key.asText()));
    return keys;
  }

  /**
   * Reads the changes that a watch reports, in their order; kinds of changes that this version does
   * not know are left out.
   */
  public static List<Change> readChanges(JsonNode answer) {
    List<Change> changes = new ArrayList<>();
    for (JsonNode change : answer.path(CHANGES)) {
      Revision revision = new Revision(change.path(REVISION).asLong());
      if (change.has(WRITE)) {
        changes.add(new Change(change.path(WRITE).asText(), change.path(VALUE), revision));
      } else if (change.has(DELETE)) {
        changes.add(new Change(change.path(DELETE).asText(), null, revision));
      }
    }
    return changes;
  }
}
