package shorecrank.storage;

import shorecrank.protocol.StoreMessages.Entry;

/** What became of reading a key. */
public sealed interface ReadResult {
  /** The key exists. */
  record Found(Entry entry) implements ReadResult {}

  /**
   * The key does not exist.
   *
   * @param revision of the store when the key was looked up
   */
  record Absent(long revision) implements ReadResult {}

  /** Nothing is known of the key; {@code status} is that of HTTP, or 0 without an answer. */
  record Unavailable(int status) implements ReadResult {}
}
