package shorecrank.storage;

import java.util.List;
import shorecrank.protocol.StoreMessages.Change;

/** The result of a watch or of reading changes. */
public sealed interface WatchResult {
  /**
   * All changes after the requested revision; empty if there were none before the service answered.
   *
   * @param revision the revision up to which {@code changes} is complete
   */
  record Changes(List<Change> changes, long revision) implements WatchResult {}

  /**
   * The state service no longer has all changes after the requested revision; the keys have to be
   * listed again.
   */
  record Compacted() implements WatchResult {}

  /**
   * The changes could not be read. {@code status} is the HTTP status, or 0 if there was no answer.
   */
  record Unavailable(int status) implements WatchResult {}
}
