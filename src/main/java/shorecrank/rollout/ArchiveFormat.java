package shorecrank.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.Map;
import java.util.regex.Pattern;
import shorecrank.protocol.Json;
import shorecrank.protocol.StoreMessages.Change;
import shorecrank.protocol.StoreMessages.Entry;

/**
 * The form of an archive of the state service's keys: a tar file, compressed with Zstandard.
 *
 * <p>Files {@code entries/N.json} hold keys as they were listed, in pages; {@code changes/N.json}
 * what changed while the list was read. {@code manifest.json} comes last and names every file with
 * its SHA-256.
 */
public final class ArchiveFormat {
  private ArchiveFormat() {}

  /** The only form written and read so far. */
  public static final int VERSION = 1;

  static final String MANIFEST = "manifest.json";
  static final String VERSION_FIELD = "format";
  static final String FILES = "files";
  static final String SHA256 = "sha256";
  static final String NAME = "name";

  /** What else a tar file may hold is no part of an archive. */
  static final Pattern FILE_NAME = Pattern.compile("(entries|changes)/[0-9]{6}\\.json");

  static final String ENTRIES = "entries";
  static final String CHANGES = "changes";

  /** A key's value and the revision of its last change. */
  public record Version(JsonNode data, long revision) {}

  /**
   * What an archive says of itself.
   *
   * @param consistent whether it shows the keys as they were at {@code revision}; if not, each is
   *     as it was at some moment from {@code firstRevision} to {@code revision}
   */
  public record Manifest(
      String id,
      String build,
      int level,
      long firstRevision,
      long revision,
      boolean consistent,
      long madeAtMs) {
    ObjectNode write() {
      return Json.object()
          .put(VERSION_FIELD, VERSION)
          .put("id", id)
          .put("build", build)
          .put("level", level)
          .put("firstRevision", firstRevision)
          .put("revision", revision)
          .put("consistent", consistent)
          .put("madeAtMs", madeAtMs);
    }

    /** Null if fields are missing. */
    static Manifest read(JsonNode n) {
      long level = Json.count(n.path("level"));
      long first = Json.count(n.path("firstRevision"));
      long revision = Json.count(n.path("revision"));
      long madeAt = Json.count(n.path("madeAtMs"));
      if (level < 0 || first < 0 || revision < 0 || madeAt < 0) {
        return null;
      }
      return new Manifest(
          Json.text(n.path("id")),
          Json.text(n.path("build")),
          (int) level,
          first,
          revision,
          n.path("consistent").asBoolean(),
          madeAt);
    }
  }

  static byte[] entries(Collection<Entry> page) {
    ArrayNode all = Json.array();
    for (Entry e : page) {
      ObjectNode one = all.addObject().put("k", e.key()).put("revision", e.revision().value());
      one.set("data", e.value());
    }
    return Json.bytes(all);
  }

  static byte[] changes(Collection<Change> changes) {
    ArrayNode all = Json.array();
    for (Change c : changes) {
      ObjectNode one = all.addObject().put("k", c.key()).put("revision", c.revision().value());
      if (c.value() != null) {
        one.set("data", c.value());
      }
    }
    return Json.bytes(all);
  }

  /** Takes a file's keys into a picture; one without data was removed. False if malformed. */
  static boolean read(JsonNode file, Map<String, Version> into) {
    if (!file.isArray()) {
      return false;
    }
    for (JsonNode one : file) {
      String key = Json.text(one.path("k"));
      long revision = Json.count(one.path("revision"));
      if (key.isEmpty() || revision < 0) {
        return false;
      }
      Version known = into.get(key);
      if (known != null && known.revision() > revision) {
        continue;
      }
      if (one.has("data")) {
        into.put(key, new Version(one.path("data"), revision));
      } else {
        into.remove(key);
      }
    }
    return true;
  }
}
