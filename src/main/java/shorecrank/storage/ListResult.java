package shorecrank.storage;

import java.util.List;
import shorecrank.protocol.StoreMessages.Entry;

/** What became of reading a page of keys. */
public sealed interface ListResult {
  /**
   * A page.
   *
   * @param revision of the store when the page was read
   * @param more whether keys follow after the last of these
   */
  record Page(List<Entry> entries, long revision, boolean more) implements ListResult {}

  /** Nothing is known of the keys; {@code status} is that of HTTP, or 0 without an answer. */
  record Unavailable(int status) implements ListResult {}
}
