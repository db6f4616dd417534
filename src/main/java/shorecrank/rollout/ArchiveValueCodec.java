package shorecrank.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Base64;
import java.util.Optional;
import shorecrank.protocol.Json;
import shorecrank.rollout.ArchiveKeys.IndexEntry;

/** Encodes and decodes the stored index entries and chunks of archives. */
public final class ArchiveValueCodec {
  private static final String BASE64 = "base64";
  private static final String COMPLETE = "complete";
  private static final String CHUNK_COUNT = "chunks";
  private static final String SIZE_BYTES = "bytes";

  private ArchiveValueCodec() {}

  /** Encodes an index entry. */
  static JsonNode writeIndex(IndexEntry entry) {
    return Json.object()
        .put(COMPLETE, entry.isComplete())
        .put(CHUNK_COUNT, entry.chunks())
        .put(SIZE_BYTES, entry.bytes());
  }

  /**
   * Decodes an index entry.
   *
   * @param key the key under which the entry is stored; it ends with the archive's id
   * @return empty if the key or the value is malformed
   */
  public static Optional<IndexEntry> readIndex(String key, JsonNode stored) {
    long chunks = Json.countOrMinusOne(stored.path(CHUNK_COUNT));
    long bytes = Json.countOrMinusOne(stored.path(SIZE_BYTES));
    if (!key.startsWith(ArchiveKeys.INDEX_PREFIX)
        || chunks < 0
        || chunks > Integer.MAX_VALUE
        || bytes < 0) {
      return Optional.empty();
    }
    String id = key.substring(ArchiveKeys.INDEX_PREFIX.length());
    return Optional.of(new IndexEntry(id, stored.path(COMPLETE).asBoolean(), (int) chunks, bytes));
  }

  /** Encodes the bytes of a chunk. */
  static JsonNode writeChunk(byte[] bytes) {
    return Json.object().put(BASE64, Base64.getEncoder().encodeToString(bytes));
  }

  /**
   * Decodes the bytes of a chunk.
   *
   * @return null if the value is malformed or holds no bytes
   */
  public static byte[] readChunk(JsonNode stored) {
    try {
      String text = Json.text(stored.path(BASE64));
      return text.isEmpty() ? null : Base64.getDecoder().decode(text);
    } catch (IllegalArgumentException e) {
      return null;
    }
  }
}
