package shorecrank.rollout;

import java.util.List;

/**
 * The keys under which archives are stored in the state service: an index entry for each archive,
 * and its content split into chunks of one key each.
 */
public final class ArchiveKeys {
  /**
   * Prefix of the index entries' keys. Each archive's entry is written before its first chunk and
   * updated after its last one.
   */
  public static final String INDEX_PREFIX = "archives/";

  /** Prefix of the keys of all archives' chunks. */
  public static final String CHUNKS_PREFIX = "archive-data/";

  /**
   * Prefixes of the keys that an archive holds: all keys of the state service except grants, which
   * belong to processes and are useless after they end, and the archives themselves.
   */
  public static final List<String> ARCHIVED_PREFIXES =
      List.of("catalog", "epoch", "f/", "hosts/", "j/", "part/", "rollout", "shares");

  /**
   * Bytes of a chunk per byte of its stored value: Base64 leaves 0.75, and JSON takes a little
   * more.
   */
  private static final double CHUNK_SHARE_OF_VALUE = 0.7;

  private static final int VALUE_OVERHEAD_BYTES = 16;

  private ArchiveKeys() {}

  /**
   * The index entry of an archive.
   *
   * @param id the archive's id
   * @param isComplete whether the whole archive has been written
   * @param chunks the number of chunks when the entry was written
   * @param bytes the total size of these chunks before Base64 encoding
   */
  public record IndexEntry(String id, boolean isComplete, int chunks, long bytes) {}

  /** Returns the key of an archive's index entry. */
  public static String indexKey(String id) {
    return INDEX_PREFIX + id;
  }

  /** Returns the prefix of the keys of an archive's chunks. */
  public static String chunkPrefix(String id) {
    return CHUNKS_PREFIX + id + "/";
  }

  /** Returns the key of a chunk; numbers start at 0. */
  public static String chunkKey(String id, int number) {
    return chunkPrefix(id) + "%06d".formatted(number);
  }

  /**
   * Returns the maximum size of a chunk in bytes.
   *
   * @param maxValueBytes the maximum size of a value in the state service, in bytes
   */
  static int maxChunkBytes(int maxValueBytes) {
    return Math.max(1, (int) (maxValueBytes * CHUNK_SHARE_OF_VALUE) - VALUE_OVERHEAD_BYTES);
  }
}
