package shorecrank.storage;

import shorecrank.protocol.StoreMessages.Entry;

/** The result of reading a key. */
public sealed interface ReadResult {
  /** The key exists and has this value. */
  record Found(Entry entry) implements ReadResult {}

  /**
   * The key does not exist.
   *
   * @param revision the state service's revision when the key was looked up
   */
  record Absent(long revision) implements ReadResult {}

  /** The key could not be read. {@code status} is the HTTP status, or 0 if there was no answer. */
  record Unavailable(int status) implements ReadResult {}
}
