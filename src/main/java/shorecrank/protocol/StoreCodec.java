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

/** Answers of the state service as JSON, and requests that are no transactions. */
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

  /** Asks for a grant that runs for so many milliseconds unless it is renewed. */
  public static ObjectNode writeGrantRequest(long ttlMs) {
    return Json.object().put(TTL_MS, ttlMs);
  }

  /** The id of a new grant; negative if the answer holds none. */
  public static long readGrantId(JsonNode answer) {
    return Json.countOrMinusOne(answer.path(GRANT_ID));
  }

  /** The service's revision at the time of an answer; negative if it holds none. */
  public static long readRevision(JsonNode answer) {
    return Json.countOrMinusOne(answer.path(STORE_REVISION));
  }

  /** A key that was read. */
  public static Entry readEntry(JsonNode answer) {
    return new Entry(
        Json.text(answer.path(KEY)),
        answer.path(VALUE),
        new Revision(answer.path(REVISION).asLong()),
        answer.path(GRANT_ID).asLong());
  }

  /** One page of a list. */
  public static List<Entry> readEntries(JsonNode answer) {
    List<Entry> entries = new ArrayList<>();
    answer.path(ENTRIES).forEach(entry -> entries.add(readEntry(entry)));
    return entries;
  }

  /** Whether another page of the list follows. */
  public static boolean hasMore(JsonNode answer) {
    return answer.path(HAS_MORE).asBoolean(false);
  }

  /** The keys whose guards refused a transaction. */
  public static Set<String> readFailedKeys(JsonNode answer) {
    Set<String> keys = new HashSet<>();
    answer.path(FAILED_KEYS).forEach(key -> keys.add(key.asText()));
    return keys;
  }

  /** The changes that a watch has seen, in their order; elements of other kinds are left out. */
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
