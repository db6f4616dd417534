package shorecrank.storage;

import java.util.List;
import shorecrank.protocol.StoreMessages.Change;

/** What became of a watch. */
public sealed interface WatchResult {
  /**
   * All changes since the revision that was asked for; none if there were none in time.
   *
   * @param revision up to which these are all changes
   */
  record Changes(List<Change> changes, long revision) implements WatchResult {}

  /** The store no longer keeps the changes since that revision: the keys have to be read anew. */
  record Compacted() implements WatchResult {}

  /** Nothing is known of changes; {@code status} is that of HTTP, or 0 without an answer. */
  record Unavailable(int status) implements WatchResult {}
}
