package shorecrank.rollout;

import java.util.List;

/** Where archives stand in the state service: one key for each, and its bytes in chunks. */
public final class ArchiveKeys {
  /** Index entries, one for each archive: written before its first chunk and after its last. */
  public static final String INDEX_PREFIX = "archives/";

  /** The chunks of all archives. */
  public static final String CHUNKS_PREFIX = "archive-data/";

  /**
   * The prefixes of the keys that an archive holds: all keys of the service but those on grants,
   * which name processes and are of no use later, and archives themselves.
   */
  public static final List<String> ARCHIVED_PREFIXES =
      List.of("catalog", "epoch", "f/", "hosts/", "j/", "part/", "rollout", "shares");

  /** Base64 makes four characters of three bytes, and the stored value has a few more around. */
  private static final double CHUNK_SHARE_OF_VALUE = 0.7;

  private static final int VALUE_OVERHEAD_BYTES = 16;

  private ArchiveKeys() {}

  /**
   * An archive's index entry.
   *
   * @param isComplete whether the archive was written to its end
   * @param chunks how many chunks were written so far
   * @param bytes the size of these chunks together
   */
  public record IndexEntry(String id, boolean isComplete, int chunks, long bytes) {}

  /** The key of an archive's index entry. */
  public static String indexKey(String id) {
    return INDEX_PREFIX + id;
  }

  /** The prefix of the keys of an archive's chunks. */
  public static String chunkPrefix(String id) {
    return CHUNKS_PREFIX + id + "/";
  }

  /** The key of a chunk; the first is 0. */
  public static String chunkKey(String id, int number) {
    return chunkPrefix(id) + "%06d".formatted(number);
  }

  /** The most bytes of a chunk where a value may have {@code maxValueBytes}. */
  static int maxChunkBytes(int maxValueBytes) {
    return Math.max(1, (int) (maxValueBytes * CHUNK_SHARE_OF_VALUE) - VALUE_OVERHEAD_BYTES);
  }
}
