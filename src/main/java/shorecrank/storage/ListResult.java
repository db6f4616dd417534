package shorecrank.storage;

import java.util.List;
import shorecrank.protocol.StoreMessages.Entry;

/** The result of listing a page of keys. */
public sealed interface ListResult {
  /**
   * A page of keys with their values.
   *
   * @param entries the keys and values, in ascending order of the keys
   * @param revision the state service's revision when the page was read
   * @param more whether there are further keys after the last one of this page
   */
  record Page(List<Entry> entries, long revision, boolean more) implements ListResult {}

  /** The page could not be read. {@code status} is the HTTP status, or 0 if there was no answer. */
  record Unavailable(int status) implements ListResult {}
}
