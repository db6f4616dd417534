package shorecrank.sim;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.TreeMap;
import shorecrank.rollout.ArchiveFormat.VersionedValue;
import shorecrank.rollout.ArchiveKeys;
import shorecrank.rollout.ArchiveReader;
import shorecrank.rollout.ArchiveReader.Archive;
import shorecrank.rollout.ArchiveValueCodec;

/** An archive in the state service, compared with the keys that the service held. */
final class StoredArchive {
  private final SimulatedStateService store;
  private final String id;

  StoredArchive(SimulatedStateService store, String id) {
    this.store = store;
    this.id = id;
  }

  /** Returns the archive file, joined from its chunks. */
  byte[] bytes() {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (int i = 0; ; i++) {
      byte[] chunk = ArchiveValueCodec.readChunk(store.peek(ArchiveKeys.chunkKey(id, i)));
      if (chunk == null) {
        return all.toByteArray();
      }
      all.writeBytes(chunk);
    }
  }

  /** Reports whether the archive is intact, and holds the keys as they were at its revision. */
  boolean matches() {
    Archive archive;
    try {
      archive = ArchiveReader.read(new ByteArrayInputStream(bytes()));
    } catch (ArchiveReader.DamagedArchiveException e) {
      return false;
    }
    Map<String, VersionedValue> keysAtRevision = new TreeMap<>();
    store
        .entriesAt(archive.manifest().revision())
        .forEach(
            (key, version) -> {
              if (ArchiveKeys.ARCHIVED_PREFIXES.stream().anyMatch(key::startsWith)) {
                keysAtRevision.put(key, version);
              }
            });
    return archive.manifest().consistent() && asText(archive.keys()).equals(asText(keysAtRevision));
  }

  /**
   * Returns the values as text for comparison: numbers parsed from an archive have other JSON node
   * types than those that were written.
   */
  private static Map<String, String> asText(Map<String, VersionedValue> keys) {
    Map<String, String> text = new TreeMap<>();
    keys.forEach((key, v) -> text.put(key, v.revision() + " " + v.data()));
    return text;
  }
}
