package shorecrank.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Base64;
import java.util.List;
import shorecrank.protocol.Json;

/** Where archives stand in the state service: one key for each, and its bytes in chunks. */
public final class ArchiveKeys {
  private ArchiveKeys() {}

  /** One key for each archive, written before its first chunk and again after its last. */
  public static final String INDEX = "archives/";

  /** The chunks of all archives. */
  public static final String CHUNKS = "archive-data/";

  private static final String BYTES = "base64";
  private static final String COMPLETE = "complete";
  private static final String CHUNK_COUNT = "chunks";
  private static final String SIZE = "bytes";

  /** Base64 makes four characters of three bytes, and a value has a little around it. */
  private static final double VALUE_FILL = 0.7;

  /**
   * What an archive is made of: all keys of the service but those on grants, which name processes
   * and are of no use later, and archives themselves.
   */
  public static final List<String> PREFIXES =
      List.of("catalog", "epoch", "f/", "hosts/", "j/", "part/", "rollout", "shares");

  /** An archive's index entry; {@code chunks} counts those written so far. */
  public record IndexEntry(String id, boolean complete, int chunks, long bytes) {
    ObjectNode write() {
      return Json.object().put(COMPLETE, complete).put(CHUNK_COUNT, chunks).put(SIZE, bytes);
    }
  }

  /** Reads an index entry; null if malformed. */
  public static IndexEntry read(String key, JsonNode n) {
    long chunks = Json.count(n.path(CHUNK_COUNT));
    long bytes = Json.count(n.path(SIZE));
    if (!key.startsWith(INDEX) || chunks < 0 || chunks > Integer.MAX_VALUE || bytes < 0) {
      return null;
    }
    return new IndexEntry(
        key.substring(INDEX.length()), n.path(COMPLETE).asBoolean(), (int) chunks, bytes);
  }

  /** The key of an archive's index entry. */
  public static String index(String id) {
    return INDEX + id;
  }

  /** The key of a chunk; the first is 0. */
  public static String chunk(String id, int number) {
    return CHUNKS + id + "/" + "%06d".formatted(number);
  }

  static ObjectNode writeChunk(byte[] bytes) {
    return Json.object().put(BYTES, Base64.getEncoder().encodeToString(bytes));
  }

  /** The bytes of a chunk; null if malformed. */
  public static byte[] readChunk(JsonNode n) {
    try {
      String text = Json.text(n.path(BYTES));
      return text.isEmpty() ? null : Base64.getDecoder().decode(text);
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  /** The bytes that a chunk may hold where a value may have so many. */
  static int chunkBytes(int valueBytes) {
    return Math.max(1, (int) (valueBytes * VALUE_FILL) - 16);
  }
}
