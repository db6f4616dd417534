package shorecrank.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import shorecrank.protocol.Json;
import shorecrank.protocol.MalformedMessageException;
import shorecrank.protocol.StoreMessages.Change;
import shorecrank.protocol.StoreMessages.Entry;

/**
 * The format of an archive of the state service's keys: a tar file compressed with Zstandard.
 *
 * <p>The files {@code entries/N.json} hold the keys page by page, as they were listed. The files
 * {@code changes/N.json} hold the changes that were made while the keys were listed. {@code
 * manifest.json} is the last file and names every other file with its SHA-256 digest.
 */
public final class ArchiveFormat {
  /** The version of the format that is written, and the only one that is read. */
  public static final int FORMAT_VERSION = 1;

  static final String MANIFEST_FILE = "manifest.json";

  /** Matches the names of all files of an archive except the manifest. */
  static final Pattern FILE_NAME = Pattern.compile("(entries|changes)/[0-9]{6}\\.json");

  private static final String FILE_NAME_FORMAT = "%s/%06d.json";
  private static final String ENTRIES = "entries";
  private static final String CHANGES = "changes";

  private static final String FORMAT = "format";
  private static final String ID = "id";
  private static final String BUILD = "build";
  private static final String LEVEL = "level";
  private static final String FIRST_REVISION = "firstRevision";
  private static final String REVISION = "revision";
  private static final String CONSISTENT = "consistent";
  private static final String MADE_AT_MS = "madeAtMs";
  private static final String FILES = "files";
  private static final String NAME = "name";
  private static final String SHA256 = "sha256";
  private static final String KEY = "k";
  private static final String DATA = "data";

  private ArchiveFormat() {}

  /** A key's value with the revision of the key's last change. */
  public record VersionedValue(JsonNode data, long revision) {}

  /**
   * Describes an archive.
   *
   * @param id the archive's id
   * @param build the version of the program that wrote the archive
   * @param level the feature level in force when the archive was started
   * @param firstRevision the revision of the state service when the first page of keys was listed
   * @param revision the revision whose state of the keys the archive holds
   * @param consistent whether all values are those at {@code revision}; if false, each value was
   *     current at some revision from {@code firstRevision} to {@code revision}
   * @param madeAtMs the wall-clock time at which the manifest was written, in milliseconds since
   *     1970
   */
  public record Manifest(
      String id,
      String build,
      int level,
      long firstRevision,
      long revision,
      boolean consistent,
      long madeAtMs) {}

  /** A file as the manifest lists it; {@code sha256} is the digest in hexadecimal. */
  record FileEntry(String name, String sha256) {}

  /**
   * The decoded content of {@code manifest.json}.
   *
   * @param version the version of the format; negative if the field is missing or not a number
   * @param manifest the description of the archive; empty if a field is missing or malformed
   * @param files the files that the manifest lists
   */
  record ManifestFile(long version, Optional<Manifest> manifest, List<FileEntry> files) {}

  /** Returns the name of a file with a page of keys; numbers start at 1. */
  static String entriesFileName(int number) {
    return FILE_NAME_FORMAT.formatted(ENTRIES, number);
  }

  /** Returns the name of a file with changes; numbers start at 1. */
  static String changesFileName(int number) {
    return FILE_NAME_FORMAT.formatted(CHANGES, number);
  }

  /** Encodes the content of {@code manifest.json}. */
  static byte[] writeManifest(Manifest manifest, List<FileEntry> files) {
    ObjectNode written =
        Json.object()
            .put(FORMAT, FORMAT_VERSION)
            .put(ID, manifest.id())
            .put(BUILD, manifest.build())
            .put(LEVEL, manifest.level())
            .put(FIRST_REVISION, manifest.firstRevision())
            .put(REVISION, manifest.revision())
            .put(CONSISTENT, manifest.consistent())
            .put(MADE_AT_MS, manifest.madeAtMs());
    ArrayNode named = written.putArray(FILES);
    for (FileEntry file : files) {
      named.addObject().put(NAME, file.name()).put(SHA256, file.sha256());
    }
    return Json.bytes(written);
  }

  /** Decodes the content of {@code manifest.json}. */
  static ManifestFile readManifest(byte[] content) {
    JsonNode json = readOrMissing(content);
    return new ManifestFile(
        Json.countOrMinusOne(json.path(FORMAT)), readManifestFields(json), readFileEntries(json));
  }

  /** Reads a file; one that is not JSON is neither an object nor an array. */
  private static JsonNode readOrMissing(byte[] file) {
    try {
      return Json.read(file);
    } catch (MalformedMessageException e) {
      return Json.missing();
    }
  }

  private static Optional<Manifest> readManifestFields(JsonNode manifest) {
    long level = Json.countOrMinusOne(manifest.path(LEVEL));
    long firstRevision = Json.countOrMinusOne(manifest.path(FIRST_REVISION));
    long revision = Json.countOrMinusOne(manifest.path(REVISION));
    long madeAtMs = Json.countOrMinusOne(manifest.path(MADE_AT_MS));
    if (level < 0 || firstRevision < 0 || revision < 0 || madeAtMs < 0) {
      return Optional.empty();
    }
    return Optional.of(
        new Manifest(
            Json.text(manifest.path(ID)),
            Json.text(manifest.path(BUILD)),
            (int) level,
            firstRevision,
            revision,
            manifest.path(CONSISTENT).asBoolean(),
            madeAtMs));
  }

  private static List<FileEntry> readFileEntries(JsonNode manifest) {
    List<FileEntry> files = new ArrayList<>();
    for (JsonNode file : manifest.path(FILES)) {
      files.add(new FileEntry(Json.text(file.path(NAME)), Json.text(file.path(SHA256))));
    }
    return files;
  }

  /** Encodes a page of keys with their values and revisions. */
  static byte[] writeEntries(Collection<Entry> page) {
    ArrayNode written = Json.array();
    for (Entry entry : page) {
      written
          .addObject()
          .put(KEY, entry.key())
          .put(REVISION, entry.revision().value())
          .set(DATA, entry.value());
    }
    return Json.bytes(written);
  }

  /**
   * Encodes changes of keys; a change without a value is written without data and means a deletion.
   */
  static byte[] writeChanges(Collection<Change> changes) {
    ArrayNode written = Json.array();
    for (Change change : changes) {
      ObjectNode element =
          written.addObject().put(KEY, change.key()).put(REVISION, change.revision().value());
      if (change.value() != null) {
        element.set(DATA, change.value());
      }
    }
    return Json.bytes(written);
  }

  /**
   * Applies the keys or changes of a file to the keys read from earlier files. A key that already
   * has a value of a higher revision keeps it.
   *
   * @param file the content of an entries or changes file
   * @param keys the keys read so far, which are updated
   * @return false if the file is malformed
   */
  static boolean apply(byte[] file, Map<String, VersionedValue> keys) {
    JsonNode json = readOrMissing(file);
    if (!json.isArray()) {
      return false;
    }
    for (JsonNode element : json) {
      String key = Json.text(element.path(KEY));
      long revision = Json.countOrMinusOne(element.path(REVISION));
      if (key.isEmpty() || revision < 0) {
        return false;
      }
      VersionedValue current = keys.get(key);
      if (current != null && current.revision() > revision) {
        continue;
      }
      if (element.has(DATA)) {
        keys.put(key, new VersionedValue(element.path(DATA), revision));
      } else {
        keys.remove(key);
      }
    }
    return true;
  }
}
